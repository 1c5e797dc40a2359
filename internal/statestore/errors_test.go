package statestore

import (
	"context"
	"errors"
	"fmt"
	"testing"
)

func TestOutcomeOfTransaction(t *testing.T) {
	for name, x := range map[string]struct {
		err  error
		want Outcome
	}{
		"no error":              {nil, Applied},
		"conflict":              {fmt.Errorf("commit: %w", &ConflictError{Keys: []string{"k"}}), NotApplied},
		"refused":               {fmt.Errorf("%w: status 429", ErrRefused), NotApplied},
		"malformed":             {ErrInvalid, NotApplied},
		"timeout":               {context.DeadlineExceeded, Unknown},
		"broken connection":     {errors.New("connection reset"), Unknown},
		"the revision is older": {ErrRevisionRegressed, Unknown},
	} {
		if got := OutcomeOf(x.err); got != x.want {
			t.Errorf("%s: outcome %v, want %v", name, got, x.want)
		}
	}
	if names := fmt.Sprint(Unknown, Applied, NotApplied); names != "unknown applied not applied" {
		t.Errorf("outcomes are named %s, want unknown applied not applied", names)
	}
}
