package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

const (
	// directDependents is how many jobs depend on the cancelled job, and chainedDependents how many
	// more depend on each other in a chain that begins with the last of them.
	directDependents  = 60
	chainedDependents = 30
)

// submitDependents submits the dependents of a job, and returns their references.
func submitDependents(k *cluster, root string) []string {
	var refs []string
	for i := range directDependents + chainedDependents {
		s := spec(ref(firstFreeJob+1+i), []string{"wide", "other"}[i%2], func(s *wire.Spec) { s.DependsOn = []string{root} })
		if i >= directDependents {
			s.DependsOn = []string{refs[i-1]}
		}
		k.submit(s, longRun)
		refs = append(refs, s.Ref)
	}
	return refs
}

// activeAmong returns how many of some jobs have an active record.
func activeAmong(k *cluster, refs []string) int {
	n := 0
	for _, ref := range refs {
		if _, active := k.world.State.Entry(record.ActiveJobKey(ref)); active {
			n++
		}
	}
	return n
}

// refuseEnds lets the state service refuse all transactions that record the end of one of some jobs.
func refuseEnds(k *cluster, refs ...string) {
	refused := map[string]bool{}
	for _, ref := range refs {
		refused[record.FinishedJobKey(ref)] = true
	}
	k.world.State.InjectTxnFaults(func(_ string, t wire.Txn) testkit.TxnFault {
		return testkit.TxnFault{Refused: slices.ContainsFunc(t.Then, func(op wire.Op) bool { return refused[op.Put] })}
	})
}

// askEverywhere asks all controllers for some jobs, and repeats their submissions.
func askEverywhere(k *cluster, refs []string) {
	for i, ref := range refs {
		e, active := k.world.State.Entry(record.ActiveJobKey(ref))
		var job record.ActiveJob
		repeat := i%5 == 0 && active && json.Unmarshal(e.Value, &job) == nil
		for _, label := range k.labels {
			k.world.Go(func() {
				k.world.Ask(testkit.Poll, label, ref, nil)
				if repeat {
					k.world.Ask(testkit.Submission, label, ref, encode(job.Spec))
				}
			})
		}
	}
}

// Guards against dependents that are called pending long after their user was told that the job
// they depend on is cancelled: the state service is out for longer than the time within which they
// must end, beginning when most of their ends are not recorded.
func TestDependentsOfCancelledJobAfterOutage(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		root := ref(firstFreeJob)
		k.submit(spec(root, "wide", nil), longRun)
		k.awaitRunning(root, 1)
		refs := submitDependents(k, root)
		refuseEnds(k, refs...)
		confirmed := k.cancel(root)
		k.await(time.Minute, "the cancellation", confirmed)
		k.requireOccurred(activeAmong(k, refs) == len(refs), "all dependents are active when the outage begins")
		k.world.State.Outage(true)
		k.world.State.InjectTxnFaults(nil)
		time.Sleep(k.timing.Cancel + 8*time.Second)
		k.world.State.Outage(false)
		for range 20 {
			askEverywhere(k, refs)
			time.Sleep(200 * time.Millisecond)
		}
		k.await(time.Minute, "the end of all dependents", func() bool { return activeAmong(k, refs) == 0 })
	})
}

// A controller that knows of no cancellation, since it was restarted, finds out before it calls a
// dependent pending. While the state service refuses changes, it gives no answer.
func TestRestartedControllerFindsCancelledDependencies(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		root := ref(firstFreeJob)
		k.submit(spec(root, "wide", nil), longRun)
		k.awaitRunning(root, 1)
		refs := submitDependents(k, root)
		refuseEnds(k, refs[0], refs[len(refs)-1])
		confirmed := k.cancel(root)
		k.await(time.Minute, "the cancellation", confirmed)
		k.crashAll()
		time.Sleep(k.timing.Cancel)
		k.startMissing()
		for range 60 {
			askEverywhere(k, []string{refs[0], refs[len(refs)-1]})
			time.Sleep(500 * time.Millisecond)
		}
		k.requireOccurred(activeAmong(k, refs) > 0, fmt.Sprintf("of %d dependents some are active", len(refs)))
		k.world.State.InjectTxnFaults(nil)
		k.await(time.Minute, "the end of all dependents", func() bool { return activeAmong(k, refs) == 0 })
	})
}
