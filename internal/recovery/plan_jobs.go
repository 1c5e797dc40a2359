package recovery

import (
	"encoding/json"
	"fmt"
	"strings"

	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// planFinishedJob restores the final state of a job. It is written once and never changes, so any source
// will do; if they differ, nobody can tell which one users were told.
func (p *planner) planFinishedJob(key string) {
	var states []string
	var first wire.Entry
	var from Source
	for _, s := range []struct {
		records map[string]wire.Entry
		from    Source
	}{{p.Store, FromStore}, {p.Held, FromController}, {p.Snapshot, FromSnapshot}} {
		e, ok := s.records[key]
		var j record.FinishedJob
		if !ok || json.Unmarshal(e.Value, &j) != nil {
			continue
		}
		if len(states) == 0 {
			first, from = e, s.from
		}
		states = append(states, j.State)
	}
	if len(states) == 0 {
		p.item(key, Lost, "", "no source has a value that makes sense")
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

// hasFinished reports whether a job has a final state by what was planned so far.
func (p *planner) hasFinished(ref string) bool {
	i := p.items[record.FinishedJobKey(ref)]
	return i != nil && (i.Outcome == Intact || i.Outcome == Recovered)
}

// planActiveJob restores an unfinished job, unless it has ended.
func (p *planner) planActiveJob(key string) {
	ref := record.LastElement(key)
	_, stored := p.Store[key]
	if p.hasFinished(ref) {
		i := p.item(key, Finished, p.items[record.FinishedJobKey(ref)].From, "its final state is known")
		i.Delete = stored
		return
	}
	if p.undecidedJobs[ref] {
		return // its final record tells more
	}
	e, from, _ := p.newest(key)
	var o record.ActiveJob
	if err := json.Unmarshal(e.Value, &o); err != nil || o.Spec.Ref != ref {
		p.undecided(key, ref, "its record makes no sense", DecideDone, DecideCancelled)
		return
	}
	if why, ok := p.mayHaveEnded(key, ref, from, e.Version); ok && !p.runsOnWorker(ref) {
		p.undecided(key, ref, why, DecideDone, DecideCancelled, DecideRerun)
		if p.Decisions[key] != DecideRerun {
			return
		}
	}
	value := e.Value
	if v := p.View.Open[ref]; v.Version > e.Version && v.Cancelled && !o.Cancelled {
		o.Cancelled = true // since what is restored was written
		value = record.Encode(o)
	}
	p.activeJobs[ref] = o
	if p.Decisions[key] == DecideRerun {
		from = FromOperator
	}
	p.restore(key, value, from, describeVersion(e))
}

// mayHaveEnded tells why a job may have ended after what is known of it was written.
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

// runsOnWorker reports whether a worker has a task of a job that has not exited.
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

// undecided makes a job wait for an operator, or carries out what was decided.
func (p *planner) undecided(key, ref, why string, choices ...Decision) {
	switch p.Decisions[key] {
	case DecideDone, DecideCancelled:
		state := wire.Done
		if p.Decisions[key] == DecideCancelled {
			state = wire.Cancelled
		}
		final := record.FinishedJobKey(ref)
		i := p.item(final, Recovered, FromOperator, why)
		i.Put = record.Encode(record.FinishedJob{State: state})
		if _, stored := p.Store[record.ActiveJobKey(ref)]; stored {
			p.item(record.ActiveJobKey(ref), Finished, FromOperator, why).Delete = true
		}
		return
	case DecideRerun:
		return // the caller restores it
	}
	p.undecidedJobs[ref] = true
	p.item(key, Undecided, "", why).Choices = choices
}

// LostKey names the record by which operators have accepted that a job is lost.
func LostKey(ref string) string { return Prefix + "lost/" + ref }

// planLostJobs names the jobs of which workers have tasks and nothing else is left.
func (p *planner) planLostJobs() {
	for _, r := range p.Heartbeats {
		for _, t := range r.Tasks {
			ref, _, ok := scheduler.SplitTask(t.Task)
			_, open := p.activeJobs[ref]
			if !ok || open || t.State == wire.Exited || p.hasFinished(ref) || p.undecidedJobs[ref] {
				continue
			}
			p.lostJob(ref, "only tasks of it are left, on "+r.Machine)
		}
	}
}

func (p *planner) lostJob(ref, why string) {
	key := record.ActiveJobKey(ref)
	if _, accepted := p.Store[LostKey(ref)]; accepted || p.items[LostKey(ref)] != nil {
		return
	}
	if p.Decisions[key] != DecideForget {
		p.undecided(key, ref, why, DecideDone, DecideCancelled, DecideForget)
		return
	}
	p.item(key, Lost, FromOperator, why)
	p.item(LostKey(ref), Recovered, FromOperator, "so that its tasks are stopped").Put = record.Encode(true)
}
