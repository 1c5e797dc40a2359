package recoverctl

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/snapshot"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// store ends the tool at a request, or does something before it.
type store struct {
	*testkit.State
	before   func(request int) error
	requests int
}

func (s *store) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	s.requests++
	if s.before != nil {
		if err := s.before(s.requests); err != nil {
			return 0, err
		}
	}
	return s.State.Txn(ctx, purpose, t)
}

// jobs is how many jobs are to be recovered, in several transactions.
const jobs = 10

// rig is a store in safe mode that lost all jobs, with a snapshot that has them and a worker
// that runs them.
func newRig() (*store, *Client, *snapshot.Contents) {
	s := &store{State: testkit.NewState()}
	c := &Client{Store: s, Cloud: &testkit.Cloud{}, Now: time.Now, Limits: recovery.Limits{ValueBytes: 4096, TxnOps: 3, TxnBytes: 8192}}
	s.Put(recovery.SafeModeKey, recovery.SafeMode{Active: true, Epoch: 1, Floor: 30})
	old := &snapshot.Contents{Manifest: &snapshot.Manifest{Revision: 9}, Records: map[string]wire.Entry{}}
	for n := range jobs {
		key := record.FinishedJobKey(fmt.Sprintf("run-%06d", n))
		old.Records[key] = wire.Entry{Key: key, Version: 5, Value: record.Encode(record.FinishedJob{State: wire.Done})}
	}
	return s, c, old
}

func makePlan(t *testing.T, c *Client, old *snapshot.Contents) *recovery.Plan {
	t.Helper()
	g, err := c.Gather(t.Context(), old)
	if err != nil {
		t.Fatal(err)
	}
	return recovery.NewPlan(g.Evidence, c.Limits)
}

func apply(t *testing.T, c *Client, p *recovery.Plan) error {
	t.Helper()
	return c.Apply(t.Context(), p, func(int, int) {})
}

// recovered checks that all is there and that orders may go out.
func recovered(t *testing.T, s *store) {
	t.Helper()
	for n := range jobs {
		if _, err := s.Get(t.Context(), purpose, record.FinishedJobKey(fmt.Sprintf("run-%06d", n))); err != nil {
			t.Errorf("job %d: %v", n, err)
		}
	}
	mode, _, err := (&Client{Store: s, Now: time.Now}).Mode(t.Context())
	if err != nil || mode.Active {
		t.Errorf("mode %+v, %v", mode, err)
	}
	if _, revision, err := s.List(t.Context(), purpose, ""); err != nil || revision <= 30 {
		t.Errorf("revision %d, %v: not above all tokens", revision, err)
	}
}

var errEnded = errors.New("the tool was ended")

// The tool ends at any request, before it or with its answer lost, and is started again.
func TestApplyIsResumed(t *testing.T) {
	whole, c, old := newRig()
	if err := apply(t, c, makePlan(t, c, old)); err != nil {
		t.Fatal(err)
	}
	recovered(t, whole)
	for cut := 1; cut <= whole.requests; cut++ {
		for name, lost := range map[string]bool{"before it": false, "its answer is lost": true} {
			s, c, old := newRig()
			p := makePlan(t, c, old)
			ctx, end := context.WithCancel(t.Context())
			s.before = func(n int) error {
				if n != cut {
					return ctx.Err()
				}
				end()
				if lost {
					s.LoseAnswers = 1
					return nil
				}
				return errEnded
			}
			if err := c.Apply(ctx, p, func(int, int) {}); err == nil {
				t.Fatalf("cut at %d, %s: it went on", cut, name)
			}
			s.before = nil
			if err := apply(t, c, p); err != nil {
				t.Errorf("cut at %d, %s: %v", cut, name, err)
			}
			recovered(t, s)
		}
	}
}

// Two operators apply at once: one plan, once, whoever writes what of it.
func TestTwoOperatorsApply(t *testing.T) {
	s, c, old := newRig()
	p, other := makePlan(t, c, old), makePlan(t, c, old)
	s.before = func(n int) error {
		if n == 3 {
			s.before = nil
			if err := apply(t, c, other); err != nil {
				t.Errorf("the second: %v", err)
			}
		}
		return nil
	}
	if err := apply(t, c, p); err != nil {
		t.Errorf("the first: %v", err)
	}
	recovered(t, s)
	s, c, old = newRig()
	p = makePlan(t, c, old)
	delete(old.Records, record.FinishedJobKey("run-000003"))
	other = makePlan(t, c, old)
	s.before = func(n int) error {
		if n == 2 {
			s.before = nil
			if err := apply(t, c, other); !errors.Is(err, recovery.ErrOtherPlanApplied) {
				t.Errorf("another plan: %v", err)
			}
		}
		return nil
	}
	if err := apply(t, c, p); err != nil {
		t.Errorf("the first: %v", err)
	}
	recovered(t, s)
}

// A plan is refused once the store has moved on, after another loss, and outside of its safe
// mode.
func TestApplyRefusals(t *testing.T) {
	for name, x := range map[string]struct {
		meanwhile func(s *store, p *recovery.Plan)
		want      error
	}{
		"a record was written": {func(s *store, _ *recovery.Plan) { s.Put(record.FinishedJobKey("run-000004"), "other") }, recovery.ErrStoreChanged},
		"it is another safe mode": {func(s *store, _ *recovery.Plan) {
			s.Put(recovery.SafeModeKey, recovery.SafeMode{Active: true, Epoch: 2})
		}, recovery.ErrOtherEpoch},
		"it is over": {func(s *store, _ *recovery.Plan) { s.Put(recovery.SafeModeKey, recovery.SafeMode{Epoch: 1}) }, recovery.ErrNoSafeMode},
		"something is undecided": {func(_ *store, p *recovery.Plan) {
			p.Items = append(p.Items, recovery.Item{Outcome: recovery.Undecided})
		},
			recovery.ErrUndecided},
	} {
		s, c, old := newRig()
		p := makePlan(t, c, old)
		x.meanwhile(s, p)
		if err := apply(t, c, p); !errors.Is(err, x.want) {
			t.Errorf("%s: %v, want %v", name, err, x.want)
		}
	}
	s, c, old := newRig()
	p := makePlan(t, c, old)
	s.before = func(n int) error { // the state service loses the safe mode's record while it is applied
		if n == 4 {
			_, err := s.State.Txn(t.Context(), purpose, wire.Txn{Then: []wire.Op{{Delete: recovery.SafeModeKey}}})
			return err
		}
		return nil
	}
	if err := apply(t, c, p); !errors.Is(err, recovery.ErrStoreChanged) {
		t.Errorf("a second loss: %v", err)
	}
}

// Decisions are kept by safe mode, and the next plan carries them out.
func TestDecisions(t *testing.T) {
	s, c, old := newRig()
	key := record.ActiveJobKey("run-000077")
	old.Records[key] = wire.Entry{Key: key, Version: 5, Value: record.Encode(record.ActiveJob{Spec: wire.Spec{Ref: "run-000077", Tasks: 1}})}
	p := makePlan(t, c, old)
	if n := len(p.Undecided()); n != 1 {
		t.Fatalf("%d undecided", n)
	}
	for _, choice := range []recovery.Decision{recovery.DecideRerun, recovery.DecideDone} {
		if err := c.Decide(t.Context(), key, choice); err != nil {
			t.Fatal(err)
		}
	}
	if err := apply(t, c, makePlan(t, c, old)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get(t.Context(), purpose, record.FinishedJobKey("run-000077")); err != nil {
		t.Errorf("decided as done: %v", err)
	}
	if err := c.Decide(t.Context(), key, recovery.DecideRerun); !errors.Is(err, recovery.ErrNoSafeMode) {
		t.Errorf("decided after the safe mode: %v", err)
	}
	s.Put(recovery.SafeModeKey, recovery.SafeMode{Active: true, Epoch: 2, Floor: 40})
	if g, err := c.Gather(t.Context(), nil); err != nil || len(g.Decisions) > 0 {
		t.Errorf("decisions of another safe mode count: %v, %v", g.Decisions, err)
	}
}
