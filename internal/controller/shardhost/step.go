package shardhost

import (
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// StepLocked runs a step of a shard and carries out its effects. It does nothing if the shard is no
// longer served here. All input and output happens in separate goroutines, which end when the
// controller stops or the shard is lost.
func (h *Host) StepLocked(shard *scheduler.Shard, now time.Time) {
	if !h.ServesLocked(shard) {
		return
	}
	h.RefreshAuthorityLocked(shard, now)
	h.env.BeforeStepLocked(shard)
	effects := shard.Step(now)
	h.env.AfterStepLocked(effects.Interrupted, effects.Contradictions, now)
	if shard.OwnershipLost() {
		h.DropLocked(shard.ID())
		go h.RereadOwnership(shard.ID())
	}
	for _, txn := range effects.Txns {
		go h.commit(shard, txn)
	}
	if effects.ConfirmOwnershipAt > 0 {
		go h.confirmOwnership(shard, effects.ConfirmOwnershipAt)
	}
	h.reread(shard, &effects)
	h.callWorkers(shard, &effects)
	h.sendStartsLocked(shard, effects.StartsReady, now)
	h.logEffects(shard, &effects)
}

// reread starts to read the records whose versions are unknown to a shard, and the records that may
// explain a reported task.
func (h *Host) reread(shard *scheduler.Shard, effects *scheduler.Effects) {
	for _, ref := range effects.RereadJobs {
		go h.rereadRecord(shard, record.ActiveJobKey(ref), func(entry *wire.Entry, now time.Time) error {
			return shard.JobRead(ref, entry, now)
		})
	}
	for _, n := range effects.RereadPlacements {
		go h.rereadRecord(shard, record.PlacementsKey(shard.ID(), n), func(entry *wire.Entry, now time.Time) error {
			return shard.PlacementsRead(n, entry, now)
		})
	}
	for _, id := range effects.RereadMachines {
		go h.rereadRecord(shard, record.OverrideKey(id), func(entry *wire.Entry, now time.Time) error {
			return shard.MachineRead(id, entry, now)
		})
	}
	for _, ref := range effects.RereadPipelines {
		go h.rereadPipeline(shard, ref)
	}
	for _, task := range effects.Unrecorded {
		go h.env.LookUpMissingRecords(shard, task)
	}
}

// callWorkers sends direct commands, and probes silent machines for their heartbeats.
func (h *Host) callWorkers(shard *scheduler.Shard, effects *scheduler.Effects) {
	for _, command := range effects.DirectCommands {
		go h.sendCommands(shard, command)
	}
	for _, probe := range effects.Probes {
		go h.probeMachine(shard, probe)
	}
}

// sendStartsLocked sends the starts that are ready to their machines: with the response to a
// parked heartbeat if there is one, otherwise by a direct command.
func (h *Host) sendStartsLocked(shard *scheduler.Shard, machines []string, now time.Time) {
	for _, id := range machines {
		if h.env.RespondToParkedLocked(id, now) {
			continue
		}
		if command, ok := shard.DirectStarts(id, now); ok {
			go h.sendCommands(shard, command)
		}
	}
}

// logEffects logs the changes of machines, jobs and tasks in a step.
func (h *Host) logEffects(shard *scheduler.Shard, effects *scheduler.Effects) {
	for _, m := range effects.Released {
		h.log.Info("machine released", "machine", m.Machine, "shard", shard.ID(), "why", m.Why,
			"tasks", m.Tasks, "silent", m.Silent.Round(time.Millisecond))
	}
	for _, u := range effects.Unrecorded {
		h.log.Info("task not in the records", "task", u.Task, "machine", u.Machine, "shard", shard.ID(), "token", shard.Token(),
			"attempt", u.Attempt, "recorded", u.Recorded, "job_known", u.KnownJob)
	}
	for _, j := range effects.Ended {
		h.log.Debug("job terminal", "job", j.Ref, "class", j.Class, "state", j.State,
			"took", j.Took.Round(time.Millisecond), "estimate", j.Estimate,
			"tasks", j.Tasks, "attempts", j.Attempts)
	}
	for _, t := range effects.Started {
		h.log.Debug("task running", "task", t.Task, "class", t.Class, "machine", t.Machine,
			"image", t.Image, "gb", t.ImageGB, "cached", t.Cached,
			"queued", t.Queued.Round(time.Millisecond), "recording", t.Recording.Round(time.Millisecond),
			"sending", t.Sending.Round(time.Millisecond), "seen", t.Seen.Round(time.Millisecond),
			"runs", t.Runs.Round(time.Millisecond))
	}
}
