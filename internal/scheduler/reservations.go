package scheduler

import "time"

// reservedFor returns for how many tasks of a job room is reserved on the machine.
func (m *Machine) reservedFor(j *Job, now time.Time) int {
	if m.reservation.job == j.ref && now.Before(m.reservation.until) {
		return m.reservation.tasks
	}
	return 0
}

// reserve reserves room on a machine for n more tasks of a job, until a time. It replaces a
// reservation for another job.
func (inv *inventory) reserve(m *Machine, j *Job, n int, until time.Time) {
	if m.reservation.job != j.ref {
		inv.cancelReservation(m)
		m.reservation.job = j.ref
		insert(inv.reserved, j.ref, m)
	}
	m.reservation.tasks += n
	m.reservation.until = until
}

// useReservation reduces the reservation of a machine by one task if it is for the job whose
// task was placed there.
func (inv *inventory) useReservation(m *Machine, j *Job) {
	if m.reservation.job == j.ref {
		if m.reservation.tasks--; m.reservation.tasks <= 0 {
			inv.cancelReservation(m)
		}
	}
}

// cancelReservation removes the reservation of a machine.
func (inv *inventory) cancelReservation(m *Machine) {
	remove(inv.reserved, m.reservation.job, m)
	m.reservation.job, m.reservation.tasks = "", 0
}

// reservedForOther reports whether room on the machine is reserved for a job other than j.
func (m *Machine) reservedForOther(j *Job, now time.Time) bool {
	return m.reservation.job != "" && m.reservation.job != j.ref && now.Before(m.reservation.until)
}
