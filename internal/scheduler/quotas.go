package scheduler

import (
	"slices"
	"sort"

	"bramblespur/internal/wire"
)

// allows reports whether a job may run on a machine of this type and zone, and on a spot
// machine if it is one.
func allows(spec *wire.Spec, m *Machine) bool {
	return (!m.Spot || spec.Spot) && (spec.Zone == nil || *spec.Zone == m.Zone) &&
		(spec.Types == nil || slices.Contains(spec.Types, m.Type.Name))
}

// slack is the tolerance in comparisons of amounts of resources: sums of decimal numbers have
// rounding errors.
const slack = 1e-6

// fits reports whether a task of a job fits into r.
func (r resources) fits(spec *wire.Spec) bool {
	return spec.CPUs <= r.cpus+slack && spec.GPUs <= r.gpus+slack && spec.MemoryGB <= r.mem+slack && r.tasks > 0
}

// resources is an amount of resources: CPUs, GPUs and memory in GB, and the number of tasks that a
// worker can report.
type resources struct {
	cpus, gpus, mem float64
	tasks           int
}

// freeRoom returns what the tasks placed on a machine leave free, and how many more attempts its worker
// can report.
func freeRoom(m *Machine) resources {
	return resources{m.Type.CPUs - m.used.cpus, m.Type.GPUs - m.used.gpus, m.Type.MemoryGB - m.used.mem, wire.MaxReportedTasks - m.heldAttempts()}
}

// emptyRoom returns the room of a machine without tasks.
func emptyRoom(typ *wire.MachineType) resources {
	return resources{typ.CPUs, typ.GPUs, typ.MemoryGB, wire.MaxReportedTasks}
}

// minus returns what is left of r once n tasks of a job are placed in it.
func (r resources) minus(spec *wire.Spec, n int) resources {
	f := float64(n)
	return resources{r.cpus - f*spec.CPUs, r.gpus - f*spec.GPUs, r.mem - f*spec.MemoryGB, r.tasks - n}
}

// plus returns r with the resources of one task of a job added.
func (r resources) plus(spec *wire.Spec) resources { return r.minus(spec, -1) }

// capacity returns how many tasks of a job fit into r, at most limit.
func (r resources) capacity(spec *wire.Spec, limit int) int {
	count := 0
	for ; count < limit && r.fits(spec); count++ {
		r = r.minus(spec, 1)
	}
	return count
}

// quotas compares what each team uses of the shard with the team's guarantee and limit.
type quotas struct {
	cfg  *Config
	used map[string]*usage
}

// usage is what a team's placed tasks use of the shard.
type usage struct{ cpus, gpus float64 }

// usage returns a team's usage; the caller may read or change it.
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

// refund subtracts a task that is no longer placed from its team's usage.
func (q *quotas) refund(spec *wire.Spec) {
	u := q.usage(spec.Team)
	u.cpus -= spec.CPUs
	u.gpus -= spec.GPUs
}

// withinLimit reports whether j's team stays within its limit with n more tasks of j.
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

// mostWithinLimit returns how many more tasks of j, n at most, keep its team within its limit.
func (q *quotas) mostWithinLimit(j *Job, n int) int {
	return sort.Search(n, func(less int) bool { return !q.withinLimit(j, less+1) })
}

// withinGuarantee reports whether j's team stays within its guarantee with n more tasks of j.
// It is false for a team without a guarantee.
func (q *quotas) withinGuarantee(j *Job, n int) bool {
	t := q.cfg.Teams[j.spec.Team]
	if t.CPUs <= 0 && t.GPUs <= 0 {
		return false
	}
	u := q.usage(j.spec.Team)
	f := float64(n)
	return (t.CPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.CPUs+slack) && (t.GPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.GPUs+slack)
}

// overGuarantee reports whether a team uses more than its guarantee. It is true for a team
// without a guarantee.
func (q *quotas) overGuarantee(team string) bool {
	t := q.cfg.Teams[team]
	u := q.usage(team)
	return (t.CPUs > 0 && u.cpus > t.CPUs+slack) || (t.GPUs > 0 && u.gpus > t.GPUs+slack) || (t.CPUs <= 0 && t.GPUs <= 0)
}

// load returns what a team uses relative to its fair share. CPUs and GPUs both count; GPUs
// weigh more because they are scarcer.
func (q *quotas) load(team string) float64 {
	share := q.cfg.Teams[team].Share
	if share <= 0 {
		share = 1
	}
	u := q.usage(team)
	return (u.gpus*4 + u.cpus) / share
}

// othersOverGuarantee reports whether a team other than the given one uses more than its
// guarantee in this shard.
func (q *quotas) othersOverGuarantee(team string) bool {
	for t, u := range q.used {
		if t != team && u.gpus+u.cpus > 0 && q.overGuarantee(t) {
			return true
		}
	}
	return false
}
