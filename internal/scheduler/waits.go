package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Refusal is the reason why a machine takes no task of a job.
type Refusal string

// The refusals. If several apply, the one that is checked first is reported: see refusal.
const (
	NotRefused        Refusal = ""
	RefusedKind       Refusal = "kind"             // the job does not allow its type or zone, or spot machines
	RefusedNoRoom     Refusal = "no_room"          // the tasks placed there leave too little room
	RefusedNotUp      Refusal = "not_up"           // it has sent no heartbeat yet
	RefusedLeaving    Refusal = "leaving"          // it is being released or reclaimed
	RefusedCordoned   Refusal = "cordoned"         // a drain cordoned it
	RefusedTransfer   Refusal = "transfer"         // it is being transferred to another shard
	RefusedRecord     Refusal = "record_under_way" // its record is being written or read
	RefusedNotReached Refusal = "not_reached"      // responses and commands do not seem to reach it
	RefusedNotFenced  Refusal = "not_fenced"       // it has not reported the owner's fencing token since the failover
	RefusedSilent     Refusal = "silent"           // its heartbeat is overdue
	RefusedZone       Refusal = "zone"             // the job's placed tasks allow no more tasks in its zone
	RefusedFault      Refusal = "failed_there"     // a task of the job failed there a short time ago
	RefusedReserved   Refusal = "reserved"         // it is reserved for a job that goes first
)

// unusable returns the reason why a machine takes no new tasks of any job now, or NotRefused.
func (c *Config) unusable(m *Machine, now time.Time) Refusal {
	switch {
	case m.cordon != NotCordoned:
		return RefusedCordoned
	case m.record.txn != nil || m.record.versionUnknown:
		return RefusedRecord
	}
	return c.outOfService(m, now)
}

// outOfService returns the reason why a machine takes no new tasks now, apart from a cordon
// and from a write or read of its record under way, or NotRefused.
func (c *Config) outOfService(m *Machine, now time.Time) Refusal {
	switch {
	case !m.contact.up:
		return RefusedNotUp
	case m.Phase != record.InUse || m.draining || !m.reclaimedAt.IsZero():
		return RefusedLeaving
	case m.transferTo >= 0:
		return RefusedTransfer
	case !m.contact.unreachableSince.IsZero():
		return RefusedNotReached
	case m.inherited && !m.contact.fenced:
		return RefusedNotFenced
	case now.Sub(m.contact.heartbeatAt) >= c.suspectAfter():
		return RefusedSilent
	}
	return NotRefused
}

// refusal returns the reason why a machine takes no task of a job now, or NotRefused.
func (s *Shard) refusal(j *Job, m *Machine, now time.Time) Refusal {
	room := freeRoom(m)
	switch {
	case !allows(j.spec, m):
		return RefusedKind
	case !room.fits(j.spec):
		return RefusedNoRoom
	}
	if why := s.cfg.unusable(m, now); why != NotRefused {
		return why
	}
	switch {
	case !j.allowsZone(m.Zone):
		return RefusedZone
	case j.avoids(m, now):
		return RefusedFault
	case s.yieldsMachine(j, m, now):
		return RefusedReserved
	}
	return NotRefused
}

// WaitReason is the reason why a job's pending tasks are not placed.
type WaitReason string

// The reasons, in the order in which they are checked.
const (
	NotHeldBack       WaitReason = ""
	WaitsUnreadable   WaitReason = "unreadable_records" // machines have yet to report the tasks that unreadable records may name
	WaitsHeartbeats   WaitReason = "heartbeats"         // records seem to be missing: heartbeats have to show what runs
	WaitsDependencies WaitReason = "dependencies"       // it is not released yet
	WaitsWithheld     WaitReason = "withheld"           // a record that can't be decoded may name its tasks
	WaitsRecord       WaitReason = "record"             // its record is being read
	WaitsGang         WaitReason = "gang"               // tasks of the gang's last attempt are not proven gone
	WaitsBackoff      WaitReason = "backoff"            // it is not to be placed yet after failures
	WaitsLimit        WaitReason = "team_limit"         // its team's limit leaves too little
	WaitsMachines     WaitReason = "machines"           // no machine takes its tasks
)

// WaitingJob explains why a job's pending tasks are not placed.
type WaitingJob struct {
	Job, Team string
	Waited    time.Duration // since it was accepted or released
	Pending   int           // number of pending tasks
	Reason    WaitReason
	// TeamCPUs and TeamGPUs are what the team's placed tasks use in this shard.
	TeamCPUs, TeamGPUs float64
	// Machines counts the shard's machines by the reason why they take none of the job's
	// tasks; "none" counts those that would take one.
	Machines map[Refusal]int
}

// LongestWaits explains why jobs with pending tasks wait: of those that have waited for atLeast
// it returns the longest waits, at most limit. It examines all machines for each of these
// jobs, so it is meant for logs, not for every step.
func (s *Shard) LongestWaits(atLeast time.Duration, limit int, now time.Time) []WaitingJob {
	var waiting []*Job
	for _, j := range s.inventory.pendingJobs {
		if !j.cancelled && now.Sub(j.accepted) >= atLeast {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *Job) int {
		return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.ref, b.ref))
	})
	var out []WaitingJob
	for _, j := range waiting[:min(len(waiting), limit)] {
		out = append(out, s.explainWait(j, now))
	}
	return out
}

// explainWait returns the reason why a job waits, and why each machine takes none of its tasks.
func (s *Shard) explainWait(j *Job, now time.Time) WaitingJob {
	used := s.quotas.usage(j.spec.Team)
	out := WaitingJob{Job: j.ref, Team: j.spec.Team, Waited: now.Sub(j.accepted), Pending: j.progress.pending,
		Reason: s.waitReason(j, now), TeamCPUs: used.cpus, TeamGPUs: used.gpus, Machines: map[Refusal]int{}}
	for _, m := range s.inventory.byID {
		why := s.refusal(j, m, now)
		if why == NotRefused {
			why = "none"
		}
		out.Machines[why]++
	}
	return out
}

// heldBack returns the reason why none of a job's tasks may be placed, whatever room there is,
// or NotHeldBack.
func (j *Job) heldBack() WaitReason {
	switch {
	case j.awaitsDependencies:
		return WaitsDependencies
	case j.withheld:
		return WaitsWithheld
	case j.record.versionUnknown:
		return WaitsRecord
	case j.spec.Kind == wire.Gang && !j.assembling():
		return WaitsGang // all tasks of the last attempt have to be gone first
	}
	return NotHeldBack
}

// waitReason returns the first reason that applies to a job with pending tasks. It is
// WaitsMachines if no other does.
func (s *Shard) waitReason(j *Job, now time.Time) WaitReason {
	switch {
	case s.unreadable.awaitsMachines:
		return WaitsUnreadable
	case s.awaitsHeartbeats(now):
		return WaitsHeartbeats
	case j.heldBack() != NotHeldBack:
		return j.heldBack()
	case now.Before(j.notBefore):
		return WaitsBackoff
	case !s.quotas.withinLimit(j, j.unitSize()):
		return WaitsLimit
	}
	return WaitsMachines
}
