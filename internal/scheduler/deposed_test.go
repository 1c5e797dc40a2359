package scheduler

import (
	"context"
	"errors"
	"slices"
	"testing"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// These tests guard the condition of each write on its shard's record. In each of them an owner that has
// not noticed its successor, for example because only its peers lost contact with it, makes a write
// after the successor has loaded the records. The other conditions of these writes hold, since the
// successor has changed none of the records that they name.

// deposedHarness is a shard with a new owner, and an old owner that has not noticed this.
type deposedHarness struct {
	*harness
	oldOwner *Shard
}

// depose gives the shard a new owner and keeps the old one.
func depose(r *harness) *deposedHarness {
	d := &deposedHarness{harness: r, oldOwner: r.shard}
	r.failOver()
	return d
}

// nextTxn steps the shard until it has a transaction to write, and returns the first one.
func (r *harness) nextTxn() *Txn {
	r.t.Helper()
	for range 4 {
		eff := r.shard.Step(r.clock.Now())
		if len(eff.Txns) > 0 {
			return eff.Txns[0]
		}
		r.clock.Advance(r.cfg.HeartbeatInterval / 2)
	}
	r.t.Fatal("no transaction in 4 steps")
	return nil
}

// commitLate carries out a transaction of the old owner and passes the outcome to it. It reports
// whether the condition on the shard's record failed.
func (d *deposedHarness) commitLate(t *Txn) bool {
	d.t.Helper()
	now := d.clock.Now()
	revision, err := d.state.Txn(context.Background(), statestore.Urgent("test"), t.Body)
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		d.oldOwner.Conflict(t, conflict.Keys, now)
		return slices.Contains(conflict.Keys, record.ShardKey(d.id))
	}
	if err != nil {
		d.t.Fatal(err)
	}
	d.oldOwner.Applied(t, revision, now)
	return false
}

// sendHeartbeatToOldOwner sends a heartbeat of a worker to the old owner.
func (d *deposedHarness) sendHeartbeatToOldOwner(w *testkit.Worker) {
	heartbeat := w.NextHeartbeat()
	if batch, disposition := d.oldOwner.Heartbeat(&heartbeat, false, d.clock.Now()); disposition == Answered {
		w.Execute(batch)
	}
}

// updateOldOwner applies a machine's present record to the old owner and sends it three heartbeats of
// the worker.
func (d *deposedHarness) updateOldOwner(w *testkit.Worker) {
	d.t.Helper()
	view, _ := d.fleet.Machine(w.ID)
	if err := d.oldOwner.SetMachine(w.ID, view, d.clock.Now()); err != nil {
		d.t.Fatal(err)
	}
	for range 3 {
		d.clock.Advance(d.cfg.HeartbeatInterval)
		d.sendHeartbeatToOldOwner(w)
	}
}

// If the old owner could record a start after its successor has loaded the records, the task would
// run twice: there and where the successor starts it.
func TestDeposedOwnerRecordsNoStart(t *testing.T) {
	r := newHarness(t)
	w1 := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	start := r.nextTxn()
	d := depose(r)
	refused := d.commitLate(start)
	d.sendHeartbeatToOldOwner(w1)
	w2 := r.addMachine("m2", "z1", false)
	r.heartbeats(4, w2)
	if at := r.runningOn("run-000001/0"); at != "m2" {
		t.Errorf("the task is on %q, want m2, where the new owner started it", at)
	}
	if !refused || !d.oldOwner.OwnershipLost() {
		t.Error("a start was recorded by an owner that has a successor")
	}
}

// If the old owner, whose ledger has no placed task of a job, could record the job's end, the user
// would see that end while a task started by the successor runs.
func TestDeposedOwnerEndsNoJob(t *testing.T) {
	r := newHarness(t)
	s := spec("run-000001", "b", wire.Array, "normal", 1, 1)
	r.submit(s)
	r.carryOutEffects()
	d := depose(r)
	r.addMachine("m1", "z1", false)
	r.heartbeats(3)
	if r.runningOn("run-000001/0") == "" {
		t.Fatal("the successor did not start the task")
	}
	e := r.state.Put(record.ActiveJobKey(s.Ref), record.ActiveJob{Spec: s, Shard: r.id, Cancelled: true})
	d.oldOwner.SetJob(s.Ref, record.ActiveJob{Spec: s, Shard: r.id, Cancelled: true}, e.Version, r.clock.Now())
	eff := d.oldOwner.Step(r.clock.Now())
	if len(eff.Txns) != 1 {
		t.Fatalf("%d transactions of the old owner, want the job's end", len(eff.Txns))
	}
	refused := d.commitLate(eff.Txns[0])
	if at := r.runningOn("run-000001/0"); at != "" && r.get(record.FinishedJobKey(s.Ref)) != nil {
		t.Errorf("the end is recorded while the task runs on %s", at)
	}
	if !refused {
		t.Error("an end was recorded by an owner that has a successor")
	}
}

// If the old owner, whose ledger has no task on a machine, could transfer the machine to another
// shard, the successor's task there would be transferred with it and then run twice.
func TestDeposedOwnerTransfersNoMachine(t *testing.T) {
	r := newHarness(t)
	w1 := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	r.shard.ApplyFleetOrder(fleet.Order{Machine: "m1", To: 1}, r.clock.Now())
	move := r.nextTxn()
	d := depose(r)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" {
		t.Fatal("the successor did not start the task")
	}
	refused := d.commitLate(move)
	if e := r.get(record.OverrideKey("m1")); e != nil {
		r.applyRecord(*e)
	}
	// The next start on the machine is conditional on its record, so that the new owner would
	// notice a transfer.
	r.submit(spec("run-000002", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(2, w1)
	w2 := r.addMachine("m2", "z1", false)
	r.heartbeats(3, w2)
	if at := r.runningOn("run-000001/0"); at != "m1" {
		t.Errorf("the task is on %q, want m1", at)
	}
	if !refused {
		t.Error("a machine was transferred by an owner that has a successor")
	}
}

// If the old owner could release a machine, the successor's task there would be lost.
func TestDeposedOwnerReleasesNoMachine(t *testing.T) {
	r := newHarness(t)
	r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	r.shard.ApplyFleetOrder(fleet.Order{Machine: "m1", To: fleet.ReleaseToCloud}, r.clock.Now())
	back := r.nextTxn()
	d := depose(r)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" {
		t.Fatal("the successor did not start the task")
	}
	refused := d.commitLate(back)
	r.releaseMachines()
	if len(r.cloud.Released) != 0 {
		t.Errorf("%v was released with a task on it", r.cloud.Released)
	}
	if !refused {
		t.Error("a machine was released by an owner that has a successor")
	}
}

// stepWithWritesRefused handles heartbeats and steps the shard while the state service refuses the
// requests of its owner only: all writes are refused. It returns the machines whose records are to
// be read again.
func (r *harness) stepWithWritesRefused(workers ...*testkit.Worker) (rereads []string) {
	now := r.clock.Now()
	for _, w := range workers {
		heartbeat := w.NextHeartbeat()
		if batch, disposition := r.shard.Heartbeat(&heartbeat, false, now); disposition == Answered {
			w.Execute(batch)
		}
	}
	effects := r.shard.Step(now)
	r.answerProbes(effects)
	for _, t := range effects.Txns {
		r.shard.Refused(t, now)
	}
	return effects.RereadMachines
}

// After a transfer without an answer the machine's record is read again before the shard does
// anything else with the machine. If the transfer counted as refused, the machine would stay in the
// old shard as long as the state service refuses only that shard's owner. It would be silent there,
// since it reports to the new shard, and would be released with a task of the new shard on it.
func TestTransferWithoutAnswerIsNotTakenForRefused(t *testing.T) {
	r := newHarness(t)
	moved, stays := r.addMachine("m1", "z1", false), r.addMachine("m2", "z1", false)
	r.heartbeats(2)
	r.shard.ApplyFleetOrder(fleet.Order{Machine: "m1", To: 1}, r.clock.Now())
	move := r.nextTxn()
	if _, err := r.state.Txn(context.Background(), statestore.Urgent("test"), move.Body); err != nil {
		t.Fatal(err)
	}
	r.shard.Unknown(move, r.clock.Now())
	other := newShardHarness(t, 1, r.clock, r.state)
	other.cloud, other.workers["m1"] = r.cloud, moved
	other.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	var rereads []string
	for range 12 {
		other.heartbeats(1)
		rereads = append(rereads, r.stepWithWritesRefused(stays)...)
	}
	if other.runningOn("run-000001/0") != "m1" {
		t.Fatal("the shard that the machine was transferred to did not start the task")
	}
	for _, id := range rereads { // the state service serves the old shard's owner again
		if err := r.shard.MachineRead(id, r.get(record.OverrideKey(id)), r.clock.Now()); err != nil {
			t.Fatal(err)
		}
	}
	r.heartbeats(3, stays)
	other.heartbeats(2)
	if len(r.cloud.Released) != 0 {
		t.Errorf("%v was released while run-000001/0 runs there", r.cloud.Released)
	}
	if other.runningOn("run-000001/0") != "m1" || len(moved.Started) != 1 {
		t.Errorf("starts on m1 are %v, want one, whose task still runs", moved.Started)
	}
	if r.shard.HasMachine("m1") {
		t.Error("the old shard still has the machine")
	}
}

// A machine's token is raised by rewriting its override record. The watch of machine records may be
// ahead of the watch of ownership records: then an owner that has a successor sees the machine's new
// version first. Such an owner once used that version as its own token, accepted the machine's
// heartbeats and stopped the tasks that its successor had started there. With data loss detection it
// also suspected a data loss, since the attempts were above those in its ledger. Without its lease it
// could not have started a task.
//
// Random schedules showed this (far-115, "refused alone" for 40 s and then served again):
// "task not in the records task=run-000001/3 machine=i-000015 shard=2 token=155 attempt=12
// recorded=10", while the heartbeat had token 236, which c-0 had given the machine as the owner of
// the shard under token 175.
func TestDeposedOwnerTakesNoRaisedToken(t *testing.T) {
	r, w := newHarnessWithMachine(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	d := depose(r)
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" {
		t.Fatal("the successor did not start the task")
	}
	raised := r.state.Put(record.OverrideKey("m1"), record.Machine{Type: "big", Zone: "z1", Shard: r.id})
	r.applyRecord(raised)
	r.heartbeats(2)
	if w.Token != raised.Version {
		t.Fatalf("the worker has token %d, want %d", w.Token, raised.Version)
	}
	d.updateOldOwner(w)
	if r.runningOn("run-000001/0") != "m1" {
		t.Error("an owner that has a successor stopped the successor's task")
	}
	heartbeat := w.NextHeartbeat()
	if _, disposition := d.oldOwner.Heartbeat(&heartbeat, false, r.clock.Now()); disposition != Deposed {
		t.Errorf("a heartbeat under the successor's token: disposition %d, want %d", disposition, Deposed)
	}
}

// The same as TestDeposedOwnerTakesNoRaisedToken, for a machine that was transferred to the shard
// after the shard had a new owner.
func TestDeposedOwnerTakesNoTransferredMachine(t *testing.T) {
	r := newHarness(t)
	r.submit(spec("run-000001", "b", wire.Array, "normal", 1, 1))
	d := depose(r)
	r.applyRecord(r.state.Put(record.ProvisionKey("m1"), record.Provision{Type: "big", Zone: "z1", Shards: []int{r.id + 1}, IDs: []string{"m1"}}))
	arrives := r.state.Put(record.OverrideKey("m1"), record.Machine{Type: "big", Zone: "z1", Shard: r.id})
	w := testkit.NewWorker("m1", "big", "z1", false)
	r.workers["m1"] = w
	r.applyRecord(arrives)
	r.heartbeats(3)
	if r.runningOn("run-000001/0") != "m1" {
		t.Fatal("the successor did not start the task")
	}
	d.updateOldOwner(w)
	if r.runningOn("run-000001/0") != "m1" {
		t.Error("an owner that has a successor stopped the successor's task")
	}
}
