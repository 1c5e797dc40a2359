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

// store is a state service that calls a function before each transaction.
type store struct {
	*testkit.State
	before   func(request int) error // its error fails the transaction; may be nil
	requests int                     // transactions requested so far
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

// lostJobs is the number of jobs that are to be recovered. They need several transactions.
const lostJobs = 10

// newFixture returns a store in safe mode that has lost all jobs, a client for it, and a snapshot that
// has the jobs as finished.
func newFixture() (*store, *Client, *snapshot.Contents) {
	s := &store{State: testkit.NewState()}
	c := &Client{Store: s, Cloud: &testkit.Cloud{}, Now: time.Now, Limits: recovery.Limits{ValueBytes: 4096, TxnOps: 3, TxnBytes: 8192}}
	s.Put(recovery.SafeModeKey, recovery.SafeMode{Active: true, Epoch: 1, Floor: 30})
	contents := &snapshot.Contents{Manifest: &snapshot.Manifest{Revision: 9}, Records: map[string]wire.Entry{}}
	for n := range lostJobs {
		key := record.FinishedJobKey(fmt.Sprintf("run-%06d", n))
		contents.Records[key] = wire.Entry{Key: key, Version: 5, Value: record.Encode(record.FinishedJob{State: wire.Done})}
	}
	return s, c, contents
}

func makePlan(t *testing.T, c *Client, contents *snapshot.Contents) *recovery.Plan {
	t.Helper()
	g, err := c.Gather(t.Context(), contents)
	if err != nil {
		t.Fatal(err)
	}
	return recovery.NewPlan(g.Evidence, c.Limits)
}

func apply(t *testing.T, c *Client, p *recovery.Plan) error {
	t.Helper()
	return c.Apply(t.Context(), p, func(int, int) {})
}

// wantRecovered checks that all jobs are in the store, that the safe mode has ended, and that the
// revision is above the floor, so that commands may be sent.
func wantRecovered(t *testing.T, s *store) {
	t.Helper()
	for n := range lostJobs {
		if _, err := s.Get(t.Context(), purpose, record.FinishedJobKey(fmt.Sprintf("run-%06d", n))); err != nil {
			t.Errorf("job %d is not recovered: %v", n, err)
		}
	}
	mode, _, err := (&Client{Store: s, Now: time.Now}).Mode(t.Context())
	if err != nil || mode.Active {
		t.Errorf("safe mode %+v, error %v; want one that has ended", mode, err)
	}
	if _, revision, err := s.List(t.Context(), purpose, ""); err != nil || revision <= 30 {
		t.Errorf("revision %d, error %v; want a revision above the floor", revision, err)
	}
}

var errInterrupted = errors.New("the tool was interrupted")

// If the tool is interrupted at any transaction, before it or with its answer lost, the same plan can be
// applied again.
func TestApplyIsResumed(t *testing.T) {
	uninterrupted, c, contents := newFixture()
	if err := apply(t, c, makePlan(t, c, contents)); err != nil {
		t.Fatal(err)
	}
	wantRecovered(t, uninterrupted)
	for endAt := 1; endAt <= uninterrupted.requests; endAt++ {
		for name, lost := range map[string]bool{"before it": false, "its answer is lost": true} {
			s, c, contents := newFixture()
			p := makePlan(t, c, contents)
			ctx, end := context.WithCancel(t.Context())
			s.before = func(n int) error {
				if n != endAt {
					return ctx.Err()
				}
				end()
				if lost {
					s.LoseAnswers = 1
					return nil
				}
				return errInterrupted
			}
			if err := c.Apply(ctx, p, func(int, int) {}); err == nil {
				t.Fatalf("interrupted at transaction %d, %s: Apply went on", endAt, name)
			}
			s.before = nil
			if err := apply(t, c, p); err != nil {
				t.Errorf("interrupted at transaction %d, %s: %v", endAt, name, err)
			}
			wantRecovered(t, s)
		}
	}
}

// If two operators apply the same plan at once, both succeed. If their plans differ, the second gets
// ErrOtherPlanApplied.
func TestTwoOperatorsApply(t *testing.T) {
	s, c, contents := newFixture()
	p, other := makePlan(t, c, contents), makePlan(t, c, contents)
	s.before = func(n int) error {
		if n == 3 {
			s.before = nil
			if err := apply(t, c, other); err != nil {
				t.Errorf("the second operator: %v", err)
			}
		}
		return nil
	}
	if err := apply(t, c, p); err != nil {
		t.Errorf("the first operator: %v", err)
	}
	wantRecovered(t, s)
	s, c, contents = newFixture()
	p = makePlan(t, c, contents)
	delete(contents.Records, record.FinishedJobKey("run-000003"))
	other = makePlan(t, c, contents)
	s.before = func(n int) error {
		if n == 2 {
			s.before = nil
			if err := apply(t, c, other); !errors.Is(err, recovery.ErrOtherPlanApplied) {
				t.Errorf("another plan: error %v, want ErrOtherPlanApplied", err)
			}
		}
		return nil
	}
	if err := apply(t, c, p); err != nil {
		t.Errorf("the first operator: %v", err)
	}
	wantRecovered(t, s)
}

// Apply returns an error if a record has been written since the plan was made, if another safe mode or
// none is active, if a record is undecided, and if the record of the safe mode is lost meanwhile.
func TestApplyReturnsErrors(t *testing.T) {
	for name, x := range map[string]struct {
		meanwhile func(s *store, p *recovery.Plan)
		want      error
	}{
		"a record was written": {func(s *store, _ *recovery.Plan) { s.Put(record.FinishedJobKey("run-000004"), "other") }, recovery.ErrStoreChanged},
		"another safe mode is active": {func(s *store, _ *recovery.Plan) {
			s.Put(recovery.SafeModeKey, recovery.SafeMode{Active: true, Epoch: 2})
		}, recovery.ErrOtherEpoch},
		"the safe mode has ended": {func(s *store, _ *recovery.Plan) { s.Put(recovery.SafeModeKey, recovery.SafeMode{Epoch: 1}) }, recovery.ErrNoSafeMode},
		"a record is undecided": {func(_ *store, p *recovery.Plan) {
			p.Items = append(p.Items, recovery.Item{Outcome: recovery.Undecided})
		},
			recovery.ErrUndecided},
	} {
		s, c, contents := newFixture()
		p := makePlan(t, c, contents)
		x.meanwhile(s, p)
		if err := apply(t, c, p); !errors.Is(err, x.want) {
			t.Errorf("%s: error %v, want %v", name, err, x.want)
		}
	}
	s, c, contents := newFixture()
	p := makePlan(t, c, contents)
	s.before = func(n int) error { // the state service loses the record of the safe mode while the plan is applied
		if n == 4 {
			_, err := s.State.Txn(t.Context(), purpose, wire.Txn{Then: []wire.Op{{Delete: recovery.SafeModeKey}}})
			return err
		}
		return nil
	}
	if err := apply(t, c, p); !errors.Is(err, recovery.ErrStoreChanged) {
		t.Errorf("a second loss: error %v, want ErrStoreChanged", err)
	}
}

// The next plan applies the latest decision about a record. Decisions are accepted only in safe mode, and
// those of another safe mode do not count.
func TestDecisions(t *testing.T) {
	s, c, contents := newFixture()
	key := record.ActiveJobKey("run-000077")
	contents.Records[key] = wire.Entry{Key: key, Version: 5, Value: record.Encode(record.ActiveJob{Spec: wire.Spec{Ref: "run-000077", Tasks: 1}})}
	p := makePlan(t, c, contents)
	if n := len(p.Undecided()); n != 1 {
		t.Fatalf("%d records are undecided, want 1", n)
	}
	for _, choice := range []recovery.Decision{recovery.DecideRerun, recovery.DecideDone} {
		if err := c.Decide(t.Context(), key, choice); err != nil {
			t.Fatal(err)
		}
	}
	if err := apply(t, c, makePlan(t, c, contents)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get(t.Context(), purpose, record.FinishedJobKey("run-000077")); err != nil {
		t.Errorf("a job decided as done has no record: %v", err)
	}
	if err := c.Decide(t.Context(), key, recovery.DecideRerun); !errors.Is(err, recovery.ErrNoSafeMode) {
		t.Errorf("decision after the safe mode: error %v, want ErrNoSafeMode", err)
	}
	s.Put(recovery.SafeModeKey, recovery.SafeMode{Active: true, Epoch: 2, Floor: 40})
	if g, err := c.Gather(t.Context(), nil); err != nil || len(g.Decisions) > 0 {
		t.Errorf("decisions of another safe mode are %v with error %v, want none", g.Decisions, err)
	}
}
