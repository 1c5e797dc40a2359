package scheduler

import (
	"slices"

	"bramblespur/internal/wire"
)

func allows(spec *wire.Spec, m *Machine) bool {
	return (!m.Spot || spec.Spot) && (spec.Zone == nil || *spec.Zone == m.Zone) &&
		(spec.Types == nil || slices.Contains(spec.Types, m.Type.Name))
}

const slack = 1e-6 // amounts are decimal numbers

func fits(spec *wire.Spec, cpus, gpus, mem float64) bool {
	return spec.CPUs <= cpus+slack && spec.GPUs <= gpus+slack && spec.MemoryGB <= mem+slack
}

// resources is what is free on m, less what a plan has put there already.
type resources struct{ cpus, gpus, mem float64 }

func freeRoom(m *Machine) resources {
	return resources{m.Type.CPUs - m.cpus, m.Type.GPUs - m.gpus, m.Type.MemoryGB - m.mem}
}

// minus is what is left of r after n tasks.
func (r resources) minus(spec *wire.Spec, n int) resources {
	f := float64(n)
	return resources{r.cpus - f*spec.CPUs, r.gpus - f*spec.GPUs, r.mem - f*spec.MemoryGB}
}

func (s *Shard) withinLimit(j *Job, n int) bool {
	t, ok := s.cfg.Teams[j.spec.Team]
	if !ok {
		return true
	}
	u := s.usage(j.spec.Team)
	f := float64(n)
	return (t.MaxCPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.MaxCPUs+slack) &&
		(t.MaxGPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.MaxGPUs+slack)
}

// withinGuarantee reports whether n more tasks of j keep to its team's guarantee.
func (s *Shard) withinGuarantee(j *Job, n int) bool {
	t := s.cfg.Teams[j.spec.Team]
	if t.CPUs <= 0 && t.GPUs <= 0 {
		return false
	}
	u := s.usage(j.spec.Team)
	f := float64(n)
	return (t.CPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.CPUs+slack) && (t.GPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.GPUs+slack)
}

// overGuarantee reports whether a team runs beyond its guarantee.
func (s *Shard) overGuarantee(team string) bool {
	t := s.cfg.Teams[team]
	u := s.usage(team)
	return (t.CPUs > 0 && u.cpus > t.CPUs+slack) || (t.GPUs > 0 && u.gpus > t.GPUs+slack) || (t.CPUs <= 0 && t.GPUs <= 0)
}

func (s *Shard) teamLoad(team string) float64 {
	share := s.cfg.Teams[team].Share
	if share <= 0 {
		share = 1
	}
	u := s.usage(team)
	return (u.gpus*4 + u.cpus) / share // both kinds count; cards are the scarcer
}
