package recovery

import (
	"encoding/json"
	"fmt"
	"strings"

	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// planFinishedJob restores the terminal record of a job. The record is written once and never changes,
// so a valid copy from any source is right. If the copies differ, the evidence does not show which state
// was reported to users, and an operator has to decide.
func (p *planner) planFinishedJob(key string) {
	var states []string
	var first wire.Entry
	var from Source
	for _, s := range []struct {
		records map[string]wire.Entry
		from    Source
	}{{p.Store, FromStore}, {p.Held, FromController}, {p.Snapshot, FromSnapshot}} {
		entry, ok := s.records[key]
		var job record.FinishedJob
		if !ok || json.Unmarshal(entry.Value, &job) != nil {
			continue
		}
		if len(states) == 0 {
			first, from = entry, s.from
		}
		states = append(states, job.State)
	}
	if len(states) == 0 {
		p.addItem(key, Lost, "", "no source has a value that makes sense")
		return
	}
	for _, s := range states {
		if s != states[0] {
			p.undecided(key, record.LastElement(key), fmt.Sprintf("sources differ: %s", strings.Join(states, ", ")), DecideDone, DecideCancelled)
			return
		}
	}
	p.restore(key, first.Value, from, "")
}

// hasFinished reports whether a job has a terminal record by the items planned so far.
func (p *planner) hasFinished(ref string) bool {
	i := p.items[record.FinishedJobKey(ref)]
	return i != nil && (i.Outcome == Intact || i.Outcome == Recovered)
}

// planActiveJob restores an active job, unless it has finished or may have finished.
func (p *planner) planActiveJob(key string) {
	ref := record.LastElement(key)
	_, stored := p.Store[key]
	if p.hasFinished(ref) {
		item := p.addItem(key, Finished, p.items[record.FinishedJobKey(ref)].From, "its final state is known")
		item.Delete = stored
		return
	}
	if p.undecidedJobs[ref] {
		return // its terminal record is undecided
	}
	entry, from, _ := p.newest(key)
	var job record.ActiveJob
	if err := json.Unmarshal(entry.Value, &job); err != nil || job.Spec.Ref != ref {
		p.undecided(key, ref, "its record makes no sense", DecideDone, DecideCancelled)
		return
	}
	if why, ok := p.mayHaveEnded(key, ref, from, entry.Version); ok && !p.runsOnWorker(ref) {
		p.undecided(key, ref, why, DecideDone, DecideCancelled, DecideRerun)
		if p.Decisions[key] != DecideRerun {
			return
		}
	}
	value := entry.Value
	if viewed := p.View.Open[ref]; viewed.Version > entry.Version && viewed.Cancelled && !job.Cancelled {
		job.Cancelled = true // cancelled after the restored copy was written
		value = record.Encode(job)
	}
	p.activeJobs[ref] = job
	if p.Decisions[key] == DecideRerun {
		from = FromOperator
	}
	p.restore(key, value, from, describeVersion(entry))
}

// mayHaveEnded returns why a job may have ended after the newest copy of its record was written, or
// false if nothing suggests this. The newest copy came from the given source and has the given version.
func (p *planner) mayHaveEnded(key, ref string, from Source, version uint64) (string, bool) {
	_, held := p.Held[key]
	_, viewed := p.View.Open[ref]
	switch {
	case held || viewed:
		return "", false
	case p.View.Revision >= version:
		return "controllers no longer had it, and its end is lost", true
	case from == FromSnapshot:
		return "only the snapshot has it, and it may have ended since", true
	}
	return "", false
}

// runsOnWorker reports whether a worker has a task of the job that has not exited.
func (p *planner) runsOnWorker(ref string) bool {
	for _, r := range p.Heartbeats {
		for _, t := range r.Tasks {
			if t.State != wire.Exited && strings.HasPrefix(t.Task, ref+"/") {
				return true
			}
		}
	}
	return false
}

// undecided adds an undecided item for a job. If an operator has decided on it, undecided carries out
// the decision instead, except DecideRerun, which it leaves to the caller.
func (p *planner) undecided(key, ref, why string, choices ...Decision) {
	switch p.Decisions[key] {
	case DecideDone, DecideCancelled:
		state := wire.Done
		if p.Decisions[key] == DecideCancelled {
			state = wire.Cancelled
		}
		terminal := record.FinishedJobKey(ref)
		item := p.addItem(terminal, Recovered, FromOperator, why)
		item.Put = record.Encode(record.FinishedJob{State: state})
		if _, stored := p.Store[record.ActiveJobKey(ref)]; stored {
			p.addItem(record.ActiveJobKey(ref), Finished, FromOperator, why).Delete = true
		}
		return
	case DecideRerun:
		return // the caller restores the job
	}
	p.undecidedJobs[ref] = true
	p.addItem(key, Undecided, "", why).Choices = choices
}

// LostKey returns the key of the record by which an operator has accepted that a job is lost.
func LostKey(ref string) string { return Prefix + "lost/" + ref }

// planLostJobs plans the jobs of which only tasks on workers are left.
func (p *planner) planLostJobs() {
	for _, r := range p.Heartbeats {
		for _, t := range r.Tasks {
			ref, _, ok := scheduler.SplitTask(t.Task)
			_, active := p.activeJobs[ref]
			if !ok || active || t.State == wire.Exited || p.hasFinished(ref) || p.undecidedJobs[ref] {
				continue
			}
			p.lostJob(ref, "only tasks of it are left, on "+r.Machine)
		}
	}
}

// lostJob plans one job that is lost, unless an operator has accepted that already.
func (p *planner) lostJob(ref, why string) {
	key := record.ActiveJobKey(ref)
	if _, accepted := p.Store[LostKey(ref)]; accepted || p.items[LostKey(ref)] != nil {
		return
	}
	if p.Decisions[key] != DecideForget {
		p.undecided(key, ref, why, DecideDone, DecideCancelled, DecideForget)
		return
	}
	p.addItem(key, Lost, FromOperator, why)
	p.addItem(LostKey(ref), Recovered, FromOperator, "so that its tasks are stopped").Put = record.Encode(true)
}
