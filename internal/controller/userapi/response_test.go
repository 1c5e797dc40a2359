package userapi

import (
	"errors"
	"fmt"
	"testing"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/wire"
)

func TestErrorsBecomeStatuses(t *testing.T) {
	for _, x := range []struct {
		err  error
		want transport.Response
	}{
		{&jobspec.InvalidError{Field: "kind"}, transport.Response{Status: 400}},
		{ErrReferenceInUse, transport.Response{Status: 400}},
		{ErrNotFound, transport.Response{Status: 404}},
		{ErrMethodNotAllowed, transport.Response{Status: 405}},
		{&jobspec.InfeasibleError{}, transport.Response{Status: 422}},
		{&DependencyError{}, transport.Response{Status: 422}},
		{ErrRecordTooLarge, transport.Response{Status: 422}},
		{ErrUnavailable, transport.Response{Status: 503, RetryAfter: transport.RetryAfter}},
		{ErrNotTerminal, transport.Response{Status: 503, RetryAfter: transport.RetryAfter, Authoritative: true}},
		{errors.New("any other"), transport.Response{Status: 503, RetryAfter: transport.RetryAfter}},
	} {
		for _, err := range []error{x.err, fmt.Errorf("wrapped: %w", x.err)} {
			if got := respond(200, wire.JobState{}, err); got != x.want {
				t.Errorf("response to error %q is %+v, want %+v", err, got, x.want)
			}
		}
	}
}

// A newly accepted submission is answered 201, a repeated one 200.
func TestAcceptanceStatuses(t *testing.T) {
	if got := respondAccepted(newlyAccepted("run-000001"), nil); got.Status != 201 || got.Body != (wire.JobState{Ref: "run-000001", State: wire.Pending}) {
		t.Errorf("response to a new submission is %+v, want 201 and state pending", got)
	}
	if got := respondAccepted(accepted("run-000001", wire.Done), nil); got.Status != 200 || got.Body != (wire.JobState{Ref: "run-000001", State: wire.Done}) {
		t.Errorf("response to a repeated submission is %+v, want 200 and state done", got)
	}
}
