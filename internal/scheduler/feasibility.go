package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// infeasibleAfter is how long a gang reserves machines although its shard has too few for
// it. By then more machines have been provisioned or transferred to the shard, or there
// are none to be had.
const infeasibleAfter = 15 * time.Second

// feasible reports whether n tasks of a gang could run in a zone ("" means all zones)
// once all tasks there have ended that end by themselves or can be preempted for it. Machines
// that are reserved for a gang which will never have enough of them cannot be used by any job.
func (s *Shard) feasible(j *Job, n int, zone string) bool {
	withinGuarantee := s.quotas.withinGuarantee(j, n)
	for _, m := range s.inventory.byID {
		s.inventory.candidatesExamined++
		if (zone != "" && m.Zone != zone) || !m.staysInShard() || !allows(j.spec, m) {
			continue
		}
		if n -= s.quotas.eventualRoom(m, j, withinGuarantee).capacity(j.spec, n); n == 0 {
			return true
		}
	}
	return false
}

// staysInShard reports whether a machine belongs to this shard and is not about to leave it.
// It may still be booting.
func (m *Machine) staysInShard() bool {
	return m.Phase == record.InUse && !m.draining && m.cordon == NotCordoned && m.transferTo < 0 && m.reclaimedAt.IsZero()
}

// eventualRoom returns the room of a machine for j once all tasks there have ended that end
// by themselves or can be preempted for j. Other tasks keep their room: those of services,
// and those of protected arrays with pending tasks, which place the next task as soon as one
// ends.
func (q *quotas) eventualRoom(m *Machine, j *Job, withinGuarantee bool) resources {
	r := emptyRoom(&m.Type)
	for k, t := range m.tasks {
		noEndInSight := k.job.spec.Kind == wire.Service || (k.job.protected && k.job.progress.pending > 0)
		if noEndInSight && !t.stopping && !q.preemptible(k.job, j, withinGuarantee) {
			r = r.minus(k.job.spec, 1)
		}
	}
	return r
}

// preemptible reports whether tasks of a job may be preempted for j; withinGuarantee says
// whether j keeps within its team's guarantee. A protected job is never preempted. Another
// job is preempted for one of a higher priority, or for one of another team within its
// guarantee if its own team is over its guarantee.
func (q *quotas) preemptible(job, j *Job, withinGuarantee bool) bool {
	if job.protected {
		return false
	}
	return job.rank < j.rank || (withinGuarantee && job.spec.Team != j.spec.Team && q.overGuarantee(job.spec.Team))
}
