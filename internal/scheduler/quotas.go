package scheduler

import (
	"slices"

	"bramblespur/internal/wire"
)

// allows reports whether a job may run on a machine of that kind.
func allows(spec *wire.Spec, m *Machine) bool {
	return (!m.Spot || spec.Spot) && (spec.Zone == nil || *spec.Zone == m.Zone) &&
		(spec.Types == nil || slices.Contains(spec.Types, m.Type.Name))
}

const slack = 1e-6 // amounts are decimal numbers

// fits reports whether a task fits.
func (r resources) fits(spec *wire.Spec) bool {
	return spec.CPUs <= r.cpus+slack && spec.GPUs <= r.gpus+slack && spec.MemoryGB <= r.mem+slack
}

// resources is what is free on m, less what a plan has put there already.
type resources struct{ cpus, gpus, mem float64 }

// freeRoom is what is free on a machine.
func freeRoom(m *Machine) resources {
	return resources{m.Type.CPUs - m.used.cpus, m.Type.GPUs - m.used.gpus, m.Type.MemoryGB - m.used.mem}
}

// minus is what is left of r after n tasks.
func (r resources) minus(spec *wire.Spec, n int) resources {
	f := float64(n)
	return resources{r.cpus - f*spec.CPUs, r.gpus - f*spec.GPUs, r.mem - f*spec.MemoryGB}
}

// plus is r with what one task leaves.
func (r resources) plus(spec *wire.Spec) resources { return r.minus(spec, -1) }

// capacity is how many tasks fit, most at the most.
func (r resources) capacity(spec *wire.Spec, most int) int {
	count := 0
	for ; count < most && r.fits(spec); count++ {
		r = r.minus(spec, 1)
	}
	return count
}

// quotas is what each team uses of the shard, against its guarantee and its limit.
type quotas struct {
	cfg  *Config
	used map[string]*usage
}

// usage is what a team's placed tasks use.
type usage struct{ cpus, gpus float64 }

// usage returns a team's usage, to read or to change.
func (q *quotas) usage(team string) *usage {
	u := q.used[team]
	if u == nil {
		u = &usage{}
		q.used[team] = u
	}
	return u
}

// charge adds a placed task to its team's usage.
func (q *quotas) charge(spec *wire.Spec) {
	u := q.usage(spec.Team)
	u.cpus += spec.CPUs
	u.gpus += spec.GPUs
}

// refund takes a task that has no place any more off its team's usage.
func (q *quotas) refund(spec *wire.Spec) {
	u := q.usage(spec.Team)
	u.cpus -= spec.CPUs
	u.gpus -= spec.GPUs
}

// withinLimit reports whether n more tasks of j keep to its team's limit.
func (q *quotas) withinLimit(j *Job, n int) bool {
	t, ok := q.cfg.Teams[j.spec.Team]
	if !ok {
		return true
	}
	u := q.usage(j.spec.Team)
	f := float64(n)
	return (t.MaxCPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.MaxCPUs+slack) &&
		(t.MaxGPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.MaxGPUs+slack)
}

// withinGuarantee reports whether n more tasks of j keep to its team's guarantee.
func (q *quotas) withinGuarantee(j *Job, n int) bool {
	t := q.cfg.Teams[j.spec.Team]
	if t.CPUs <= 0 && t.GPUs <= 0 {
		return false
	}
	u := q.usage(j.spec.Team)
	f := float64(n)
	return (t.CPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.CPUs+slack) && (t.GPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.GPUs+slack)
}

// overGuarantee reports whether a team runs beyond its guarantee.
func (q *quotas) overGuarantee(team string) bool {
	t := q.cfg.Teams[team]
	u := q.usage(team)
	return (t.CPUs > 0 && u.cpus > t.CPUs+slack) || (t.GPUs > 0 && u.gpus > t.GPUs+slack) || (t.CPUs <= 0 && t.GPUs <= 0)
}

func (q *quotas) load(team string) float64 {
	share := q.cfg.Teams[team].Share
	if share <= 0 {
		share = 1
	}
	u := q.usage(team)
	return (u.gpus*4 + u.cpus) / share // both kinds count; cards are the scarcer
}

// othersOverGuarantee reports whether another team runs beyond its guarantee here.
func (q *quotas) othersOverGuarantee(team string) bool {
	for t, u := range q.used {
		if t != team && u.gpus+u.cpus > 0 && q.overGuarantee(t) {
			return true
		}
	}
	return false
}
