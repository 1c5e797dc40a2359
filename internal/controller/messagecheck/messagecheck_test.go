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

// newChecker returns a checker of a cluster with one shard, and the buffer that it logs to.
func newChecker() (*Checker, *bytes.Buffer) {
	var out bytes.Buffer
	p := config.Params{Count: 1, State: config.State{ValueKB: 16, TxnOps: 16}}
	return New(&p, rejectlog.New(slog.New(slog.NewTextHandler(&out, nil)))), &out
}

// activeJob returns the encoded record of an active job after a change to it.
func activeJob(change func(*record.ActiveJob)) []byte {
	job := record.ActiveJob{Spec: wire.Spec{
		Ref: "run-000001", Class: "class-a", Team: "a", Kind: wire.Array, Priority: "normal", Tasks: 1, CPUs: 6, GPUs: 1, MemoryGB: 24,
		Image: "img-a", ImageGB: 4, EstimateS: 30, CheckpointS: 15, SaveS: 2,
	}}
	change(&job)
	return record.Encode(job)
}

// Calls with arguments that no controller sends are rejected and logged once.
func TestInvalidCallsAreRejected(t *testing.T) {
	key := record.ActiveJobKey("run-000001")
	for name, args := range map[string]any{
		"acquiring a negative shard":     peer.SyncArgs{Claim: []int{-1}},
		"acquiring an unknown shard":     peer.SyncArgs{Claim: []int{1 << 40}},
		"a shard transferred back":       peer.SyncArgs{HandHome: []int{-1}},
		"a command for an unknown shard": peer.SyncArgs{Orders: []fleet.Order{{Part: 7, Machine: "m", To: 0}}},
		"a transfer to an unknown shard": peer.SyncArgs{Orders: []fleet.Order{{Part: 0, Machine: "m", To: 7}}},
		"a transfer to a negative shard": peer.SyncArgs{Orders: []fleet.Order{{Part: 0, Machine: "m", To: -2}}},
		"a negative quota":               peer.SyncArgs{Requests: -1, Changes: 1},
		"an infinite quota":              peer.SyncArgs{Requests: 1, Changes: math.Inf(1)},
		"a quota that is NaN":            peer.SyncArgs{Requests: math.NaN(), Changes: 1},
		"a loan of no changes":           peer.LoanArgs{From: "c-1"},
		"a loan of negative changes":     peer.LoanArgs{From: "c-1", Changes: -2},
		"a loan of too many changes":     peer.LoanArgs{From: "c-1", Changes: 1 << 40},
		"negative tasks":                 peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(job *record.ActiveJob) { job.Spec.Tasks = -5 })},
		"too many tasks":                 peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(job *record.ActiveJob) { job.Spec.Tasks = 1 << 40 })},
		"no tasks":                       peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(job *record.ActiveJob) { job.Spec.Tasks = 0 })},
		"negative GPUs":                  peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(job *record.ActiveJob) { job.Spec.GPUs = -1 })},
		"a job of an unknown shard":      peer.NotifyArgs{Key: key, Version: 9, Value: activeJob(func(job *record.ActiveJob) { job.Shard = 3 })},
		"another job's record":           peer.NotifyArgs{Key: record.ActiveJobKey("run-000002"), Version: 9, Value: activeJob(func(*record.ActiveJob) {})},
		"a record without a version":     peer.NotifyArgs{Key: key, Value: activeJob(func(*record.ActiveJob) {})},
		"a record of the wrong type":     peer.NotifyArgs{Key: key, Version: 9, Value: []byte(`{"spec":"x"}`)},
		"a record that is null":          peer.NotifyArgs{Key: key, Version: 9, Value: []byte("null")},
		"an empty record":                peer.NotifyArgs{Key: key, Version: 9},
		"a record without a job":         peer.NotifyArgs{Key: "open/", Version: 9, Value: activeJob(func(*record.ActiveJob) {})},
		"a record of another kind":       peer.NotifyArgs{Key: record.ShardKey(0), Version: 9, Value: []byte("{}")},
		"an unknown terminal state":      peer.NotifyArgs{Key: record.FinishedJobKey("run-000001"), Value: []byte(`{"state":"perhaps"}`)},
		"a large record":                 peer.NotifyArgs{Key: key, Version: 9, Value: bytes.Repeat([]byte(" "), 1<<20)},
		"a heartbeat without machine":    wire.Heartbeat{Session: 1, Seq: 1},
		"a large forwarded request":      peer.UserArgs{Method: "POST", Path: wire.JobsPath, Body: make([]byte, httpwire.MaxBody+1)},
		"a request with a long path":     peer.UserArgs{Method: "GET", Path: strings.Repeat("x", httpwire.MaxHead+1)},
	} {
		c, out := newChecker()
		for range 3 {
			if err := c.Call(args); !errors.Is(err, wire.ErrInvalidMessage) {
				t.Errorf("%s: got error %v, want ErrInvalidMessage", name, err)
			}
		}
		if got := strings.Count(out.String(), "\n"); got != 1 {
			t.Errorf("%s: %d lines are logged, want 1: %s", name, got, out.String())
		}
	}
}

// Calls with arguments that controllers send are accepted.
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
			t.Errorf("%+v is rejected: %v", args, err)
		}
	}
}

// Replies with values that no controller sends are rejected.
func TestInvalidRepliesAreRejected(t *testing.T) {
	c, _ := newChecker()
	summary := func(change func(*fleet.Summary)) *peer.SyncReply {
		s := fleet.Summary{Needs: []fleet.Need{{Job: "run-000001", Count: 1}}, Machines: []fleet.Machine{{ID: "m"}}}
		change(&s)
		return &peer.SyncReply{Summaries: []fleet.Summary{s}}
	}
	// Negative waits and sums are accepted: clocks of controllers differ, and sums are rounded.
	if err := c.SyncReply(summary(func(s *fleet.Summary) { s.Needs[0].Waited, s.Arriving = -time.Second, -1e-12 })); err != nil {
		t.Error(err)
	}
	for name, err := range map[string]error{
		"an unknown shard":       c.SyncReply(summary(func(s *fleet.Summary) { s.Part = 9 })),
		"a negative shard":       c.SyncReply(summary(func(s *fleet.Summary) { s.Part = -1 })),
		"infinite arrivals":      c.SyncReply(summary(func(s *fleet.Summary) { s.Arriving = math.Inf(1) })),
		"a negative need":        c.SyncReply(summary(func(s *fleet.Summary) { s.Needs[0].Count = -1 })),
		"need of negative GPUs":  c.SyncReply(summary(func(s *fleet.Summary) { s.Needs[0].GPUs = -4 })),
		"need of NaN CPUs":       c.SyncReply(summary(func(s *fleet.Summary) { s.Needs[0].CPUs = math.NaN() })),
		"negative tasks":         c.SyncReply(summary(func(s *fleet.Summary) { s.Machines[0].Tasks = -1 })),
		"negative requests":      c.SyncReply(&peer.SyncReply{Requests: -1}),
		"a heartbeat status 999": HeartbeatReply(&peer.HeartbeatReply{Status: 999}),
		"no heartbeat status":    HeartbeatReply(&peer.HeartbeatReply{}),
		"a request status 7":     UserReply(&peer.UserReply{Status: 7}),
		"a body that is no JSON": UserReply(&peer.UserReply{Status: 200, Body: []byte("{")}),
		"a negative Retry-After": UserReply(&peer.UserReply{Status: 503, RetryAfter: -1}),
		"another job's state":    Status(&wire.Status{Ref: "run-000002"}, "run-000001"),
		"a negative count":       Status(&wire.Status{Ref: "run-000001", Done: -1}, "run-000001"),
	} {
		if !errors.Is(err, wire.ErrInvalidMessage) {
			t.Errorf("%s: got error %v, want ErrInvalidMessage", name, err)
		}
	}
}
