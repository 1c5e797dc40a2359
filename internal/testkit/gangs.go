package testkit

import (
	"fmt"
	"slices"
	"time"

	"bramblespur/internal/wire"
)

// member is a gang's task on its machine.
type member struct {
	a *Agent
	t *agentTask
}

// gangs lets gangs start, complete and fall apart.
func (w *World) gangs(all []*Agent, now time.Time) {
	gangs := map[string][]member{}
	var names []string
	for _, a := range all {
		a.mu.Lock()
		for _, t := range a.tasks {
			if spec, ok := w.spec(t.ref); ok && spec.Kind == wire.Gang && t.on() && !a.hung {
				key := fmt.Sprintf("%s#%d", t.ref, t.attempt)
				if gangs[key] == nil {
					names = append(names, key)
				}
				gangs[key] = append(gangs[key], member{a, t})
			}
		}
		a.mu.Unlock()
	}
	slices.Sort(names)
	for _, name := range names {
		ms := gangs[name]
		spec, _ := w.spec(ms[0].t.ref)
		count := map[string]int{}
		var since time.Time
		for _, m := range ms {
			m.a.mu.Lock()
			count[m.t.state]++
			since = later(since, m.t.since)
			m.a.mu.Unlock()
		}
		active := count[wire.Running] + count[wire.Checkpointing]
		switch {
		case count[wire.AwaitingGang] == spec.Tasks:
			w.each(ms, func(m member) { m.t.state, m.t.since = wire.Running, now; m.a.note() })
		case count[wire.Running] == spec.Tasks && now.Sub(since) >= w.length(spec.Ref).Run:
			w.each(ms, func(m member) { m.a.exit(m.t, wire.Done, false) })
		case active > 0 && active < spec.Tasks:
			w.each(ms, func(m member) {
				if m.t.state != wire.Running {
					return
				}
				if m.t.alone.IsZero() {
					m.t.alone = now
				}
				if now.Sub(m.t.alone) >= w.timing.GangPeer {
					m.a.exit(m.t, wire.ExitGangPeersLost, false)
				}
			})
		}
	}
}

func (w *World) each(ms []member, f func(member)) {
	for _, m := range ms {
		m.a.mu.Lock()
		if m.t.on() {
			f(m)
		}
		m.a.mu.Unlock()
	}
}

// room reports whether what a job still needs fits on the machines that are up.
func (w *World) room(spec *wire.Spec, may func(zone string) bool) bool {
	fits := map[string]int{} // by zone where all have to be in one
	for _, a := range w.Machines() {
		if (spec.Types != nil && !slices.Contains(spec.Types, a.Type)) || (spec.Zone != nil && *spec.Zone != a.Zone) || (a.Spot && !spec.Spot) || !may(a.Zone) {
			continue
		}
		cpus, gpus, mem := a.typ.CPUs, a.typ.GPUs, a.typ.MemoryGB
		a.mu.Lock()
		usable := !a.hung && a.notice == nil
		for _, t := range a.tasks {
			if o, ok := w.spec(t.ref); ok && t.on() {
				cpus, gpus, mem = cpus-o.CPUs, gpus-o.GPUs, mem-o.MemoryGB
			}
		}
		a.mu.Unlock()
		for usable && cpus >= spec.CPUs && gpus >= spec.GPUs && mem >= spec.MemoryGB && (spec.CPUs > 0 || spec.GPUs > 0 || spec.MemoryGB > 0) {
			zone := ""
			if spec.OneZone {
				zone = a.Zone
			}
			fits[zone]++
			cpus, gpus, mem = cpus-spec.CPUs, gpus-spec.GPUs, mem-spec.MemoryGB
		}
	}
	need := 1
	if spec.Kind == wire.Gang {
		need = spec.Tasks
	}
	for _, n := range fits {
		if n >= need {
			return true
		}
	}
	return false
}
