package scheduler

import "time"

// reservedFor returns for how many of a job's tasks room is reserved on a machine.
func (m *Machine) reservedFor(j *Job, now time.Time) int {
	if m.reservation.job == j.ref && now.Before(m.reservation.until) {
		return m.reservation.tasks
	}
	return 0
}

// reserve reserves room on a machine for some tasks of a job.
func (x *inventory) reserve(m *Machine, j *Job, n int, until time.Time) {
	if m.reservation.job != j.ref {
		x.cancelReservation(m)
		m.reservation.job = j.ref
		insert(x.reserved, j.ref, m)
	}
	m.reservation.tasks += n
	m.reservation.until = until
}

// useReservation takes in that a task of a job came to where room was reserved for it.
func (x *inventory) useReservation(m *Machine, j *Job) {
	if m.reservation.job == j.ref {
		if m.reservation.tasks--; m.reservation.tasks <= 0 {
			x.cancelReservation(m)
		}
	}
}

// cancelReservation takes the reservation off a machine.
func (x *inventory) cancelReservation(m *Machine) {
	remove(x.reserved, m.reservation.job, m)
	m.reservation.job, m.reservation.tasks = "", 0
}

// reservedForOther reports whether room on a machine is reserved for a job other than j.
func (m *Machine) reservedForOther(j *Job, now time.Time) bool {
	return m.reservation.job != "" && m.reservation.job != j.ref && now.Before(m.reservation.until)
}
