package shardhost

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
)

// Any error other than a conflict, a refusal or an invalid transaction leaves the outcome unknown:
// the transaction may have been applied.
func TestOutcomeOf(t *testing.T) {
	for _, x := range []struct {
		err  error
		want outcome
		keys []string
	}{
		{nil, applied, nil},
		{fmt.Errorf("txn: %w", &statestore.ConflictError{Keys: []string{"a", "b"}}), conflict, []string{"a", "b"}},
		{fmt.Errorf("txn: %w", statestore.ErrRefused), refused, nil},
		{fmt.Errorf("txn: %w", statestore.ErrInvalid), invalid, nil},
		{errors.New("connection reset"), unknown, nil},
	} {
		if got, keys := outcomeOf(x.err); got != x.want || !slices.Equal(keys, x.keys) {
			t.Errorf("error %v: outcome %v with conflicting keys %v, want %v with %v", x.err, got, keys, x.want, x.keys)
		}
	}
}

// A command that was sent but got no response may have been executed.
func TestCommandOutcome(t *testing.T) {
	for _, x := range []struct {
		executed bool
		err      error
		want     scheduler.CommandOutcome
	}{
		{true, nil, scheduler.Executed},
		{false, nil, scheduler.Refused},
		{false, fmt.Errorf("dial: %w", httpwire.ErrNotSent), scheduler.NotSent},
		{false, errors.New("timeout"), scheduler.NoAnswer},
	} {
		if got := commandOutcome(x.executed, x.err); got != x.want {
			t.Errorf("executed %t, error %v: outcome %v, want %v", x.executed, x.err, got, x.want)
		}
	}
}
