package messagecheck

import (
	"bytes"
	"errors"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/rejectlog"
	"bramblespur/internal/fleet"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// newChecker returns a checker of a cluster with one shard, and what it logs.
func newChecker() (*Checker, *bytes.Buffer) {
	var out bytes.Buffer
	p := config.Params{Count: 1, State: config.State{ValueKB: 16, TxnOps: 16}}
	return New(&p, rejectlog.New(slog.New(slog.NewTextHandler(&out, nil)))), &out
}

// activeJob returns a job's record, changed as wished.
func activeJob(change func(*record.ActiveJob)) []byte {
	o := record.ActiveJob{Spec: wire.Spec{
		Ref: "run-000001", Class: "class-a", Team: "a", Kind: wire.Array, Priority: "normal", Tasks: 1, CPUs: 6, GPUs: 1, MemoryGB: 24,
		Image: "img-a", ImageGB: 4, EstimateS: 30, CheckpointS: 15, SaveS: 2,
	}}
	change(&o)
	return record.Encode(o)
}

// What no controller sends is rejected before it is applied, and logged once.
func TestInvalidCallsAreRejected(t *testing.T) {
	key := record.ActiveJobKey("run-000001")
	for name, args := range map[string]any{
		"acquiring a negative shard":   peer.SyncArgs{Claim: []int{-1}},
		"acquiring an unknown shard":   peer.SyncArgs{Claim: []int{1 << 40}},
		"a shard transferred back":     peer.SyncArgs{HandHome: []int{-1}},
		"an order of an unknown shard": peer.SyncArgs{Orders: []fleet.Order{{Part: 7, Machine: "m", To: 0}}},
		"a move to an unknown shard":   peer.SyncArgs{Orders: []fleet.Order{{Part: 0, Machine: "m", To: 7}}},
		"a move to a negative shard":   peer.SyncArgs{Orders: []fleet.Order{{Part: 0, Machine: "m", To: -2}}},
		"a negative quota":             peer.SyncArgs{Requests: -1, Changes: 1},
		"an infinite quota":            peer.SyncArgs{Requests: 1, Changes: math.Inf(1)},
		"a quota that is no number":    peer.SyncArgs{Requests: math.NaN(), Changes: 1},
		"no changes to be lent":        peer.LoanArgs{From: "c-1"},
		"negative changes to be lent":  peer.LoanArgs{From: "c-1", Changes: -2},
		"too many changes to be lent":  peer.LoanArgs{From: "c-1", Changes: 1 << 40},
		"negative tasks":               peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(o *record.ActiveJob) { o.Spec.Tasks = -5 })},
		"too many tasks":               peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(o *record.ActiveJob) { o.Spec.Tasks = 1 << 40 })},
		"no tasks":                     peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(o *record.ActiveJob) { o.Spec.Tasks = 0 })},
		"negative GPUs":                peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(o *record.ActiveJob) { o.Spec.GPUs = -1 })},
		"a job of an unknown shard":    peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(o *record.ActiveJob) { o.Shard = 3 })},
		"another job's record":         peer.NotifyArgs{Key: record.ActiveJobKey("run-000002"), Version: 9, Value: activeJob(func(*record.ActiveJob) {})},
		"a record without a version":   peer.NotifyArgs{Key: key, Value: activeJob(func(*record.ActiveJob) {})},
		"a record of the wrong type":   peer.NotifyArgs{Key: key, Version: 9, Value: []byte(`{"spec":"x"}`)},
		"a record that is null":        peer.NotifyArgs{Key: key, Version: 9, Value: []byte("null")},
		"a record that is nothing":     peer.NotifyArgs{Key: key, Version: 9},
		"a record of no job":           peer.NotifyArgs{Key: "open/", Version: 9, Value: activeJob(func(*record.ActiveJob) {})},
		"a record of another kind":     peer.NotifyArgs{Key: record.ShardKey(0), Version: 9, Value: []byte("{}")},
		"a final state that is none":   peer.NotifyArgs{Key: record.FinishedJobKey("run-000001"), Value: []byte(`{"state":"perhaps"}`)},
		"a large record":               peer.NotifyArgs{Key: key, Version: 9, Value: bytes.Repeat([]byte(" "), 1<<20)},
		"a heartbeat of no machine":    wire.Heartbeat{Session: 1, Seq: 1},
		"a large forwarded request":    peer.UserArgs{Method: "POST", Path: wire.JobsPath, Body: make([]byte, httpwire.MaxBody+1)},
		"a request with an endless id": peer.UserArgs{Method: "GET", Path: strings.Repeat("x", httpwire.MaxHead+1)},
	} {
		c, out := newChecker()
		for range 3 {
			if err := c.Call(args); !errors.Is(err, wire.ErrInvalidMessage) {
				t.Errorf("%s: err %v", name, err)
			}
		}
		if got := strings.Count(out.String(), "\n"); got != 1 {
			t.Errorf("%s: %d lines: %s", name, got, out.String())
		}
	}
}

// What controllers do send is accepted.
func TestValidCallsAreAccepted(t *testing.T) {
	c, _ := newChecker()
	for _, args := range []any{
		peer.SyncArgs{}, peer.SyncArgs{From: "c-1", Claim: []int{0}, HandHome: []int{0}, Requests: 1, Changes: 2},
		peer.SyncArgs{Orders: []fleet.Order{{Machine: "m", To: fleet.ReleaseToCloud}}},
		peer.NotifyArgs{Key: record.ActiveJobKey("run-000001"), Version: 9, Value: activeJob(func(*record.ActiveJob) {})},
		peer.NotifyArgs{Key: record.FinishedJobKey("run-000001"), Value: record.Encode(record.FinishedJob{State: wire.Done, Tasks: 3})},
		peer.LoanArgs{From: "c-1", Changes: 2}, wire.Heartbeat{Machine: "m", Session: 1, Seq: 1}, peer.UserArgs{Method: "GET", Path: wire.JobsPath + "/run-000001"},
	} {
		if err := c.Call(args); err != nil {
			t.Errorf("%+v: %v", args, err)
		}
	}
}

// Replies of controllers that can't be true are rejected.
func TestInvalidRepliesAreRejected(t *testing.T) {
	c, _ := newChecker()
	summary := func(change func(*fleet.Summary)) *peer.SyncReply {
		s := fleet.Summary{Needs: []fleet.Need{{Job: "run-000001", Count: 1}}, Machines: []fleet.Machine{{ID: "m"}}}
		change(&s)
		return &peer.SyncReply{Summaries: []fleet.Summary{s}}
	}
	// Clocks of controllers differ, and sums are rounded.
	if err := c.SyncReply(summary(func(s *fleet.Summary) { s.Needs[0].Waited, s.Arriving = -time.Second, -1e-12 })); err != nil {
		t.Error(err)
	}
	for name, err := range map[string]error{
		"an unknown shard":     c.SyncReply(summary(func(s *fleet.Summary) { s.Part = 9 })),
		"a negative shard":     c.SyncReply(summary(func(s *fleet.Summary) { s.Part = -1 })),
		"endless arrivals":     c.SyncReply(summary(func(s *fleet.Summary) { s.Arriving = math.Inf(1) })),
		"a negative need":      c.SyncReply(summary(func(s *fleet.Summary) { s.Needs[0].Count = -1 })),
		"need of negative":     c.SyncReply(summary(func(s *fleet.Summary) { s.Needs[0].GPUs = -4 })),
		"need of no number":    c.SyncReply(summary(func(s *fleet.Summary) { s.Needs[0].CPUs = math.NaN() })),
		"negative tasks":       c.SyncReply(summary(func(s *fleet.Summary) { s.Machines[0].Tasks = -1 })),
		"negative requests":    c.SyncReply(&peer.SyncReply{Requests: -1}),
		"a heartbeat's status": HeartbeatReply(&peer.HeartbeatReply{Status: 999}),
		"no status":            HeartbeatReply(&peer.HeartbeatReply{}),
		"a request's status":   UserReply(&peer.UserReply{Status: 7}),
		"a body that is not":   UserReply(&peer.UserReply{Status: 200, Body: []byte("{")}),
		"a negative pause":     UserReply(&peer.UserReply{Status: 503, RetryAfter: -1}),
		"another job's state":  Status(&wire.Status{Ref: "run-000002"}, "run-000001"),
		"a negative count":     Status(&wire.Status{Ref: "run-000001", Done: -1}, "run-000001"),
	} {
		if !errors.Is(err, wire.ErrInvalidMessage) {
			t.Errorf("%s: err %v", name, err)
		}
	}
}
