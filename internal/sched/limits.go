package sched

import (
	"slices"

	"bramblespur/internal/wire"
)

func allows(s *wire.Spec, m *Machine) bool {
	return (!m.Spot || s.Spot) && (s.Zone == nil || *s.Zone == m.Zone) &&
		(s.Types == nil || slices.Contains(s.Types, m.Type.Name))
}

const slack = 1e-6 // amounts are decimal numbers

func roomFor(s *wire.Spec, cpus, gpus, mem float64) bool {
	return s.CPUs <= cpus+slack && s.GPUs <= gpus+slack && s.MemoryGB <= mem+slack
}

// room is what is free on m, less what a plan has put there already.
type room struct{ cpus, gpus, mem float64 }

func free(m *Machine) room {
	return room{m.Type.CPUs - m.cpus, m.Type.GPUs - m.gpus, m.Type.MemoryGB - m.mem}
}

// less is what is left of r after n tasks.
func (r room) less(s *wire.Spec, n int) room {
	f := float64(n)
	return room{r.cpus - f*s.CPUs, r.gpus - f*s.GPUs, r.mem - f*s.MemoryGB}
}

func (p *Part) withinLimit(j *Job, n int) bool {
	t, ok := p.cfg.Teams[j.spec.Team]
	if !ok {
		return true
	}
	u := p.usage(j.spec.Team)
	f := float64(n)
	return (t.MaxCPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.MaxCPUs+slack) &&
		(t.MaxGPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.MaxGPUs+slack)
}

// guaranteed reports whether n more tasks of j keep to its team's guarantee.
func (p *Part) guaranteed(j *Job, n int) bool {
	t := p.cfg.Teams[j.spec.Team]
	if t.CPUs <= 0 && t.GPUs <= 0 {
		return false
	}
	u := p.usage(j.spec.Team)
	f := float64(n)
	return (t.CPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.CPUs+slack) && (t.GPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.GPUs+slack)
}

// borrowed reports whether a team runs beyond its guarantee.
func (p *Part) borrowed(team string) bool {
	t := p.cfg.Teams[team]
	u := p.usage(team)
	return (t.CPUs > 0 && u.cpus > t.CPUs+slack) || (t.GPUs > 0 && u.gpus > t.GPUs+slack) || (t.CPUs <= 0 && t.GPUs <= 0)
}

func (p *Part) load(team string) float64 {
	share := p.cfg.Teams[team].Share
	if share <= 0 {
		share = 1
	}
	u := p.usage(team)
	return (u.gpus*4 + u.cpus) / share // both kinds count; cards are the scarcer
}
