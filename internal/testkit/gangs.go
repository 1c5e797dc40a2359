package testkit

import (
	"fmt"
	"slices"
	"time"

	"bramblespur/internal/wire"
)

// gangMember is a task of a gang with its machine.
type gangMember struct {
	agent *Agent
	task  *agentTask
}

// stepGangs starts a gang once all its tasks await it, completes it after its run time, and makes its
// running tasks exit when peers have been missing for too long.
func (w *World) stepGangs(all []*Agent, now time.Time) {
	gangs := map[string][]gangMember{}
	var names []string
	for _, a := range all {
		a.mu.Lock()
		for _, t := range a.tasks {
			if spec, ok := w.spec(t.ref); ok && spec.Kind == wire.Gang && t.active() && !a.hung {
				key := fmt.Sprintf("%s#%d", t.ref, t.attempt)
				if gangs[key] == nil {
					names = append(names, key)
				}
				gangs[key] = append(gangs[key], gangMember{a, t})
			}
		}
		a.mu.Unlock()
	}
	slices.Sort(names)
	for _, name := range names {
		members := gangs[name]
		spec, _ := w.spec(members[0].task.ref)
		count := map[string]int{}
		var since time.Time
		for _, m := range members {
			m.agent.mu.Lock()
			count[m.task.state]++
			since = later(since, m.task.since)
			m.agent.mu.Unlock()
		}
		active := count[wire.Running] + count[wire.Checkpointing]
		switch {
		case count[wire.AwaitingGang] == spec.Tasks:
			w.forEachActive(members, func(m gangMember) { m.task.state, m.task.since = wire.Running, now; m.agent.markChanged() })
		case count[wire.Running] == spec.Tasks && now.Sub(since) >= w.jobDurations(spec.Ref).Run:
			w.forEachActive(members, func(m gangMember) { m.agent.exit(m.task, wire.Done, false) })
		case active > 0 && active < spec.Tasks:
			w.forEachActive(members, func(m gangMember) {
				if m.task.state != wire.Running {
					return
				}
				if m.task.peersMissingSince.IsZero() {
					m.task.peersMissingSince = now
				}
				if now.Sub(m.task.peersMissingSince) >= w.timing.GangPeer {
					m.agent.exit(m.task, wire.ExitGangPeersLost, false)
				}
			})
		}
	}
}

// forEachActive calls f for each member that has not exited, with the lock of its agent held.
func (w *World) forEachActive(ms []gangMember, f func(gangMember)) {
	for _, m := range ms {
		m.agent.mu.Lock()
		if m.task.active() {
			f(m)
		}
		m.agent.mu.Unlock()
	}
}
