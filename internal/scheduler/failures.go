package scheduler

import (
	"slices"
	"time"
)

// A task may fail because of its machine or because of its job. A machine on which several jobs failed is
// drained; a job that failed on several machines is placed again after a pause. Before either is known, the
// job avoids the machine for a while, so that it does not fail there again at once.

// countFailure counts a failure of a task of j on m. If several jobs fail on one machine, the
// machine is at fault and is drained. A job that fails on several machines is at fault itself:
// it backs off, and its failures no longer count against machines. Until it is at fault itself,
// a job avoids a machine on which it failed for a while.
func (s *Shard) countFailure(j *Job, m *Machine, now time.Time) {
	if j.faults.machines == nil {
		j.faults.machines = map[string]time.Time{}
	}
	if !j.atFault() {
		j.faults.machines[m.ID] = now
	}
	if j.atFault() {
		j.faults.count++
		j.notBefore = now.Add(s.cfg.backoff(j))
		return
	}
	if m.failedJobs == nil {
		m.failedJobs = map[string]bool{}
	}
	m.failedJobs[j.ref] = true
	if len(m.failedJobs) >= jobsUntilMachineFaulty {
		m.draining = true
	}
}

// avoidedUntil returns until when a job is not to be placed on a machine because a task of it failed
// there; zero if none did.
func (j *Job) avoidedUntil(machine string) time.Time {
	failedAt, failed := j.faults.machines[machine]
	if !failed || j.atFault() {
		return time.Time{}
	}
	return failedAt.Add(avoidAfterFailure)
}

// avoids reports whether a job is not to be placed on a machine now because a task of it failed
// there.
func (j *Job) avoids(m *Machine, now time.Time) bool { return now.Before(j.avoidedUntil(m.ID)) }

// avoidedMachines returns the IDs of the machines that a job avoids, in order.
func (j *Job) avoidedMachines(now time.Time) []string {
	var ids []string
	for id := range j.faults.machines {
		if now.Before(j.avoidedUntil(id)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// atFault reports whether a job's failures are its own fault and not that of its machines.
func (j *Job) atFault() bool { return len(j.faults.machines) >= machinesUntilJobAtFault }

const (
	// machinesUntilJobAtFault is on how many machines a job must fail to be at fault itself.
	machinesUntilJobAtFault = 3
	// jobsUntilMachineFaulty is how many jobs must fail on a machine, with no completion in
	// between, until it is drained and released.
	jobsUntilMachineFaulty = 2
	// avoidAfterFailure is how long a job avoids a machine on which it failed. Most machines boot
	// within this time, so that another one is there if the first one is still faulty.
	avoidAfterFailure = 40 * time.Second
	// maxBackoff is the longest pause of a job after a failure.
	maxBackoff = 60 * time.Second
)

// backoff returns how long a job waits after a failure. The time doubles with each failure since
// the job was found to be at fault, up to maxBackoff.
func (c *Config) backoff(j *Job) time.Duration {
	d := c.HeartbeatInterval << min(j.faults.count, 6)
	return min(d, maxBackoff)
}
