package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// history is a random sequence of submissions, heartbeats, failovers, faults and ends of tasks. It
// keeps its own account of which tasks completed on the workers.
type history struct {
	*harness
	rnd                   *rand.Rand
	jobs                  map[string]wire.Spec
	ended                 map[string]bool            // tasks that completed on a worker
	cancellationRequested map[string]bool            // by job
	finalRecords          map[string]string          // final records as first written, by job
	heartbeatCopies       []wire.Heartbeat           // heartbeats that may be delivered again
	deposed               []*Shard                   // earlier owners that have not noticed the failover
	lateResponses         map[string]lateResponse    // by machine
	provisioned           int                        // machines provisioned so far, for their IDs
	originals             map[string]json.RawMessage // damaged placement records, as they were, by key
}

// lateResponse is a delayed response, and the position of the heartbeat that it answers.
type lateResponse struct {
	session, seq uint64
	orders       wire.CommandBatch
}

// randomSteps are the steps of a history. A step is drawn by its index: keep the order.
var randomSteps = []func(h *history){
	func(h *history) { h.submitJob() }, func(h *history) { h.submitJob() },
	func(h *history) { h.sendHeartbeat() }, func(h *history) { h.sendHeartbeat() }, func(h *history) { h.sendHeartbeat() }, func(h *history) { h.sendHeartbeat() },
	func(h *history) { h.endRunningTask(wire.Done) }, func(h *history) { h.endRunningTask(wire.Done) },
	func(h *history) { h.endRunningTask(wire.ExitError) },
	func(h *history) { h.replaceOwner() },
	func(h *history) { h.replayHeartbeat() }, func(h *history) { h.replayHeartbeat() },
	func(h *history) { h.deliverLateResponses() },
	func(h *history) { h.expireLease(h.worker()) },
	func(h *history) { h.cancelJob() },
	func(h *history) { h.state.LoseAnswers = h.rnd.IntN(3) },
	func(h *history) { h.state.HoldTxns = h.rnd.IntN(2) },
	func(h *history) { h.state.Release(); h.carryOutEffects() },
	func(h *history) { h.heartbeat() },
}

func (h *history) worker() *testkit.Worker {
	names := slices.Sorted(maps.Keys(h.workers))
	return h.workers[names[h.rnd.IntN(len(names))]]
}

func (h *history) submitJob() {
	ref := fmt.Sprintf("run-%06d", len(h.jobs))
	s := spec(ref, "b", wire.Array, "normal", 1+h.rnd.IntN(3), 1)
	if h.rnd.IntN(4) == 0 {
		s = spec(ref, "b", wire.Gang, "normal", 2, 1)
	}
	h.jobs[ref] = s
	h.submit(s)
	h.carryOutEffects()
}

// sendHeartbeat lets a random worker send a heartbeat, to the owner or an earlier one. The response
// arrives, is lost, or is delayed; a copy of the heartbeat may be delivered again.
func (h *history) sendHeartbeat() {
	w := h.worker()
	h.clock.Advance(h.cfg.HeartbeatInterval)
	rep := w.NextHeartbeat()
	if h.rnd.IntN(3) == 0 {
		h.heartbeatCopies = append(h.heartbeatCopies, rep)
	}
	to := h.shard
	if n := len(h.deposed); n > 0 && h.rnd.IntN(4) == 0 {
		to = h.deposed[h.rnd.IntN(n)]
	}
	o, v := to.Heartbeat(&rep, false, h.clock.Now())
	switch {
	case v != Answered || h.rnd.IntN(5) == 0:
	case h.rnd.IntN(6) == 0:
		h.lateResponses[w.ID] = lateResponse{rep.Session, rep.Seq, o}
	default:
		w.Execute(o)
	}
	h.carryOutEffects()
}

// deliverLateResponses delivers the delayed responses. A worker obeys one only if it has not sent
// another heartbeat since; otherwise it has dropped the response.
func (h *history) deliverLateResponses() {
	for _, id := range slices.Sorted(maps.Keys(h.lateResponses)) {
		a := h.lateResponses[id]
		if w := h.workers[id]; w != nil && w.Session == a.session && w.Seq == a.seq {
			w.Execute(a.orders)
		}
	}
	clear(h.lateResponses)
}

// replayHeartbeat delivers a copy of an old heartbeat to the owner and to the earlier owners.
func (h *history) replayHeartbeat() {
	if len(h.heartbeatCopies) == 0 {
		return
	}
	rep := h.heartbeatCopies[h.rnd.IntN(len(h.heartbeatCopies))]
	for _, shard := range append(h.deposed, h.shard) {
		shard.Heartbeat(&rep, false, h.clock.Now())
	}
	h.carryOutEffects()
}

// endRunningTask ends a running task of a random worker.
func (h *history) endRunningTask(why string) {
	w := h.worker()
	for _, name := range slices.Sorted(maps.Keys(w.Tasks)) {
		if t := w.Tasks[name]; t.State == wire.Running {
			h.endTask(name, t.Attempt, why)
			return
		}
	}
}

// endTask ends a task; the tasks of a gang's attempt complete together.
func (h *history) endTask(name string, attempt uint64, why string) {
	ref, _, _ := strings.Cut(name, "/")
	gang := h.jobs[ref].Kind == wire.Gang && why == wire.Done
	if gang && h.running(ref, attempt) < h.jobs[ref].Tasks {
		return // the attempt is incomplete
	}
	for _, w := range h.workers {
		for other, t := range w.Tasks {
			of, _, _ := strings.Cut(other, "/")
			if t.State == wire.Running && (other == name || gang && of == ref && t.Attempt == attempt) {
				w.ExitTask(other, why)
				h.ended[other] = h.ended[other] || why == wire.Done
			}
		}
	}
}

// running counts the running tasks of an attempt of a job.
func (h *history) running(ref string, attempt uint64) int {
	n := 0
	for _, w := range h.workers {
		for name, t := range w.Tasks {
			if strings.HasPrefix(name, ref+"/") && t.State == wire.Running && t.Attempt == attempt {
				n++
			}
		}
	}
	return n
}

// exitIncompleteGangs lets the running tasks of incomplete gangs exit, as workers do after a while.
func (h *history) exitIncompleteGangs() {
	for _, w := range h.workers {
		for name, t := range w.Tasks {
			ref, _, _ := strings.Cut(name, "/")
			if spec := h.jobs[ref]; spec.Kind == wire.Gang && t.State == wire.Running && h.running(ref, t.Attempt) < spec.Tasks {
				w.ExitTask(name, wire.ExitGangPeersLost)
			}
		}
	}
}

// replaceOwner deposes the owner: the next one loads only the records.
func (h *history) replaceOwner() {
	h.deposed = append(h.deposed[max(0, len(h.deposed)-1):], h.shard)
	h.failOver()
	h.carryOutEffects()
}

func (h *history) cancelJob() {
	refs := slices.Sorted(maps.Keys(h.jobs))
	if len(refs) == 0 {
		return
	}
	ref := refs[h.rnd.IntN(len(refs))]
	if h.get(record.ActiveJobKey(ref)) == nil || h.cancellationRequested[ref] {
		return
	}
	h.cancellationRequested[ref] = true
	h.cancel(h.jobs[ref])()
	h.carryOutEffects()
}

// replaceMachines removes the machines that were released, with their tasks, and provisions others.
func (h *history) replaceMachines() {
	h.releaseMachines() // also those whose release was recorded late
	for _, id := range h.cloud.Released {
		delete(h.workers, id)
	}
	for len(h.workers) < historyMachines {
		h.provisioned++
		h.addMachine(fmt.Sprint("m", h.provisioned), "z1", false)
	}
}

// damagePlacementRecord makes a placement record unreadable and deposes the owner.
func (h *history) damagePlacementRecord() {
	slots := h.list(record.ShardPlacementsPrefix(h.id))
	if len(slots) == 0 {
		return
	}
	e := slots[h.rnd.IntN(len(slots))]
	if h.originals[e.Key] != nil {
		return
	}
	h.originals[e.Key] = slices.Clone(e.Value)
	h.state.Put(e.Key, "damaged")
	h.replaceOwner()
}

// restorePlacementRecords restores the damaged records. The owner finds out by itself, or is deposed.
func (h *history) restorePlacementRecords() {
	for _, key := range slices.Sorted(maps.Keys(h.originals)) {
		h.state.Put(key, h.originals[key])
		delete(h.originals, key)
	}
	if h.rnd.IntN(2) == 0 {
		h.replaceOwner()
	}
}

// check compares the records with what the workers did, and checks the owner's invariants.
func (h *history) check() error {
	if err := checkInvariants(h.shard); err != nil {
		return err
	}
	for ref, spec := range h.jobs {
		for i := range spec.Tasks {
			name := fmt.Sprintf("%s/%d", ref, i)
			places := 0
			for _, w := range h.workers {
				if t := w.Tasks[name]; t != nil && t.State != wire.Exited {
					places++
				}
			}
			if places > 1 {
				return fmt.Errorf("task %s runs on %d machines, want one at most", name, places)
			}
		}
		open, final := h.get(record.ActiveJobKey(ref)), h.get(record.FinishedJobKey(ref))
		if (open == nil) == (final == nil) {
			return fmt.Errorf("job %s has both an active and a final record, or neither", ref)
		}
		if final == nil {
			continue
		}
		if had, ok := h.finalRecords[ref]; ok && had != string(final.Value) {
			return fmt.Errorf("job %s ended as %s and then as %s, want the first to stay", ref, had, final.Value)
		}
		h.finalRecords[ref] = string(final.Value)
		if err := h.checkEnd(ref, spec); err != nil {
			return err
		}
	}
	return nil
}

// checkEnd checks a job that has a final record: a cancelled one must have been asked for and run
// nowhere, and all tasks of one that is done must have completed.
func (h *history) checkEnd(ref string, spec wire.Spec) error {
	if h.jobState(ref) == wire.Cancelled {
		if !h.cancellationRequested[ref] {
			return fmt.Errorf("job %s is cancelled although no cancellation was requested", ref)
		}
		for _, w := range h.workers {
			for name, t := range w.Tasks {
				if strings.HasPrefix(name, ref+"/") && t.State != wire.Exited {
					return fmt.Errorf("task %s runs on %s after the end of its job was recorded", name, w.ID)
				}
			}
		}
		return nil
	}
	for i := range spec.Tasks {
		if name := fmt.Sprintf("%s/%d", ref, i); !h.ended[name] {
			return fmt.Errorf("job %s is done although task %s has not completed", ref, name)
		}
	}
	return nil
}

// settle ends all faults and lets heartbeats arrive and tasks complete until no job is left. It returns
// an error if jobs are left after many heartbeats.
func (h *history) settle() error {
	h.state.LoseAnswers, h.state.HoldTxns = 0, 0
	h.state.Release()
	h.restorePlacementRecords()
	for n := range 200 {
		h.heartbeat()
		if h.shard.OwnershipLost() {
			h.failOver()
		}
		if n%5 == 4 {
			h.exitIncompleteGangs()
		}
		h.replaceMachines()
		if err := h.check(); err != nil {
			return err
		}
		left := false
		for ref := range h.jobs {
			left = left || h.get(record.ActiveJobKey(ref)) != nil
		}
		if !left {
			return nil
		}
		for _, w := range h.workers {
			for name, t := range maps.Clone(w.Tasks) {
				if t.State == wire.Running {
					h.endTask(name, t.Attempt, wire.Done)
				}
			}
		}
	}
	return fmt.Errorf("jobs that have not ended after 200 heartbeats: %s", h.activeJobs())
}

// activeJobs lists the jobs that have not ended.
func (h *history) activeJobs() string {
	var out []string
	for ref := range h.jobs {
		if h.get(record.ActiveJobKey(ref)) != nil {
			out = append(out, ref)
		}
	}
	return strings.Join(out, " ")
}

// historySeeds is how many histories are generated, historySteps how long each is, and
// historyMachines on how many machines.
const (
	historySeeds    = 3000
	historySteps    = 60
	historyMachines = 4
)

// newHistory returns the empty history of a seed.
func newHistory(t *testing.T, seed uint64) *history {
	return &history{harness: newHarness(t), rnd: rand.New(rand.NewPCG(seed, 3)), jobs: map[string]wire.Spec{}, ended: map[string]bool{},
		cancellationRequested: map[string]bool{}, finalRecords: map[string]string{}, lateResponses: map[string]lateResponse{}, originals: map[string]json.RawMessage{}}
}

// play runs randomly drawn steps, checks after each, and then settles. It returns the first violation.
func (h *history) play(steps []func(h *history)) error {
	h.replaceMachines()
	for n := range historySteps {
		steps[h.rnd.IntN(len(steps))](h)
		h.replaceMachines()
		if err := h.check(); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	return h.settle()
}

// Failovers, heartbeats that arrive late, twice or at an earlier owner, and writes with and without
// answers, in any order: no task runs on two machines, no final state changes, no job ends before
// its tasks, and all jobs end.
func TestAnyHistorySettles(t *testing.T) {
	for seed := range uint64(historySeeds) {
		if err := newHistory(t, seed).play(randomSteps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// The same holds while placement records are damaged, and later restored as they were.
func TestAnyHistorySettlesWithDamagedPlacements(t *testing.T) {
	damaging := append(slices.Clone(randomSteps),
		func(h *history) { h.damagePlacementRecord() }, func(h *history) { h.damagePlacementRecord() }, func(h *history) { h.restorePlacementRecords() })
	for seed := range uint64(historySeeds) {
		h := newHistory(t, seed)
		h.sizedRangesAllowed = true
		h.failOver()
		if err := h.play(damaging); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
