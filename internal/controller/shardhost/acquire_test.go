package shardhost

import (
	"context"
	"errors"
	"testing"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

func peer(label string) config.Peer { return config.Peer{Label: label, Zone: "z"} }

// listHookState is a state service that calls onList before it lists records. If onList returns an
// error, List returns that error.
type listHookState struct {
	*testkit.State
	onList func() error
}

func (s *listHookState) List(ctx context.Context, use statestore.Purpose, prefix string) ([]wire.Entry, uint64, error) {
	if err := s.onList(); err != nil {
		return nil, 0, err
	}
	return s.State.List(ctx, use, prefix)
}

// An acquired shard uses the revision of its ownership record as the fencing token.
func TestFencingTokenIsRevisionOfOwnership(t *testing.T) {
	state := testkit.NewState()
	h, env := newHost(t, state)
	if err := h.Acquire(t.Context(), 0, Ownership{}, 7); err != nil {
		t.Fatal(err)
	}
	entry, err := state.Get(t.Context(), statestore.Urgent("test"), record.ShardKey(0))
	if err != nil {
		t.Fatal(err)
	}
	shard := served(h)
	if shard == nil || shard.Token() != entry.Version {
		t.Fatalf("serves %+v, want a shard whose token is the version of the ownership record %+v", shard, entry)
	}
	if want := (record.Shard{Owner: "c-0", Incarnation: 7}); env.ownerships[0].Rec != want || len(env.acquired) != 1 {
		t.Fatalf("the view has ownership %+v, want %+v; acquired shards %v, want one", env.ownerships[0], want, env.acquired)
	}
}

// An acquisition based on an outdated ownership record fails, and the present record is read into
// the view.
func TestOutdatedOwnershipIsRefused(t *testing.T) {
	state := testkit.NewState()
	h, env := newHost(t, state)
	other := state.Put(record.ShardKey(0), record.Shard{Owner: "c-1"})
	err := h.Acquire(t.Context(), 0, Ownership{}, 1)
	var conflict *statestore.ConflictError
	if !errors.As(err, &conflict) || served(h) != nil {
		t.Fatalf("error %v, want a conflict and no shard served", err)
	}
	if got := env.ownerships[0]; got.Rec.Owner != "c-1" || got.Version != other.Version {
		t.Fatalf("the view has ownership %+v, want the record of c-1", got)
	}
}

// A shard that another controller acquires while this one reads its records is not served here.
func TestAcquiredByOtherWhileLoading(t *testing.T) {
	state := testkit.NewState()
	h, env := newHost(t, state)
	env.store = &listHookState{state, func() error {
		h.setOwnership(0, record.Shard{Owner: "c-1"}, 1000)
		return nil
	}}
	err := h.Acquire(t.Context(), 0, Ownership{}, 1)
	var other *AcquiredByOtherError
	if !errors.As(err, &other) || other.Owner != "c-1" || other.Token != 1000 {
		t.Fatalf("error %v, want that c-1 acquired the shard under token 1000", err)
	}
	if served(h) != nil {
		t.Fatal("serves a shard that another controller acquired")
	}
}

// If the records cannot be read, loading is retried only until there is a later owner.
func TestLostWhileLoading(t *testing.T) {
	state := testkit.NewState()
	h, env := newHost(t, state)
	env.store = &listHookState{state, func() error {
		h.setOwnership(0, record.Shard{Owner: "c-1"}, 1000)
		return errors.New("no response")
	}}
	if err := h.Acquire(t.Context(), 0, Ownership{}, 1); !errors.Is(err, ErrLostWhileLoading) {
		t.Fatalf("error %v, want ErrLostWhileLoading", err)
	}
}

// A shard is not served if safe mode begins while the shard is loaded.
func TestSafeModeBeganWhileLoading(t *testing.T) {
	h, env := newHost(t, testkit.NewState())
	env.safeMode = true
	if err := h.Acquire(t.Context(), 0, Ownership{}, 1); !errors.Is(err, ErrSafeModeBegan) || served(h) != nil {
		t.Fatalf("error %v, want ErrSafeModeBegan and no shard served", err)
	}
}
