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

// unreadableHarness is a shard whose only placement record is damaged. It held a job that runs on a
// machine, and another job with one completed task and one task to be started again.
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
	w.ExitTask("run-000002/0", wire.Done)
	w.ExitTask("run-000002/1", wire.ExitError)
	r.heartbeats(1)
	u.intactValue = slices.Clone(r.get(u.recordKey).Value)
	u.state.Put(u.recordKey, "nonsense")
	r.failOver()
	return u
}

// Running tasks whose record cannot be decoded are adopted where they run, tasks that may have
// completed are not started again, and new jobs start once all machines have reported.
func TestUnreadablePlacementsAreIsolated(t *testing.T) {
	u := newUnreadableHarness(t)
	if len(u.shard.MalformedRecords()) != 1 {
		t.Fatalf("malformed records %v, want one", u.shard.MalformedRecords())
	}
	started := len(u.worker.Started)
	other := u.addMachine("m2", "z1", false)
	u.submit(spec("run-000003", "b", wire.Array, "normal", 1, 1))
	u.heartbeats(4, other)
	if len(other.Started) != 0 {
		t.Fatalf("started %v while a machine is silent, want none", other.Started)
	}
	u.heartbeats(4)
	if u.runningOn("run-000001/0") != "m1" {
		t.Error("the running task was not adopted on m1")
	}
	if u.runningOn("run-000003/0") == "" {
		t.Error("the new job was not started")
	}
	all := append(slices.Clone(u.worker.Started[started:]), other.Started...)
	if !slices.Equal(all, []string{"run-000003/0#1"}) {
		t.Errorf("started %v, want only the new job", all)
	}
	u.worker.ExitTask("run-000001/0", wire.Done)
	u.heartbeats(3)
	if u.jobState(u.runningJob.Ref) != wire.Done || u.jobState(u.partialJob.Ref) != wire.Pending {
		t.Errorf("the jobs are %q and %q, want done and pending", u.jobState(u.runningJob.Ref), u.jobState(u.partialJob.Ref))
	}
	if string(u.get(u.recordKey).Value) != `"nonsense"` {
		t.Error("the damaged record was overwritten")
	}
}

// An adopted placement is recorded: the next owner loads it even while its machine is silent.
func TestAdoptedPlacementIsRecorded(t *testing.T) {
	u := newUnreadableHarness(t)
	u.heartbeats(4)
	u.failOver()
	if got := u.runningOn("run-000001/0"); got != "m1" {
		t.Fatalf("after another failover the task is on %q, want m1", got)
	}
}

// A cancellation is confirmed only once no unreported task of the job can run.
func TestUnreadablePlacementsHoldCancellations(t *testing.T) {
	u := newUnreadableHarness(t)
	other := u.addMachine("m2", "z1", false)
	u.cancel(u.runningJob)()
	u.cancel(u.partialJob)()
	u.heartbeats(4, other)
	for _, spec := range []wire.Spec{u.runningJob, u.partialJob} {
		if u.get(record.FinishedJobKey(spec.Ref)) != nil {
			t.Fatalf("the end of %s is recorded while its machine is silent", spec.Ref)
		}
	}
	u.heartbeats(6)
	for _, spec := range []wire.Spec{u.runningJob, u.partialJob} {
		if u.get(record.FinishedJobKey(spec.Ref)) == nil {
			t.Errorf("the end of %s is not recorded", spec.Ref)
		}
	}
	if len(u.worker.NextHeartbeat().Tasks) > 0 {
		t.Error("the cancelled task still runs")
	}
}

// Placements recorded since the damage override those of the restored record: a task that has
// completed in the meantime is not started again.
func TestNewPlacementsOverrideRestoredRecord(t *testing.T) {
	u := newUnreadableHarness(t)
	u.state.Put(u.recordKey, json.RawMessage(u.intactValue))
	u.failOver()
	u.heartbeats(6) // starts the second task of the partial job again
	if u.runningOn("run-000002/1") != "m1" {
		t.Fatal("the second task was not started on m1")
	}
	u.intactValue = slices.Clone(u.get(u.recordKey).Value)
	u.state.Put(u.recordKey, "nonsense")
	u.failOver()
	u.heartbeats(2)
	u.worker.ExitTask("run-000002/1", wire.Done)
	u.heartbeats(6)
	started := len(u.worker.Started)
	u.state.Put(u.recordKey, json.RawMessage(u.intactValue))
	u.failOver()
	u.heartbeats(6)
	if again := u.worker.Started[started:]; len(again) > 0 {
		t.Errorf("started %v again, want none", again)
	}
	if u.jobState(u.partialJob.Ref) != wire.Done {
		t.Error("the partial job did not finish")
	}
}

// Once the record is restored or deleted, the shard is loaded again and its jobs go on.
func TestUnreadablePlacementsAreReread(t *testing.T) {
	repairs := map[string]func(u *unreadableHarness){
		"restored": func(u *unreadableHarness) { u.state.Put(u.recordKey, json.RawMessage(u.intactValue)) },
		"deleted": func(u *unreadableHarness) {
			remove := wire.Txn{Then: []wire.Op{{Delete: u.recordKey}}}
			if _, err := u.state.Txn(context.Background(), statestore.Urgent("test"), remove); err != nil {
				u.t.Fatal(err)
			}
		},
	}
	for name, repair := range repairs {
		t.Run(name, func(t *testing.T) {
			u := newUnreadableHarness(t)
			u.heartbeats(4)
			repair(u)
			for range 20 {
				u.heartbeat()
				if u.shard.OwnershipLost() {
					u.failOver()
				}
			}
			if u.runningOn("run-000001/0") != "m1" {
				t.Error("the running task is no longer on m1")
			}
			u.worker.ExitTask("run-000001/0", wire.Done)
			u.worker.ExitTask("run-000002/0", wire.Done)
			u.worker.ExitTask("run-000002/1", wire.Done)
			u.heartbeats(3)
			if u.jobState(u.runningJob.Ref) != wire.Done || u.jobState(u.partialJob.Ref) != wire.Done {
				t.Error("the jobs did not finish")
			}
		})
	}
}
