package scheduler

import (
	"context"
	"errors"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// harness runs one shard against a simulated state service, cloud and workers.
type harness struct {
	t       testing.TB
	id      int // of the shard
	clock   *testkit.Clock
	state   *testkit.State
	cloud   *testkit.Cloud
	cfg     *Config
	shard   *Shard
	fleet   *record.Fleet
	workers map[string]*testkit.Worker
	// invalid counts transactions that the state service refused as too large.
	invalid int
	// afterTxn, if set, is called after each transaction.
	afterTxn func()
	// probeResponders are the IDs of the machines that answer probes.
	probeResponders []string
	// sizedRangesAllowed is whether shards are loaded with AllowSizedRanges, as when no controller
	// of the first version is left.
	sizedRangesAllowed bool
	// sendStart, if set, delivers direct starts to their workers.
	sendStart func(d DirectCommand)
}

func newHarness(t testing.TB) *harness {
	return newShardHarness(t, 0, testkit.NewClock(), testkit.NewState())
}

// newShardHarness returns the harness of one of several shards that share a clock and a state
// service.
func newShardHarness(t testing.TB, id int, clock *testkit.Clock, state *testkit.State) *harness {
	r := &harness{t: t, id: id, clock: clock, state: state, cloud: &testkit.Cloud{}, workers: map[string]*testkit.Worker{}}
	r.cfg = &Config{
		Teams:             map[string]Team{"a": {Name: "a", GPUs: 2, MaxGPUs: 4}, "b": {Name: "b"}},
		Types:             map[string]wire.MachineType{"big": {Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, BootS: 20, CacheGB: 50}},
		HeartbeatInterval: 2 * time.Second, Lease: 20 * time.Second, SilentAfter: 8 * time.Second, BootFactor: 3,
		PreemptAfter: 2 * time.Second, TxnOps: 16, PlacementsPerRecord: 10, ValueBytes: 10 * unsizedPlacementBytes,
		Urgency: func(_ *wire.Spec, waited time.Duration, _ *float64) float64 { return -waited.Seconds() },
	}
	r.failOver()
	return r
}

// newHarnessWithMachine returns a harness with one machine, m1, which has sent two heartbeats and
// runs nothing.
func newHarnessWithMachine(t testing.TB) (*harness, *testkit.Worker) {
	t.Helper()
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	return r, w
}

// failOver replaces the shard's owner: the new one has a new token and loads only the records.
func (r *harness) failOver() {
	r.t.Helper()
	e := r.state.Put(record.ShardKey(r.id), record.Shard{Owner: "x"})
	r.shard = New(r.cfg, r.id, e.Version)
	if r.sizedRangesAllowed {
		r.shard.AllowSizedRanges()
	}
	r.fleet = record.NewFleet()
	for _, e := range r.list(record.FleetPrefix) {
		r.applyToFleet(e)
	}
	if err := r.shard.Load(r.fleet, r.list(record.ActiveJobPrefix), r.list(record.ShardPlacementsPrefix(r.id)), r.clock.Now()); err != nil {
		r.t.Fatal(err)
	}
}

func (r *harness) list(prefix string) []wire.Entry {
	r.t.Helper()
	l, _, err := r.state.List(context.Background(), statestore.Urgent("test"), prefix)
	if err != nil {
		r.t.Fatal(err)
	}
	return l
}

func (r *harness) applyToFleet(e wire.Entry) []string {
	r.t.Helper()
	ids, err := r.fleet.Apply(e.Change())
	if err != nil {
		r.t.Fatal(err)
	}
	return ids
}

// applyRecord applies a changed record of the fleet to the shard, as the watch does.
func (r *harness) applyRecord(e wire.Entry) {
	r.t.Helper()
	for _, id := range r.applyToFleet(e) {
		if v, ok := r.fleet.Machine(id); ok {
			if err := r.shard.SetMachine(id, v, r.clock.Now()); err != nil {
				r.t.Fatal(err)
			}
		}
	}
}

// releaseMachines acts as the leader: it carries out pending releases and records that.
func (r *harness) releaseMachines() {
	r.t.Helper()
	if r.state.Down {
		return
	}
	for _, e := range r.list(record.ReleasePrefix) {
		r.applyToFleet(e)
	}
	for key, b := range r.fleet.PendingReleases() {
		if err := r.cloud.Release(context.Background(), b.Rec.IDs); err != nil {
			r.t.Fatal(err)
		}
		r.applyRecord(r.state.Put(key, record.Release{IDs: b.Rec.IDs, Done: true}))
	}
}

// addMachine records a machine as provisioned for the shard and returns its worker.
func (r *harness) addMachine(id, zone string, spot bool) *testkit.Worker {
	r.t.Helper()
	r.applyRecord(r.state.Put(record.ProvisionKey(id), record.Provision{Type: "big", Zone: zone, Spot: spot, Shards: []int{r.id}, IDs: []string{id}, CreatedAt: r.clock.Now().UnixMilli()}))
	w := testkit.NewWorker(id, "big", zone, spot)
	r.workers[id] = w
	return w
}

func spec(ref, team, kind, priority string, tasks int, gpus float64) wire.Spec {
	return wire.Spec{Ref: ref, Class: "c", Team: team, Kind: kind, Priority: priority, Tasks: tasks,
		CPUs: 4, GPUs: gpus, MemoryGB: 10, Image: "img", ImageGB: 4, EstimateS: 60, CheckpointS: 10, SaveS: 2}
}

func (r *harness) submit(spec wire.Spec) {
	r.putActiveJob(record.ActiveJob{Spec: spec, AcceptedAt: r.clock.Now().UnixMilli()})()
}

// putActiveJob writes a job's record; applyToShard applies it to the shard, as the watch does.
func (r *harness) putActiveJob(o record.ActiveJob) (applyToShard func()) {
	o.Shard = r.id
	e := r.state.Put(record.ActiveJobKey(o.Spec.Ref), o)
	return func() { r.shard.SetJob(o.Spec.Ref, o, e.Version, r.clock.Now()) }
}

// cancel records a cancellation, as any controller does; applyToShard applies it to the shard.
func (r *harness) cancel(spec wire.Spec) (applyToShard func()) {
	return r.putActiveJob(record.ActiveJob{Spec: spec, Cancelled: true})
}

// carryOutEffects steps the shard and carries out its effects until there are none.
func (r *harness) carryOutEffects() {
	ctx := context.Background()
	for range 50 {
		now := r.clock.Now()
		eff := r.shard.Step(now)
		if r.sendStart != nil {
			for _, id := range eff.StartsReady {
				if d, ok := r.shard.DirectStarts(id, now); ok {
					r.sendStart(d)
				}
			}
		}
		r.answerProbes(eff)
		if len(eff.Txns)+len(eff.RereadJobs)+len(eff.RereadPlacements)+len(eff.RereadMachines)+len(eff.RereadPipelines)+len(eff.DirectCommands) == 0 && eff.ConfirmOwnershipAt == 0 {
			return
		}
		if e := r.get(record.ShardKey(r.id)); eff.ConfirmOwnershipAt > 0 && e != nil && e.Version == r.shard.token {
			r.shard.OwnershipConfirmed(eff.ConfirmOwnershipAt)
		}
		for _, t := range eff.Txns {
			rev, err := r.state.Txn(ctx, statestore.Urgent("test"), t.Body)
			if r.afterTxn != nil {
				r.afterTxn()
			}
			var conflict *statestore.ConflictError
			switch {
			case err == nil:
				r.shard.Applied(t, rev, now)
			case errors.As(err, &conflict):
				r.shard.Conflict(t, conflict.Keys, now)
			case errors.Is(err, statestore.ErrRefused):
				r.shard.Refused(t, now)
			case errors.Is(err, statestore.ErrInvalid):
				r.shard.TooLarge(t, now)
				r.invalid++
			default:
				r.shard.Unknown(t, now)
			}
		}
		for _, ref := range eff.RereadJobs {
			if err := r.shard.JobRead(ref, r.get(record.ActiveJobKey(ref)), now); err != nil {
				r.t.Fatal(err)
			}
		}
		for _, ref := range eff.RereadPipelines {
			e := r.get(record.PipelineKey(ref))
			if err := r.shard.PipelineRead(ref, e, r.missingEnds(e), now); err != nil {
				r.t.Fatal(err)
			}
		}
		for _, n := range eff.RereadPlacements {
			if err := r.shard.PlacementsRead(n, r.get(record.PlacementsKey(r.id, n)), now); err != nil {
				r.t.Fatal(err)
			}
		}
		for _, id := range eff.RereadMachines {
			if err := r.shard.MachineRead(id, r.get(record.OverrideKey(id)), now); err != nil {
				r.t.Fatal(err)
			}
		}
		r.releaseMachines()
		for _, d := range eff.DirectCommands {
			w := r.workers[d.Machine]
			if w == nil || w.Session != d.Orders.Session {
				continue
			}
			w.Execute(wire.CommandBatch{Token: d.Orders.Token, Commands: d.Orders.Commands})
			rep := w.NextHeartbeat()
			r.shard.Heartbeat(&rep, true, now)
		}
	}
	r.t.Fatal("the shard still has effects after 50 steps")
}

// missingEnds returns the ends of a pipeline's jobs that its record lacks.
func (r *harness) missingEnds(e *wire.Entry) []record.PipelineJobEnd {
	rec, err := decode[record.Pipeline](*e)
	if err != nil {
		r.t.Fatal(err)
	}
	var out []record.PipelineJobEnd
	for _, ref := range rec.MissingEnds() {
		if f := r.get(record.FinishedJobKey(ref)); f != nil {
			j, err := decode[record.FinishedJob](*f)
			if err != nil {
				r.t.Fatal(err)
			}
			out = append(out, record.PipelineJobEnd{Ref: ref, State: j.State})
		}
	}
	return out
}

// get returns the entry of a key, or nil if there is none.
func (r *harness) get(key string) *wire.Entry {
	e, err := r.state.Get(context.Background(), statestore.Urgent("test"), key)
	if err != nil {
		return nil
	}
	return &e
}

// expireLease lets a worker's lease expire, during which no heartbeat was answered.
func (r *harness) expireLease(w *testkit.Worker) {
	r.clock.Advance(r.cfg.Lease)
	w.ExpireLease()
}

// heartbeat advances the clock by one heartbeat interval, lets the given workers, or all, send a
// heartbeat each, and carries out the effects.
func (r *harness) heartbeat(ws ...*testkit.Worker) {
	r.t.Helper()
	r.clock.Advance(r.cfg.HeartbeatInterval)
	if len(ws) == 0 {
		for _, w := range r.workers {
			ws = append(ws, w)
		}
	}
	for _, w := range ws {
		rep := w.NextHeartbeat()
		o, v := r.shard.Heartbeat(&rep, false, r.clock.Now())
		if v == Answered {
			w.Execute(o)
		}
	}
	r.carryOutEffects()
}

func (r *harness) heartbeats(n int, ws ...*testkit.Worker) {
	r.t.Helper()
	for range n {
		r.heartbeat(ws...)
	}
}

// heartbeatAndEndTasks lets all workers send a heartbeat, and then ends all tasks of w.
func (r *harness) heartbeatAndEndTasks(w *testkit.Worker) {
	r.t.Helper()
	r.heartbeat()
	for name := range w.Tasks {
		w.ExitTask(name, wire.Done)
	}
}

// runningOn returns the machine on which a task runs, empty if none. It fails the test if the task
// runs on more than one.
func (r *harness) runningOn(task string) string {
	r.t.Helper()
	machine := ""
	for id, w := range r.workers {
		if t := w.Tasks[task]; t != nil && t.State != wire.Exited {
			if machine != "" {
				r.t.Fatalf("%s runs on %s and on %s", task, machine, id)
			}
			machine = id
		}
	}
	return machine
}

// jobState returns the state of a job by its records: its final state, wire.Cancelled if it is being
// cancelled, or wire.Pending.
func (r *harness) jobState(ref string) string {
	r.t.Helper()
	if e := r.get(record.FinishedJobKey(ref)); e != nil {
		j, err := decode[record.FinishedJob](*e)
		if err != nil {
			r.t.Fatal(err)
		}
		return j.State
	}
	e := r.get(record.ActiveJobKey(ref))
	if e == nil {
		r.t.Fatalf("job %s has no record", ref)
		return ""
	}
	if o, err := decode[record.ActiveJob](*e); err != nil || o.Cancelled {
		return wire.Cancelled
	}
	return wire.Pending
}

func TestArrayRunsToItsEnd(t *testing.T) {
	r := newHarness(t)
	w := r.addMachine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 3, 1))
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" || r.runningOn("run-000001/1") != "m1" || r.runningOn("run-000001/2") != "" {
		t.Fatalf("started %v, want the first two tasks, one on each GPU", w.Started)
	}
	w.ExitTask("run-000001/0", wire.Done)
	w.ExitTask("run-000001/1", wire.Done)
	r.heartbeats(3)
	if got := r.jobState("run-000001"); got != wire.Pending {
		t.Fatalf("state %q before the last task has completed, want pending", got)
	}
	w.ExitTask("run-000001/2", wire.Done)
	r.heartbeats(3)
	if got := r.jobState("run-000001"); got != wire.Done {
		t.Fatalf("state %q, want done", got)
	}
	if len(w.Tasks) != 0 {
		t.Fatalf("worker still has %v, want all tasks forgotten", w.Tasks)
	}
}

// The placement records of the largest job that the protocol allows stay within the size limit.
func TestLargestArray(t *testing.T) {
	r := newHarness(t)
	r.cfg.PlacementsPerRecord, r.cfg.ValueBytes = PlacementsPerRecord(16), 16<<10
	r.failOver()
	s := spec("run-000001", "b", wire.Array, "normal", 100000, 0)
	s.CPUs, s.MemoryGB = 1, 1
	r.submit(s)
	w := r.addMachine("m1", "z1", false)
	for range 40 {
		r.heartbeatAndEndTasks(w)
	}
	runs, _, err := r.state.List(context.Background(), statestore.Urgent("test"), record.PlacementsPrefix)
	if err != nil || len(runs) == 0 {
		t.Fatalf("%d placement records, error %v, want some", len(runs), err)
	}
	for _, e := range runs {
		if len(e.Value) > 16<<10 {
			t.Errorf("record %s has %d bytes, want 16 KiB at most", e.Key, len(e.Value))
		}
	}
	if st, ok := r.shard.Status(s.Ref); !ok || st.Done < 300 {
		t.Fatalf("status %+v, want 300 tasks done at least", st)
	}
}

// A job whose placements take many ranges is done in the end, within the limits of records.
func TestLargeArray(t *testing.T) {
	r := newHarness(t)
	s := spec("run-000001", "b", wire.Array, "normal", 40, 0)
	s.CPUs, s.MemoryGB = 1, 1
	r.submit(s)
	w := r.addMachine("m1", "z1", false)
	for range 30 {
		r.heartbeatAndEndTasks(w)
		if r.jobState(s.Ref) == wire.Done {
			return
		}
	}
	t.Fatal("job not done after 30 heartbeats")
}
