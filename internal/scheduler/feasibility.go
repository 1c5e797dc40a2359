package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// infeasibleAfter is how long a gang reserves machines though its shard has too few for
// it: by then more have been provisioned or moved here, or there are none to be had.
const infeasibleAfter = 15 * time.Second

// feasible reports whether n tasks of a gang could run in a zone (empty: anywhere)
// once everything there has ended that ends by itself or is preempted for it. Machines
// reserved for a gang for which there will never be enough would serve nobody.
func (s *Shard) feasible(j *Job, n int, zone string) bool {
	within := s.quotas.withinGuarantee(j, n)
	for _, m := range s.inventory.byID {
		s.inventory.candidatesExamined++
		if (zone != "" && m.Zone != zone) || !m.staysInShard() || !allows(j.spec, m) {
			continue
		}
		if n -= s.quotas.roomInTime(m, j, within).capacity(j.spec, n); n == 0 {
			return true
		}
	}
	return false
}

// staysInShard reports whether a machine is, or will be once it has booted, this shard's.
func (m *Machine) staysInShard() bool {
	return m.Phase == record.InUse && !m.draining && m.cordon == NotCordoned && m.transferTo < 0 && m.reclaimedAt.IsZero()
}

// roomInTime returns the room that a machine has but for what is not preempted for j and
// has no end in sight: services, and arrays that have waited too long, which place
// the next task as soon as one ends.
func (q *quotas) roomInTime(m *Machine, j *Job, within bool) resources {
	r := resources{m.Type.CPUs, m.Type.GPUs, m.Type.MemoryGB}
	for k, t := range m.tasks {
		goesOn := k.job.spec.Kind == wire.Service || (k.job.protected && k.job.progress.pending > 0)
		if goesOn && !t.stopping && !q.preemptible(k.job, j, within) {
			r = r.minus(k.job.spec, 1)
		}
	}
	return r
}

// preemptible reports whether tasks of a job may be stopped for j, which keeps to its
// team's guarantee or not.
func (q *quotas) preemptible(job, j *Job, within bool) bool {
	if job.protected {
		return false
	}
	return job.rank < j.rank || (within && job.spec.Team != j.spec.Team && q.overGuarantee(job.spec.Team))
}
