package scheduler

import "time"

// reservedFor returns for how many of a job's tasks room is kept on a machine.
func (m *Machine) reservedFor(j *Job, now time.Time) int {
	if m.reserved == j.ref && now.Before(m.reservedUntil) {
		return m.reservedTasks
	}
	return 0
}

// reserve keeps room on a machine for some tasks of a job.
func (s *Shard) reserve(m *Machine, j *Job, n int, until time.Time) {
	if m.reserved != j.ref {
		s.cancelReservation(m)
		m.reserved = j.ref
		insert(s.index.reserved, j.ref, m)
	}
	m.reservedTasks += n
	m.reservedUntil = until
}

// useReservation takes in that a task of a job came to where room was kept for it.
func (s *Shard) useReservation(m *Machine, j *Job) {
	if m.reserved == j.ref {
		if m.reservedTasks--; m.reservedTasks <= 0 {
			s.cancelReservation(m)
		}
	}
}

// cancelReservation keeps a machine's room for nobody any more.
func (s *Shard) cancelReservation(m *Machine) {
	remove(s.index.reserved, m.reserved, m)
	m.reserved, m.reservedTasks = "", 0
}

// reservedForOther reports whether room on a machine is kept for a job other than j.
func (m *Machine) reservedForOther(j *Job, now time.Time) bool {
	return m.reserved != "" && m.reserved != j.ref && now.Before(m.reservedUntil)
}
