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

// onList is a state service on which something happens as records are listed, and whose
// listings may fail.
type onList struct {
	*testkit.State
	happens func() error
}

func (s *onList) List(ctx context.Context, use statestore.Purpose, prefix string) ([]wire.Entry, uint64, error) {
	if err := s.happens(); err != nil {
		return nil, 0, err
	}
	return s.State.List(ctx, use, prefix)
}

// The revision of the ownership record is the fencing token.
func TestFencingTokenIsRevisionOfOwnership(t *testing.T) {
	state := testkit.NewState()
	h, env := newHost(t, state)
	if err := h.FailOver(t.Context(), 0, Ownership{}, 7); err != nil {
		t.Fatal(err)
	}
	entry, err := state.Get(t.Context(), statestore.Urgent("test"), record.ShardKey(0))
	if err != nil {
		t.Fatal(err)
	}
	shard := served(h)
	if shard == nil || shard.Token() != entry.Version {
		t.Fatalf("serves %v, record %+v", shard, entry)
	}
	if want := (record.Shard{Owner: "c-0", Incarnation: 7}); env.ownerships[0].Rec != want || len(env.acquired) != 1 {
		t.Fatalf("owner %+v, want %+v; acquired %v", env.ownerships[0], want, env.acquired)
	}
}

// An acquisition on an outdated view fails, and learns the owner.
func TestOutdatedOwnershipIsRefused(t *testing.T) {
	state := testkit.NewState()
	h, env := newHost(t, state)
	other := state.Put(record.ShardKey(0), record.Shard{Owner: "c-1"})
	err := h.FailOver(t.Context(), 0, Ownership{}, 1)
	var conflict *statestore.ConflictError
	if !errors.As(err, &conflict) || served(h) != nil {
		t.Fatalf("acquired, %v", err)
	}
	if got := env.ownerships[0]; got.Rec.Owner != "c-1" || got.Version != other.Version {
		t.Fatalf("knows %+v", got)
	}
}

// What another controller acquires while this one reads the records is never served here.
func TestAcquiredByOtherWhileLoading(t *testing.T) {
	state := testkit.NewState()
	h, env := newHost(t, state)
	env.store = &onList{state, func() error {
		h.setOwnership(0, record.Shard{Owner: "c-1"}, 1000)
		return nil
	}}
	err := h.FailOver(t.Context(), 0, Ownership{}, 1)
	var other *AcquiredByOtherError
	if !errors.As(err, &other) || other.Owner != "c-1" || other.Token != 1000 {
		t.Fatalf("%v", err)
	}
	if served(h) != nil {
		t.Fatal("served all the same")
	}
}

// Where records can't be read loading ends once there is a later owner.
func TestLostWhileLoading(t *testing.T) {
	state := testkit.NewState()
	h, env := newHost(t, state)
	env.store = &onList{state, func() error {
		h.setOwnership(0, record.Shard{Owner: "c-1"}, 1000)
		return errors.New("no response")
	}}
	if err := h.FailOver(t.Context(), 0, Ownership{}, 1); !errors.Is(err, ErrLostWhileLoading) {
		t.Fatalf("%v", err)
	}
}

// A shard that was loaded as the safe mode began is not served.
func TestSafeModeBeganWhileLoading(t *testing.T) {
	h, env := newHost(t, testkit.NewState())
	env.safeMode = true
	if err := h.FailOver(t.Context(), 0, Ownership{}, 1); !errors.Is(err, ErrSafeModeBegan) || served(h) != nil {
		t.Fatalf("%v", err)
	}
}
