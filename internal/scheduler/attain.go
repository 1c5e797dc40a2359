package scheduler

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// missingAfter is how long a gang gathers machines though its part has too few for
// it: by then more have been rented or moved here, or there are none to be had.
const missingAfter = 15 * time.Second

// attainable reports whether n tasks of a gang could run in a zone (empty: anywhere)
// once everything there has ended that ends by itself or gives way to it. Machines
// kept for a gang for which there will never be enough would serve nobody.
func (s *Shard) attainable(j *Job, n int, zone string) bool {
	within := s.guaranteed(j, n)
	for _, m := range s.machines {
		s.looked++
		if (zone != "" && m.Zone != zone) || !m.stays() || !allows(j.spec, m) {
			continue
		}
		r := s.lasting(m, j, within)
		for ; n > 0 && roomFor(j.spec, r.cpus, r.gpus, r.mem); n-- {
			r = r.less(j.spec, 1)
		}
		if n == 0 {
			return true
		}
	}
	return false
}

// stays reports whether a machine is, or will be once it has booted, this part's.
func (m *Machine) stays() bool {
	return m.Phase == record.InUse && !m.drain && m.cordon == NotCordoned && m.moveTo < 0 && m.taken.IsZero()
}

// lasting returns the room that a machine has but for what does not give way to j and
// has no end in sight: services, and arrays that have waited too long, which place
// the next task as soon as one ends.
func (s *Shard) lasting(m *Machine, j *Job, within bool) room {
	r := room{m.Type.CPUs, m.Type.GPUs, m.Type.MemoryGB}
	for k, t := range m.on {
		goesOn := k.job.spec.Kind == wire.Service || (k.job.kept && k.job.idleTasks > 0)
		if goesOn && !t.stop && !s.givesWay(k.job, j, within) {
			r = r.less(k.job.spec, 1)
		}
	}
	return r
}

// givesWay reports whether tasks of a job may be stopped for j, which keeps to its
// team's guarantee or not.
func (s *Shard) givesWay(job, j *Job, within bool) bool {
	if job.kept {
		return false
	}
	return job.rank < j.rank || (within && job.spec.Team != j.spec.Team && s.borrowed(job.spec.Team))
}
