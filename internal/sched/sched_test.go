package sched

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// rig plays one part against a scripted state service, cloud and workers.
type rig struct {
	t       *testing.T
	clock   *testkit.Clock
	state   *testkit.State
	cloud   *testkit.Cloud
	cfg     *Config
	part    *Part
	fleet   *record.Fleet
	workers map[string]*testkit.Worker
	// sendStart, if set, carries direct starts to their workers.
	sendStart func(d Direct)
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, clock: testkit.NewClock(), state: testkit.NewState(), cloud: &testkit.Cloud{}, workers: map[string]*testkit.Worker{}}
	r.cfg = &Config{
		Teams:  map[string]Team{"a": {Name: "a", GPUs: 2, MaxGPUs: 4}, "b": {Name: "b"}},
		Types:  map[string]wire.MachineType{"big": {Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, BootS: 20, CacheGB: 50}},
		Report: 2 * time.Second, Lease: 20 * time.Second, SilentAfter: 8 * time.Second, BootFactor: 3,
		PreemptAfter: 2 * time.Second, TxnOps: 16, SlotTasks: 10,
		Urgency: func(s *wire.Spec, waited time.Duration) float64 { return -waited.Seconds() },
	}
	r.claim()
	return r
}

// claim makes a new owner: a new token and only what the records hold.
func (r *rig) claim() {
	r.t.Helper()
	e := r.state.Put(record.PartKey(0), record.Part{Owner: "x"})
	r.part = New(r.cfg, 0, e.Version)
	r.fleet = record.NewFleet()
	for _, e := range r.list(record.FleetPrefix) {
		r.fleetChange(e)
	}
	if err := r.part.Load(r.fleet, r.list(record.OpenPrefix), r.list(record.SlotsOf(0)), r.clock.Now()); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) list(prefix string) []wire.Entry {
	r.t.Helper()
	l, _, err := r.state.List(context.Background(), statestore.Urgent("test"), prefix)
	if err != nil {
		r.t.Fatal(err)
	}
	return l
}

func (r *rig) fleetChange(e wire.Entry) []string {
	r.t.Helper()
	ids, err := r.fleet.Change(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version})
	if err != nil {
		r.t.Fatal(err)
	}
	return ids
}

// sync tells the part what changed in the fleet's records, as the watch does.
func (r *rig) sync(e wire.Entry) {
	r.t.Helper()
	for _, id := range r.fleetChange(e) {
		if v, ok := r.fleet.Machine(id); ok {
			if err := r.part.SetMachine(id, v, r.clock.Now()); err != nil {
				r.t.Fatal(err)
			}
		}
	}
}

// returns plays the leader: what is to be given back is, and that is recorded.
func (r *rig) returns() {
	r.t.Helper()
	if r.state.Down {
		return
	}
	for _, e := range r.list(record.BackPrefix) {
		r.fleetChange(e)
	}
	for key, b := range r.fleet.Pending() {
		if err := r.cloud.Return(context.Background(), b.Rec.IDs); err != nil {
			r.t.Fatal(err)
		}
		r.sync(r.state.Put(key, record.Back{IDs: b.Rec.IDs, Done: true}))
	}
}

func (r *rig) machine(id, zone string, spot bool) *testkit.Worker {
	r.sync(r.state.Put(record.RentalKey(id), record.Rental{Type: "big", Zone: zone, Spot: spot, Parts: []int{0}, IDs: []string{id}, Born: r.clock.Now().UnixMilli()}))
	w := testkit.NewWorker(id, "big", zone, spot)
	r.workers[id] = w
	return w
}

func spec(ref, team, kind, priority string, tasks int, gpus float64) wire.Spec {
	return wire.Spec{Ref: ref, Class: "c", Team: team, Kind: kind, Priority: priority, Tasks: tasks,
		CPUs: 4, GPUs: gpus, MemoryGB: 10, Image: "img", ImageGB: 4, EstimateS: 60, CheckpointS: 10, SaveS: 2}
}

func (r *rig) submit(s wire.Spec) {
	r.open(record.Open{Spec: s, At: r.clock.Now().UnixMilli()})()
}

func (r *rig) open(o record.Open) (tell func()) {
	e := r.state.Put(record.OpenKey(o.Spec.Ref), o)
	return func() { r.part.SetJob(o.Spec.Ref, o, e.Version, r.clock.Now()) }
}

// cancel writes a cancellation as any controller does; tell brings it to the owner.
func (r *rig) cancel(s wire.Spec) (tell func()) {
	return r.open(record.Open{Spec: s, Cancelled: true})
}

// settle carries out all effects until there are none.
func (r *rig) settle() {
	ctx := context.Background()
	for range 50 {
		now := r.clock.Now()
		eff := r.part.Step(now)
		if r.sendStart != nil {
			for _, id := range eff.Wake {
				if d, ok := r.part.Start(id, now); ok {
					r.sendStart(d)
				}
			}
		}
		if len(eff.Txns)+len(eff.RereadJobs)+len(eff.RereadSlots)+len(eff.RereadMachines)+len(eff.Direct) == 0 {
			return
		}
		for _, t := range eff.Txns {
			rev, err := r.state.Txn(ctx, statestore.Urgent("test"), t.Body)
			var conflict *statestore.ConflictError
			switch {
			case err == nil:
				r.part.Applied(t, rev, now)
			case errors.As(err, &conflict):
				r.part.Conflict(t, conflict.Keys, now)
			case errors.Is(err, statestore.ErrRefused):
				r.part.Refused(t, now)
			default:
				r.part.Unknown(t, now)
			}
		}
		for _, ref := range eff.RereadJobs {
			if err := r.part.JobRead(ref, r.get(record.OpenKey(ref)), now); err != nil {
				r.t.Fatal(err)
			}
		}
		for _, n := range eff.RereadSlots {
			if err := r.part.SlotRead(n, r.get(record.SlotKey(0, n)), now); err != nil {
				r.t.Fatal(err)
			}
		}
		for _, id := range eff.RereadMachines {
			if err := r.part.MachineRead(id, r.get(record.OwnKey(id)), now); err != nil {
				r.t.Fatal(err)
			}
		}
		r.returns()
		for _, d := range eff.Direct {
			w := r.workers[d.Machine]
			if w == nil || w.Session != d.Orders.Session {
				continue
			}
			w.Obey(wire.Orders{Token: d.Orders.Token, Commands: d.Orders.Commands})
			rep := w.Report()
			r.part.Report(&rep, true, now)
		}
	}
	r.t.Fatal("effects never end")
}

func (r *rig) get(key string) *wire.Entry {
	e, err := r.state.Get(context.Background(), statestore.Urgent("test"), key)
	if err != nil {
		return nil
	}
	return &e
}

// expire lets a lease run out in which no report was answered.
func (r *rig) expire(w *testkit.Worker) {
	r.clock.Advance(r.cfg.Lease)
	w.Expire()
}

// beat lets workers report once, and carries out what follows.
func (r *rig) beat(ws ...*testkit.Worker) {
	r.clock.Advance(r.cfg.Report)
	if len(ws) == 0 {
		for _, w := range r.workers {
			ws = append(ws, w)
		}
	}
	for _, w := range ws {
		rep := w.Report()
		o, v := r.part.Report(&rep, false, r.clock.Now())
		if v == Answered {
			w.Obey(o)
		}
	}
	r.settle()
}

func (r *rig) beats(n int, ws ...*testkit.Worker) {
	for range n {
		r.beat(ws...)
	}
}

// on returns where a task runs, asserting that it is in one place at most.
func (r *rig) on(task string) string {
	r.t.Helper()
	at := ""
	for id, w := range r.workers {
		if t := w.Tasks[task]; t != nil && t.State != wire.Exited {
			if at != "" {
				r.t.Fatalf("%s runs on %s and on %s", task, at, id)
			}
			at = id
		}
	}
	return at
}

func (r *rig) jobState(ref string) string {
	if e := r.get(record.JobKey(ref)); e != nil {
		j, err := decode[record.Job](*e)
		if err != nil {
			r.t.Fatal(err)
		}
		return j.State
	}
	e := r.get(record.OpenKey(ref))
	if e == nil {
		r.t.Fatalf("%s is in no record", ref)
	}
	if o, err := decode[record.Open](*e); err != nil || o.Cancelled {
		return wire.Cancelled
	}
	return wire.Pending
}

func TestArrayRunsToItsEnd(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 3, 1))
	r.beats(3)
	if r.on("run-000001/0") != "m1" || r.on("run-000001/1") != "m1" || r.on("run-000001/2") != "" {
		t.Fatalf("want two tasks on the machine's two cards, got %v", w.Started)
	}
	w.End("run-000001/0", wire.Done)
	w.End("run-000001/1", wire.Done)
	r.beats(3)
	if got := r.jobState("run-000001"); got != wire.Pending {
		t.Fatalf("state %q with a task left", got)
	}
	w.End("run-000001/2", wire.Done)
	r.beats(3)
	if got := r.jobState("run-000001"); got != wire.Done {
		t.Fatalf("state %q, want done", got)
	}
	if len(w.Tasks) != 0 {
		t.Fatalf("not forgotten: %v", w.Tasks)
	}
}

// A start goes out only after its record: nothing runs while the state service
// refuses, and a start whose transaction failed is never sent.
func TestNoStartWithoutRecord(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	r.state.Down = true
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.beats(4)
	if len(w.Started) != 0 {
		t.Fatalf("started without a record: %v", w.Started)
	}
	r.state.Down = false
	r.beats(3)
	if r.on("run-000001/0") != "m1" {
		t.Fatal("not started after the outage")
	}
}

// A start given up for want of an answer must not be applied later.
func TestLateTransactionStartsNothing(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	r.state.HoldTxns = 1
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.settle() // its start is held, given up, and placed anew
	r.beats(3)
	if got := r.state.Release(); len(got) != 1 || got[0] == nil {
		t.Fatalf("a late start was still applied: %v", got)
	}
	if len(w.Started) != 1 {
		t.Fatalf("starts %v, want one", w.Started)
	}
}

func TestLostAnswerIsReadBack(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	r.state.LoseAnswers = 1
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.settle()
	r.beats(2)
	if !slices.Equal(w.Started, []string{"run-000001/0#1"}) {
		t.Fatalf("starts %v, want the recorded first attempt", w.Started)
	}
	w.End("run-000001/0", wire.Done)
	r.state.LoseAnswers = 1
	r.beats(2)
	if got := r.jobState("run-000001"); got != wire.Done {
		t.Fatalf("state %q, want done", got)
	}
}

// A new owner knows from the records what may run where, and starts nothing
// twice even when the machine is silent for long.
func TestTakeOverKeepsPlaces(t *testing.T) {
	r := newRig(t)
	w1 := r.machine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.beats(3)
	if r.on("run-000001/0") != "m1" {
		t.Fatal("not started")
	}
	w2 := r.machine("m2", "z1", false)
	r.claim()
	r.beats(8, w2)
	if len(w2.Started) != 0 {
		t.Fatalf("started on a second machine: %v", w2.Started)
	}
	r.beats(2, w1)
	if r.on("run-000001/0") != "m1" || len(w1.Started) != 1 {
		t.Fatalf("task did not go on where it was: %v", w1.Started)
	}
}

// Crash between record and command: the next owner sees that the task never
// arrived, and starts it under a new attempt.
func TestCrashBetweenRecordAndCommand(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.settle()
	if len(w.Started) != 0 {
		t.Fatal("started too early for this test")
	}
	r.claim()
	r.beats(4)
	if !slices.Equal(w.Started, []string{"run-000001/0#2"}) {
		t.Fatalf("starts %v, want attempt 2 only", w.Started)
	}
}

// The late answer of a deposed owner carries a lower token and does nothing;
// its late write fails on the part's record.
func TestDeposedOwnerDoesNothing(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	old := r.part
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.settle()
	rep := w.Report()
	late, _ := old.Report(&rep, false, r.clock.Now())
	if len(late.Commands) == 0 {
		t.Fatal("no start to be late")
	}
	r.claim()
	r.beats(1)
	if w.Obey(late) {
		t.Fatal("the worker took an answer under the old token")
	}
	r.beats(3)
	if len(w.Started) != 1 {
		t.Fatalf("starts %v, want one", w.Started)
	}
	rep = w.Report()
	if _, v := old.Report(&rep, false, r.clock.Now()); v != Deposed {
		t.Fatalf("old owner's verdict %v, want Deposed", v)
	}
}

// A cancellation that came while nobody owned the part: its record is read
// before the placements are, and they must be stopped all the same.
func TestCancelWhileUnowned(t *testing.T) {
	r := newRig(t)
	r.machine("m1", "z1", false)
	s := spec("run-000001", "b", wire.Service, "prod", 1, 1)
	r.submit(s)
	r.beats(3)
	r.cancel(s)
	r.claim()
	r.beats(3)
	if at := r.on(s.Ref + "/0"); at != "" {
		t.Fatalf("still on %s", at)
	}
	r.beats(2)
	if r.part.HasJob(s.Ref) {
		t.Fatal("cancelled job never ends")
	}
}

// A cancellation the owner has not heard of makes its start fail.
func TestCancelRacesStart(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	r.submit(s)
	r.cancel(s) // not told: the part is about to record a start
	r.beats(4)
	if len(w.Started) != 0 {
		t.Fatalf("started after the cancellation: %v", w.Started)
	}
	if r.jobState(s.Ref) != wire.Cancelled {
		t.Fatal("cancellation undone")
	}
}

// Reports order by session and sequence: an old one proves nothing.
func TestLateReportIsIgnored(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	empty := w.Report()
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.beats(3)
	r.part.Report(&empty, false, r.clock.Now())
	r.beats(3)
	if len(w.Started) != 1 {
		t.Fatalf("starts %v, want one", w.Started)
	}
}

// A start whose answer was lost is repeated under the same attempt.
func TestLostStartIsRepeated(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.settle()
	rep := w.Report()
	r.part.Report(&rep, false, r.clock.Now()) // the answer is lost
	r.beats(2)
	if !slices.Equal(w.Started, []string{"run-000001/0#1"}) {
		t.Fatalf("starts %v", w.Started)
	}
}

// An expired session proves its tasks gone.
func TestNewSessionFreesTasks(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.beats(3)
	r.expire(w)
	r.beats(3)
	if !slices.Equal(w.Started, []string{"run-000001/0#1", "run-000001/0#2"}) {
		t.Fatalf("starts %v, want a second attempt", w.Started)
	}
}

// A silent machine is given back while others are heard, and only that frees
// its tasks; when all are silent, none is.
func TestSilentMachine(t *testing.T) {
	r := newRig(t)
	r.machine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.beats(3)
	w2 := r.machine("m2", "z1", false)
	r.beats(2)
	r.clock.Advance(10 * time.Second)
	r.settle()
	if len(r.cloud.Returned) != 0 {
		t.Fatalf("returned %v though all were silent", r.cloud.Returned)
	}
	r.beats(8, w2)
	if !slices.Equal(r.cloud.Returned, []string{"m1"}) {
		t.Fatalf("returned %v, want m1", r.cloud.Returned)
	}
	delete(r.workers, "m1")
	r.beats(2)
	if r.on("run-000001/0") != "m2" {
		t.Fatal("not started again after the return")
	}
}

// Machines cut off together fall silent one shortly after the other: the first
// must not be given up because the rest was heard a moment later.
func TestZoneFallsSilentTogether(t *testing.T) {
	r := newRig(t)
	w1, w2, w3 := r.machine("m1", "z1", false), r.machine("m2", "z1", false), r.machine("m3", "z1", false)
	r.submit(spec("run-000001", "b", wire.Service, "prod", 3, 2))
	r.beats(4)
	r.beat(w1)
	r.beat(w2, w3)
	for range 12 {
		r.clock.Advance(time.Second)
		r.settle()
	}
	if len(r.cloud.Returned) != 0 {
		t.Fatalf("returned %v", r.cloud.Returned)
	}
}

// After a cut the machines of a zone come back one by one: those that were
// heard first must not make the others count as lost, neither to an owner that
// knew them nor to one that took over meanwhile.
func TestZoneComesBackTogether(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		r := newRig(t)
		var ws []*testkit.Worker
		for i := range 6 {
			ws = append(ws, r.machine(fmt.Sprintf("m%d", i), "z1", false))
		}
		r.submit(spec("run-000001", "b", wire.Service, "prod", 6, 2))
		r.beats(10)
		if takeOver {
			r.claim()
		}
		r.clock.Advance(15 * time.Second)
		r.settle()
		for i := range ws {
			r.beat(ws[:i+1]...)
			r.clock.Advance(-r.cfg.Report * 3 / 4)
		}
		r.beats(3)
		if len(r.cloud.Returned) != 0 {
			t.Errorf("take-over %t: returned %v", takeOver, r.cloud.Returned)
		}
	}
}

// The team's limit counts tasks that can't be reached.
func TestLimitCountsUnreachable(t *testing.T) {
	r := newRig(t)
	r.machine("m1", "z1", false)
	r.machine("m2", "z1", false)
	r.submit(spec("run-000001", "a", wire.Array, "normal", 4, 1))
	r.beats(3)
	w3 := r.machine("m3", "z2", false)
	r.submit(spec("run-000002", "a", wire.Array, "prod", 2, 1))
	r.beats(3, w3)
	if len(w3.Started) != 0 {
		t.Fatalf("over the limit: %v", w3.Started)
	}
}

func TestGangStartsWhole(t *testing.T) {
	r := newRig(t)
	s := spec("run-000001", "b", wire.Gang, "urgent", 2, 2)
	s.OneZone = true
	r.submit(s)
	r.machine("m1", "z1", false)
	r.machine("m2", "z2", false)
	r.beats(4)
	if r.on("run-000001/0") != "" || r.on("run-000001/1") != "" {
		t.Fatal("gang started over two zones")
	}
	r.machine("m3", "z2", false)
	r.beats(4)
	a, b := r.on("run-000001/0"), r.on("run-000001/1")
	if a == b || a == "m1" || b == "m1" || a == "" || b == "" {
		t.Fatalf("gang on %q and %q, want m2 and m3", a, b)
	}
	// One machine's session ends: the whole attempt must go before the next.
	lost := r.workers[a]
	r.expire(lost)
	r.beats(5)
	x, y := r.workers[a].Tasks["run-000001/0"], r.workers[b].Tasks["run-000001/1"]
	if x == nil {
		x, y = r.workers[b].Tasks["run-000001/0"], r.workers[a].Tasks["run-000001/1"]
	}
	if x == nil || y == nil || x.Attempt != 2 || y.Attempt != 2 {
		t.Fatalf("want both tasks under attempt 2, got %+v and %+v", x, y)
	}
}

// While a gang waits for its last task, one that is lost is replaced under the
// same attempt.
func TestGangReplacement(t *testing.T) {
	r := newRig(t)
	s := spec("run-000001", "b", wire.Gang, "urgent", 2, 2)
	r.submit(s)
	r.machine("m1", "z1", false)
	r.machine("m2", "z1", false)
	r.beats(2)
	a, b := r.on("run-000001/0"), r.on("run-000001/1")
	if a == "" || b == "" {
		t.Fatal("gang not started")
	}
	r.workers[a].Tasks["run-000001/0"].State = wire.Gathering
	r.workers[b].Tasks["run-000001/1"].State = wire.Fetching
	r.beat()
	r.expire(r.workers[b])
	r.beats(4)
	if got := r.workers[a].Tasks["run-000001/0"]; got == nil || got.Attempt != 1 || got.State != wire.Gathering {
		t.Fatalf("the waiting task was disturbed: %+v", got)
	}
	if got := r.workers[b].Tasks["run-000001/1"]; got == nil || got.Attempt != 1 {
		t.Fatalf("replacement %+v, want attempt 1", got)
	}
}

// Old tasks count for zones as long as they are in place: with same_place no
// other task may start in another zone, with scatter none beyond half in one.
func TestZonesCountOldTasks(t *testing.T) {
	r := newRig(t)
	s := spec("run-000001", "b", wire.Array, "normal", 2, 2)
	s.OneZone = true
	r.submit(s)
	w1 := r.machine("m1", "z1", false)
	r.beats(3)
	if r.on("run-000001/0") != "m1" {
		t.Fatal("not started")
	}
	r.machine("m2", "z2", false)
	r.claim() // the new owner has not heard m1 yet
	r.beats(3, r.workers["m2"])
	if got := r.workers["m2"].Started; len(got) != 0 {
		t.Fatalf("started %v in a second zone", got)
	}
	r.beat(w1)
	w1.End("run-000001/0", wire.Done)
	r.beats(3)
	if r.on("run-000001/1") == "" {
		t.Fatal("the second task never started")
	}
}

// With scatter, a task that can't be reached still counts for its zone.
func TestSpreadCountsOldTasks(t *testing.T) {
	r := newRig(t)
	s := spec("run-000001", "b", wire.Service, "prod", 3, 1)
	s.Spread = true
	r.submit(s)
	r.machine("m1", "z1", false)
	r.beats(3)
	r.machine("m2", "z1", false)
	r.claim()
	r.beats(3, r.workers["m2"])
	if got := r.workers["m2"].Started; len(got) != 0 {
		t.Fatalf("started %v: more than half in one zone", got)
	}
}

// All controllers crash at once, again and again, at every step of a job: it is
// started at most once at a time and ends.
func TestCrashAtEveryStep(t *testing.T) {
	for crash := range 8 {
		r := newRig(t)
		w := r.machine("m1", "z1", false)
		s := spec("run-000001", "b", wire.Array, "normal", 2, 1)
		r.submit(s)
		for step := range 24 {
			if step%8 == crash {
				r.claim()
			}
			r.beat()
			r.on("run-000001/0")
			r.on("run-000001/1")
			if step > 12 {
				w.End("run-000001/0", wire.Done)
				w.End("run-000001/1", wire.Done)
			}
		}
		if r.jobState(s.Ref) != wire.Done {
			t.Errorf("crash at step %d: job not done", crash)
		}
		if len(w.Started) != 2 {
			t.Errorf("crash at step %d: starts %v, want two", crash, w.Started)
		}
	}
}

// A gang is done when one of its tasks is: they complete together.
func TestGangDoneTogether(t *testing.T) {
	r := newRig(t)
	s := spec("run-000001", "b", wire.Gang, "urgent", 2, 2)
	r.submit(s)
	r.machine("m1", "z1", false)
	r.machine("m2", "z1", false)
	r.beats(4)
	w := r.workers[r.on("run-000001/0")]
	w.End("run-000001/0", wire.Done)
	r.beats(1, w)
	if r.jobState(s.Ref) != wire.Done {
		t.Fatal("gang not done")
	}
}

func TestSpreadOverZones(t *testing.T) {
	r := newRig(t)
	s := spec("run-000001", "b", wire.Service, "prod", 3, 1)
	s.Spread = true
	r.submit(s)
	r.machine("m1", "z1", false)
	r.machine("m2", "z1", false)
	r.beats(4)
	n := 0
	for i := range 3 {
		if r.on(fmt.Sprintf("run-000001/%d", i)) != "" {
			n++
		}
	}
	if n != 2 {
		t.Fatalf("%d of 3 in one zone, want 2", n)
	}
}

func TestKindsOfMachine(t *testing.T) {
	r := newRig(t)
	r.machine("m1", "z1", true)
	zone := "z2"
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1) // no spot
	z := spec("run-000002", "b", wire.Array, "normal", 1, 1)
	z.Spot, z.Zone = true, &zone // wrong zone
	r.submit(s)
	r.submit(z)
	r.beats(4)
	if got := r.workers["m1"].Started; len(got) != 0 {
		t.Fatalf("started %v on a machine that no job allows", got)
	}
}

// Higher work takes the place of lower, which saves first.
func TestPreemption(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.beats(3)
	r.submit(spec("run-000002", "b", wire.Service, "prod", 1, 1))
	r.beats(6)
	if r.on("run-000002/0") != "m1" {
		t.Fatalf("prod task waits: %v", w.Started)
	}
	if r.on("run-000001/0") != "" && r.on("run-000001/1") != "" {
		t.Fatal("nothing gave way")
	}
	// Its equal does not.
	r.submit(spec("run-000003", "b", wire.Service, "prod", 2, 1))
	r.beats(6)
	if r.on("run-000002/0") != "m1" {
		t.Fatal("equal priority was preempted")
	}
}

// Errors on one machine end it; errors of one job everywhere hold the job back.
func TestErrorsFindTheirCause(t *testing.T) {
	r := newRig(t)
	for _, id := range []string{"m1", "m2", "m3", "m4", "m5"} {
		r.machine(id, "z1", false)
	}
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	for range 30 {
		for _, w := range r.workers {
			w.End("run-000001/0", wire.WhyError)
		}
		r.beat()
	}
	if len(r.cloud.Returned) > 0 {
		t.Fatalf("a bad job burned machines: %v", r.cloud.Returned)
	}
	n := 0
	for _, w := range r.workers {
		n += len(w.Started)
	}
	if n > 12 {
		t.Fatalf("%d tries of a job failing everywhere", n)
	}
	r = newRig(t)
	bad := r.machine("m1", "z1", false)
	r.machine("m2", "z1", false)
	for i := range 4 {
		r.submit(spec(fmt.Sprintf("run-00000%d", i), "b", wire.Array, "normal", 1, 1))
	}
	for range 8 {
		for name := range bad.Tasks {
			bad.End(name, wire.WhyError)
		}
		r.beat()
	}
	if !slices.Equal(r.cloud.Returned, []string{"m1"}) {
		t.Fatalf("returned %v, want the faulty machine", r.cloud.Returned)
	}
}

// Only an empty machine moves, and its record goes with conditions.
func TestNoticeSavesAndReturns(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", true)
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	s.Spot = true
	r.submit(s)
	r.beats(3)
	left := 10.0
	w.Notice = &left
	r.beats(4)
	if len(w.Tasks) != 0 || !slices.Equal(r.cloud.Returned, []string{"m1"}) {
		t.Fatalf("tasks %v, returned %v", w.Tasks, r.cloud.Returned)
	}
}

// The order in which a team is served: a guarantee before borrowing.
func TestGuaranteeGoesFirst(t *testing.T) {
	r := newRig(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.submit(spec("run-000002", "a", wire.Array, "normal", 2, 1))
	w := r.machine("m1", "z1", false)
	r.beats(3)
	if r.on("run-000002/0") == "" || r.on("run-000002/1") == "" {
		t.Fatalf("guaranteed team waits: %v", w.Started)
	}
}

// The largest job that the protocol allows keeps its records small.
func TestLargestArray(t *testing.T) {
	r := newRig(t)
	r.cfg.SlotTasks = SlotTasks(16)
	s := spec("run-000001", "b", wire.Array, "normal", 100000, 0)
	s.CPUs, s.MemoryGB = 1, 1
	r.submit(s)
	w := r.machine("m1", "z1", false)
	for range 40 {
		r.beat()
		for name := range w.Tasks {
			w.End(name, wire.Done)
		}
	}
	runs, _, err := r.state.List(context.Background(), statestore.Urgent("test"), record.SlotPrefix)
	if err != nil || len(runs) == 0 {
		t.Fatalf("%d records, %v", len(runs), err)
	}
	for _, e := range runs {
		if len(e.Value) > 16<<10 {
			t.Errorf("record %s has %d bytes", e.Key, len(e.Value))
		}
	}
	if st, ok := r.part.Status(s.Ref); !ok || st.Done < 300 {
		t.Fatalf("status %+v", st)
	}
}

// A job of many ranges ends in one piece and keeps to the limits of records.
func TestLargeArray(t *testing.T) {
	r := newRig(t)
	s := spec("run-000001", "b", wire.Array, "normal", 40, 0)
	s.CPUs, s.MemoryGB = 1, 1
	r.submit(s)
	w := r.machine("m1", "z1", false)
	for range 30 {
		r.beat()
		for name := range w.Tasks {
			w.End(name, wire.Done)
		}
		if r.jobState(s.Ref) == wire.Done {
			return
		}
	}
	t.Fatal("never done")
}

// deaf lets a worker report without any answer reaching it.
func (r *rig) deaf(w *testkit.Worker) {
	rep := w.Report()
	r.part.Report(&rep, false, r.clock.Now())
}

// A machine whose reports arrive but which no answer reaches gets no more work
// once starts don't show, and goes back; its tasks run elsewhere only then, or
// when its reports prove them absent.
func TestOneWayMachine(t *testing.T) {
	r := newRig(t)
	w1 := r.machine("m1", "z1", false)
	r.beats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.settle() // placed and recorded on m1
	for range 3 {
		r.clock.Advance(r.cfg.Report)
		r.deaf(w1)
		r.settle()
	}
	w2 := r.machine("m2", "z1", false)
	r.submit(spec("run-000002", "b", wire.Array, "normal", 2, 1))
	for range 6 {
		r.clock.Advance(r.cfg.Report)
		r.deaf(w1)
		r.beat(w2)
	}
	w1.Expire()
	if len(w1.Started) != 0 || len(w2.Started) != 2 {
		t.Fatalf("starts %v and %v, want two on the machine that hears", w1.Started, w2.Started)
	}
	for range 20 {
		w2.End("run-000001/0", wire.Done)
		w2.End("run-000001/1", wire.Done)
		w2.End("run-000002/0", wire.Done)
		w2.End("run-000002/1", wire.Done)
		r.deaf(w1)
		r.beat(w2)
	}
	if !slices.Equal(r.cloud.Returned, []string{"m1"}) {
		t.Fatalf("returned %v, want the machine that hears nothing", r.cloud.Returned)
	}
	if len(w2.Started) != 4 {
		t.Fatalf("starts %v, want all four tasks on m2", w2.Started)
	}
}

// A lease that ran out though every report was answered marks such a machine,
// too; one answer seen to arrive clears it.
func TestOneWayMachineRecovers(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	for range 10 {
		r.clock.Advance(r.cfg.Report)
		r.deaf(w)
	}
	w.Expire()
	r.deaf(w)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.beats(5)
	if len(w.Started) != 0 {
		t.Fatalf("started %v on a machine that may hear nothing", w.Started)
	}
	r.beats(8) // the session outlives its lease: answers arrive
	if len(w.Started) != 1 || len(r.cloud.Returned) != 0 {
		t.Fatalf("starts %v, returned %v: want the machine used again", w.Started, r.cloud.Returned)
	}
}

// After a take-over nobody remembers the last report. A late copy of an old one
// settles, frees and starts nothing and does not count as a sign of life.
func TestLateCopyAfterTakeOver(t *testing.T) {
	r := newRig(t)
	w1, w2 := r.machine("m1", "z1", false), r.machine("m2", "z1", false)
	r.beats(2)
	empty := w1.Report()
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	zone := "z1"
	s.Zone = &zone
	r.submit(s)
	r.beats(3)
	at := r.on("run-000001/0")
	if at == "m2" {
		w1, w2 = w2, w1
		empty.Machine = "m2"
	}
	r.claim()
	late := func() {
		rep := empty
		if o, _ := r.part.Report(&rep, false, r.clock.Now()); len(o.Commands) != 0 {
			t.Fatalf("a late copy was answered with %v", o.Commands)
		}
		empty.Seq-- // another copy, older still
		r.settle()
	}
	r.submit(spec("run-000002", "b", wire.Array, "normal", 4, 1))
	for range 10 {
		r.clock.Advance(r.cfg.Report)
		late()
		r.beat(w2)
	}
	if got := r.on("run-000001/0"); got != at {
		t.Fatalf("the task is on %q after late copies, want %q", got, at)
	}
	if len(w2.Started) > 2 {
		t.Fatalf("starts %v: the task of the silent machine runs twice", w2.Started)
	}
	for range 15 {
		r.clock.Advance(r.cfg.Report)
		late()
		r.beat(w2)
	}
	if !slices.Equal(r.cloud.Returned, []string{at}) {
		t.Fatalf("returned %v, want the silent machine, whatever late copies say", r.cloud.Returned)
	}
}

// While cancellations told elsewhere may be unknown, nothing is started, not
// even what was recorded before; stops still go out.
func TestBlindStartsNothing(t *testing.T) {
	r := newRig(t)
	w := r.machine("m1", "z1", false)
	r.beats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.settle()
	r.part.SetBlind(true)
	r.beats(3)
	if len(w.Started) != 0 {
		t.Fatalf("started %v", w.Started)
	}
	r.part.SetBlind(false)
	r.beats(1)
	if len(w.Started) != 1 {
		t.Fatalf("starts %v after the views came back", w.Started)
	}
}

// Starts of many jobs share one write, and a cancelled one among them does not
// hold the others up.
func TestSlotSharesWrites(t *testing.T) {
	r := newRig(t)
	r.cfg.SlotTasks = 200
	for i := range 4 {
		r.machine(fmt.Sprintf("m%d", i), "z1", false)
	}
	r.beats(2)
	for i := range 6 {
		s := spec(fmt.Sprintf("run-00000%d", i), "b", wire.Array, "normal", 1, 1)
		r.submit(s)
		if i == 3 {
			r.cancel(s) // not told to the owner
		}
	}
	eff := r.part.Step(r.clock.Now())
	if len(eff.Txns) != 1 || len(eff.Txns[0].Body.Then) != 1 {
		t.Fatalf("%d transactions for six starts, want one with one change", len(eff.Txns))
	}
	_, err := r.state.Txn(context.Background(), statestore.Urgent("test"), eff.Txns[0].Body)
	var conflict *statestore.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a conflict on the cancelled job", err)
	}
	r.part.Conflict(eff.Txns[0], conflict.Keys, r.clock.Now())
	for _, ref := range r.part.out.RereadJobs {
		if err := r.part.JobRead(ref, r.get(record.OpenKey(ref)), r.clock.Now()); err != nil {
			t.Fatal(err)
		}
	}
	r.part.out.RereadJobs = nil
	r.beats(3)
	for i := range 6 {
		name := fmt.Sprintf("run-00000%d/0", i)
		if on := r.on(name); (on == "") != (i == 3) {
			t.Errorf("%s is on %q", name, on)
		}
	}
}

// A return whose answer got lost is recorded once, and its machines never come
// back into use.
func TestReturnWithoutAnswer(t *testing.T) {
	for _, script := range []func(*testkit.State){
		func(s *testkit.State) { s.LoseAnswers = 1 },
		func(s *testkit.State) { s.HoldTxns = 1 },
	} {
		r := newRig(t)
		w := r.machine("m1", "z1", false)
		r.beats(2)
		r.part.Order(fleet.Order{Machine: "m1", To: fleet.Back}, r.clock.Now())
		script(r.state)
		r.beats(1)
		r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
		r.beats(4)
		r.state.Release()
		r.beats(2)
		if len(w.Started) != 0 {
			t.Fatalf("started %v on a machine given back", w.Started)
		}
		if len(r.cloud.Returned) == 0 || r.part.HasMachine("m1") {
			t.Fatalf("returned %v", r.cloud.Returned)
		}
	}
}

// deliver carries a direct command out, as its worker would, and tells the
// part unless the answer is lost.
func (r *rig) deliver(d Direct, answered bool) {
	w := r.workers[d.Machine]
	if w.Session != d.Orders.Session || !w.Obey(wire.Orders{Token: d.Orders.Token, Commands: d.Orders.Commands}) {
		if answered {
			r.part.DirectDone(d, Refused, r.clock.Now())
		}
		return
	}
	rep := w.Report()
	if answered {
		r.part.DirectDone(d, Executed, r.clock.Now())
		r.part.Report(&rep, true, r.clock.Now())
	}
}

// A start sent straight to the worker runs without waiting for a report, and
// its repetition in an answer starts nothing twice.
func TestDirectStart(t *testing.T) {
	r := newRig(t)
	r.sendStart = func(d Direct) { r.deliver(d, true) }
	w := r.machine("m1", "z1", false)
	r.beats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 2, 1))
	r.settle()
	if len(w.Started) != 2 {
		t.Fatalf("starts %v before the next report, want both", w.Started)
	}
	r.beats(2)
	w.End("run-000001/0", wire.Done)
	w.End("run-000001/1", wire.Done)
	r.beats(4)
	if len(w.Started) != 2 || r.jobState("run-000001") != wire.Done {
		t.Fatalf("starts %v, state %s", w.Started, r.jobState("run-000001"))
	}
}

// A direct start without an answer may come late. Its task keeps its place, and
// its job is not over, until the worker has seen a higher token; from then on
// the late command does nothing.
func TestLateDirectStart(t *testing.T) {
	r := newRig(t)
	var late []Direct
	r.sendStart = func(d Direct) { late = append(late, d) }
	w := r.machine("m1", "z1", false)
	r.beats(2)
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	r.submit(s)
	r.settle()
	if len(late) != 1 {
		t.Fatalf("%d direct starts, want one", len(late))
	}
	r.cancel(s)()
	r.beats(1)
	if !r.part.HasJob(s.Ref) {
		t.Fatal("the job is over though its start may still come")
	}
	before := w.Token
	for range 6 {
		r.part.DirectDone(late[0], NoAnswer, r.clock.Now())
		r.beat()
	}
	if w.Token <= before || r.part.HasJob(s.Ref) {
		t.Fatalf("token %d, before %d: want a higher one, and the job's end after it", w.Token, before)
	}
	r.deliver(late[0], false)
	if len(w.Started) != 0 {
		t.Fatalf("the late command started %v", w.Started)
	}
}

// A copy of a direct start that was carried out comes after its task was
// stopped and started elsewhere: the worker has not forgotten the attempt.
func TestCopyOfDirectStart(t *testing.T) {
	r := newRig(t)
	var sent []Direct
	r.sendStart = func(d Direct) { sent = append(sent, d); r.deliver(d, true) }
	w1 := r.machine("m1", "z1", false)
	r.beats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 2))
	r.settle()
	r.beats(1)
	r.submit(spec("run-000002", "b", wire.Service, "prod", 1, 2))
	r.beats(4) // takes the array's place
	w2 := r.machine("m2", "z1", false)
	r.beats(4)
	if r.on("run-000001/0") != "m2" || r.on("run-000002/0") != "m1" {
		t.Fatalf("starts %v and %v", w1.Started, w2.Started)
	}
	r.deliver(sent[0], false)
	if got := r.on("run-000001/0"); got != "m2" {
		t.Fatalf("the task is on %q", got)
	}
	// A new session forgets all, and takes no command of the old one.
	r.expire(w1)
	r.deliver(sent[0], false)
	if got := r.on("run-000001/0"); got != "m2" {
		t.Fatalf("the task is on %q", got)
	}
}

// Attempts that may not be forgotten do not pile up: a higher token ends that.
func TestKeptAttemptsAreCleared(t *testing.T) {
	r := newRig(t)
	r.sendStart = func(d Direct) { r.deliver(d, true) }
	w := r.machine("m1", "z1", false)
	r.beats(2)
	for i := range 3 * fenceRuns {
		s := spec(fmt.Sprintf("run-0000%02d", i), "b", wire.Service, "prod", 1, 2)
		r.submit(s)
		r.beats(2)
		r.cancel(s)()
		r.beats(2)
		if len(w.Tasks) > fenceRuns+2 {
			t.Fatalf("%d tasks are kept after %d jobs", len(w.Tasks), i+1)
		}
	}
	if len(w.Started) != 3*fenceRuns {
		t.Fatalf("%d starts, want %d", len(w.Started), 3*fenceRuns)
	}
}

// A take-over makes every direct start of the earlier owner void.
func TestTakeOverVoidsDirectStarts(t *testing.T) {
	r := newRig(t)
	var late []Direct
	r.sendStart = func(d Direct) { late = append(late, d) }
	w1 := r.machine("m1", "z1", false)
	r.beats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 2))
	r.settle()
	r.sendStart = nil
	w2 := r.machine("m2", "z1", false)
	r.claim()
	r.beats(4)
	r.deliver(late[0], false)
	if n := len(w1.Started) + len(w2.Started); n != 1 {
		t.Fatalf("starts %v and %v, want one", w1.Started, w2.Started)
	}
}

// A service goes to a machine that caches its image even where lower work has
// to give way there, rather than fetch it on a free one.
func TestServiceSeeksItsImage(t *testing.T) {
	r := newRig(t)
	typ := r.cfg.Types["big"]
	typ.FetchGBps = 0.2
	r.cfg.Types["big"] = typ
	r.machine("m1", "z1", false)
	first := spec("run-000001", "b", wire.Service, "prod", 1, 2)
	first.Image = "web"
	r.submit(first)
	r.beats(3)
	r.cancel(first)()
	r.beats(3)
	r.submit(spec("run-000002", "b", wire.Array, "normal", 2, 1))
	r.beats(20)
	if r.on("run-000002/0") != "m1" || r.on("run-000002/1") != "m1" {
		t.Fatal("the array did not start")
	}
	r.machine("m2", "z1", false)
	r.beats(2)
	again := spec("run-000003", "b", wire.Service, "prod", 2, 1)
	again.Image = "web"
	r.submit(again)
	r.beats(4)
	if a, b := r.on("run-000003/0"), r.on("run-000003/1"); a != "m1" || b != "m1" {
		t.Fatalf("on %q and %q, want both on the machine with the image", a, b)
	}
	r.beats(4)
	if a, b := r.on("run-000002/0"), r.on("run-000002/1"); a != "m2" || b != "m2" {
		t.Fatalf("the array is on %q and %q, want it to go on elsewhere", a, b)
	}
}

// Machines that come one by one are kept for the gang that waits: smaller work
// of its priority and below can't starve it.
func TestGangGathersMachines(t *testing.T) {
	r := newRig(t)
	g := spec("run-000001", "b", wire.Gang, "urgent", 3, 2)
	g.OneZone = true
	r.submit(g)
	for i := range 3 {
		r.submit(spec(fmt.Sprintf("run-00001%d", i), "b", wire.Gang, "urgent", 1, 2))
		r.submit(spec(fmt.Sprintf("run-00002%d", i), "b", wire.Array, "normal", 2, 1))
		r.machine(fmt.Sprintf("m%d", i), "z1", false)
		r.beats(2)
	}
	r.beats(2)
	for i := range 3 {
		if name := fmt.Sprintf("run-000001/%d", i); r.on(name) == "" {
			t.Errorf("%s was starved by smaller work", name)
		}
	}
}
