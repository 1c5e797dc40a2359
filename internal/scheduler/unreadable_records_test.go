package scheduler

import (
	"context"
	"encoding/json"
	"slices"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// unreadableHarness is a shard whose only record of placements is damaged: it told of a job that
// runs on a machine, and of another with one task done and one to be started again.
type unreadableHarness struct {
	*harness
	worker                 *testkit.Worker
	runningJob, partialJob wire.Spec
	recordKey              string
	intactValue            []byte
}

func newUnreadableHarness(t *testing.T) *unreadableHarness {
	t.Helper()
	r := newHarness(t)
	r.sizedRangesAllowed = true
	r.failOver()
	w := r.addMachine("m1", "z1", false)
	r.heartbeats(2)
	u := &unreadableHarness{
		harness: r, worker: w, recordKey: record.PlacementsKey(r.id, 0),
		runningJob: spec("run-000001", "b", wire.Array, "normal", 1, 1),
		partialJob: spec("run-000002", "b", wire.Array, "normal", 2, 1),
	}
	r.submit(u.runningJob)
	r.submit(u.partialJob)
	r.heartbeats(3)
	w.End("run-000002/0", wire.Done)
	w.End("run-000002/1", wire.ExitError)
	r.heartbeats(1)
	u.intactValue = slices.Clone(r.get(u.recordKey).Value)
	u.state.Put(u.recordKey, "nonsense")
	r.failOver()
	return u
}

// What runs by a record that can't be decoded is adopted where it is, what may have completed
// is not started again, and new jobs go on once all machines have reported.
func TestUnreadablePlacementsAreIsolated(t *testing.T) {
	u := newUnreadableHarness(t)
	if len(u.shard.MalformedRecords()) != 1 {
		t.Fatalf("told of %v", u.shard.MalformedRecords())
	}
	started := len(u.worker.Started)
	other := u.addMachine("m2", "z1", false)
	u.submit(spec("run-000003", "b", wire.Array, "normal", 1, 1))
	u.heartbeats(4, other)
	if len(other.Started) != 0 {
		t.Fatalf("started %v while a machine is silent", other.Started)
	}
	u.heartbeats(4)
	if u.runningOn("run-000001/0") != "m1" {
		t.Error("the running task was not adopted")
	}
	if u.runningOn("run-000003/0") == "" {
		t.Error("a new job does not start")
	}
	all := append(slices.Clone(u.worker.Started[started:]), other.Started...)
	if !slices.Equal(all, []string{"run-000003/0#1"}) {
		t.Errorf("started %v, want the new job alone", all)
	}
	u.worker.End("run-000001/0", wire.Done)
	u.heartbeats(3)
	if u.jobState(u.runningJob.Ref) != wire.Done || u.jobState(u.partialJob.Ref) != wire.Pending {
		t.Errorf("the jobs are %q and %q, want done and pending", u.jobState(u.runningJob.Ref), u.jobState(u.partialJob.Ref))
	}
	if string(u.get(u.recordKey).Value) != `"nonsense"` {
		t.Error("the damaged record was written")
	}
}

// An adopted task is on record: the next owner finds it also while its machine is silent.
func TestAdoptedPlacementIsRecorded(t *testing.T) {
	u := newUnreadableHarness(t)
	u.heartbeats(4)
	u.failOver()
	if got := u.runningOn("run-000001/0"); got != "m1" {
		t.Fatalf("after another take-over the task is on %q", got)
	}
}

// A cancellation is told only once nothing of the job can run unseen.
func TestUnreadablePlacementsHoldCancellations(t *testing.T) {
	u := newUnreadableHarness(t)
	other := u.addMachine("m2", "z1", false)
	u.cancel(u.runningJob)()
	u.cancel(u.partialJob)()
	u.heartbeats(4, other)
	for _, spec := range []wire.Spec{u.runningJob, u.partialJob} {
		if u.get(record.FinishedJobKey(spec.Ref)) != nil {
			t.Fatalf("%s has ended while its machine is silent", spec.Ref)
		}
	}
	u.heartbeats(6)
	for _, spec := range []wire.Spec{u.runningJob, u.partialJob} {
		if u.get(record.FinishedJobKey(spec.Ref)) == nil {
			t.Errorf("the end of %s is not recorded", spec.Ref)
		}
	}
	if len(u.worker.Report().Tasks) > 0 {
		t.Error("the cancelled task still runs")
	}
}

// What was recorded since counts before what a restored record tells: a task that has completed
// meanwhile is not started again.
func TestNewPlacementsOverrideRestoredRecord(t *testing.T) {
	u := newUnreadableHarness(t)
	u.state.Put(u.recordKey, json.RawMessage(u.intactValue))
	u.failOver()
	u.heartbeats(6) // the second task of the other job runs again
	if u.runningOn("run-000002/1") != "m1" {
		t.Fatal("not started")
	}
	u.intactValue = slices.Clone(u.get(u.recordKey).Value)
	u.state.Put(u.recordKey, "nonsense")
	u.failOver()
	u.heartbeats(2)
	u.worker.End("run-000002/1", wire.Done)
	u.heartbeats(6)
	started := len(u.worker.Started)
	u.state.Put(u.recordKey, json.RawMessage(u.intactValue))
	u.failOver()
	u.heartbeats(6)
	if again := u.worker.Started[started:]; len(again) > 0 {
		t.Errorf("started %v again", again)
	}
	if u.jobState(u.partialJob.Ref) != wire.Done {
		t.Error("the job does not end")
	}
}

// Once somebody has restored the record, or deleted it, the shard is read again and all goes
// on.
func TestUnreadablePlacementsAreReread(t *testing.T) {
	mend := map[string]func(u *unreadableHarness){
		"restored": func(u *unreadableHarness) { u.state.Put(u.recordKey, json.RawMessage(u.intactValue)) },
		"deleted": func(u *unreadableHarness) {
			remove := wire.Txn{Then: []wire.Op{{Delete: u.recordKey}}}
			if _, err := u.state.Txn(context.Background(), statestore.Urgent("test"), remove); err != nil {
				u.t.Fatal(err)
			}
		},
	}
	for name, f := range mend {
		t.Run(name, func(t *testing.T) {
			u := newUnreadableHarness(t)
			u.heartbeats(4)
			f(u)
			for range 20 {
				u.heartbeat()
				if u.shard.OwnershipLost() {
					u.failOver()
				}
			}
			if u.runningOn("run-000001/0") != "m1" {
				t.Error("the running task is not where it was")
			}
			u.worker.End("run-000001/0", wire.Done)
			u.worker.End("run-000002/0", wire.Done)
			u.worker.End("run-000002/1", wire.Done)
			u.heartbeats(3)
			if u.jobState(u.runningJob.Ref) != wire.Done || u.jobState(u.partialJob.Ref) != wire.Done {
				t.Error("the jobs do not end")
			}
		})
	}
}
