package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Refusal says why a machine takes no task of a job.
type Refusal string

// Refusals. Where several hold, the first that is looked for is told: see refusal.
const (
	NotRefused        Refusal = ""
	RefusedKind       Refusal = "kind"             // the job does not allow its type, its zone or spot
	RefusedNoRoom     Refusal = "no_room"          // what is placed there leaves too little
	RefusedNotUp      Refusal = "not_up"           // it was never heard
	RefusedLeaving    Refusal = "leaving"          // it is being released or reclaimed
	RefusedCordoned   Refusal = "cordoned"         // a drain cordoned it
	RefusedTransfer   Refusal = "transfer"         // it goes to another shard
	RefusedRecord     Refusal = "record_under_way" // its record is being written or read
	RefusedNotReached Refusal = "not_reached"      // no answer seems to reach it
	RefusedNotFenced  Refusal = "not_fenced"       // it has not reported our token since the failover
	RefusedSilent     Refusal = "silent"           // its heartbeat is overdue
	RefusedZone       Refusal = "zone"             // the job's placed tasks leave no place in its zone
	RefusedFault      Refusal = "failed_there"     // a task of the job failed there
	RefusedReserved   Refusal = "reserved"         // it is reserved for a job that goes first
)

// unusable says why no new work at all may be placed on a machine.
func (c *Config) unusable(m *Machine, now time.Time) Refusal {
	switch {
	case m.cordon != NotCordoned:
		return RefusedCordoned
	case m.record.txn != nil || m.record.versionUnknown:
		return RefusedRecord
	}
	return c.outOfService(m, now)
}

// outOfService says why a machine takes no work, but for its cordon and for what lasts only until
// its record is written or read.
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

// refusal says why a machine takes no task of a job now.
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
	case j.avoids(m):
		return RefusedFault
	case s.yieldsMachine(j, m, now):
		return RefusedReserved
	}
	return NotRefused
}

// WaitReason says why a job's pending tasks are not placed.
type WaitReason string

// Reasons, in the order in which they are looked for.
const (
	NotHeldBack       WaitReason = ""
	WaitsUnreadable   WaitReason = "unreadable_records" // machines are to report what such records may tell
	WaitsHeartbeats   WaitReason = "heartbeats"         // records seem to be missing: workers' heartbeats tell
	WaitsDependencies WaitReason = "dependencies"
	WaitsWithheld     WaitReason = "withheld" // a record that can't be decoded may tell of its tasks
	WaitsRecord       WaitReason = "record"   // its record is being read
	WaitsGang         WaitReason = "gang"     // the gang's last attempt is not proven gone
	WaitsBackoff      WaitReason = "backoff"  // after failures
	WaitsLimit        WaitReason = "team_limit"
	WaitsMachines     WaitReason = "machines"
)

// WaitingJob tells why a job's pending tasks are not placed.
type WaitingJob struct {
	Job, Team string
	Waited    time.Duration // since it was accepted or released
	Pending   int           // tasks
	Reason    WaitReason
	// TeamCPUs and TeamGPUs are what the team's placed tasks use in this shard.
	TeamCPUs, TeamGPUs float64
	// Machines counts the shard's machines by why they take none of its tasks.
	Machines map[Refusal]int
}

// LongestWaits explains the jobs that have waited longest for a place of a pending task, a few
// at the most, as long as they have waited for some time. It looks at all machines for each of
// these: it is for logs, not for every step.
func (s *Shard) LongestWaits(atLeast time.Duration, most int, now time.Time) []WaitingJob {
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
	for _, j := range waiting[:min(len(waiting), most)] {
		out = append(out, s.explainWait(j, now))
	}
	return out
}

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

// heldBack says why none of a job's tasks may be placed, whatever room there is.
func (j *Job) heldBack() WaitReason {
	switch {
	case j.awaitsDependencies:
		return WaitsDependencies
	case j.withheld:
		return WaitsWithheld
	case j.record.versionUnknown:
		return WaitsRecord
	case j.spec.Kind == wire.Gang && !j.assembling():
		return WaitsGang // the old attempt must be gone, all of it
	}
	return NotHeldBack
}

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
