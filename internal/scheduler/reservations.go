package scheduler

import "time"

// heldFor returns for how many of a job's tasks room is kept on a machine.
func (m *Machine) heldFor(j *Job, now time.Time) int {
	if m.reserved == j.ref && now.Before(m.reservedT) {
		return m.reservedN
	}
	return 0
}

// reserve keeps room on a machine for some tasks of a job.
func (s *Shard) reserve(m *Machine, j *Job, n int, until time.Time) {
	if m.reserved != j.ref {
		s.release(m)
		m.reserved = j.ref
		insert(s.index.kept, j.ref, m)
	}
	m.reservedN += n
	m.reservedT = until
}

// use takes in that a task of a job came to where room was kept for it.
func (s *Shard) use(m *Machine, j *Job) {
	if m.reserved == j.ref {
		if m.reservedN--; m.reservedN <= 0 {
			s.release(m)
		}
	}
}

// release keeps a machine's room for nobody any more.
func (s *Shard) release(m *Machine) {
	remove(s.index.kept, m.reserved, m)
	m.reserved, m.reservedN = "", 0
}

// keptFromOthers reports whether room on a machine is kept for a job other than j.
func (m *Machine) keptFromOthers(j *Job, now time.Time) bool {
	return m.reserved != "" && m.reserved != j.ref && now.Before(m.reservedT)
}
