package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Defaults of the cores. The suffixes name what they are weighed against.
const (
	silentReports = 3               // reports missed before a machine counts as lost
	silentExtra   = 2 * time.Second // on top of them
	probeSockets  = 32              // one in so many sockets may ask a silent machine
	// commandSockets is the same for direct commands: a wave of them to machines
	// that hang must leave sockets for peers and the state service.
	commandSockets = 16
	bootFactor     = 3               // of the nominal boot time, before a machine is replaced
	preemptAfter   = 2 * time.Second // a free machine from another part may come first
	// gatherEnds: the end of a job is recorded at once, and what has ended of one
	// that goes on is kept by its worker until it is recorded.
	gatherEnds   = 3 * time.Second
	gatherStarts = 150 * time.Millisecond
	gatherBacks  = 2 * time.Second // unused machines cost little in that time
)

func (c *Controller) newSchedulerConfig(types []wire.MachineType) *scheduler.Config {
	p := c.cfg.Params
	kinds := map[string]string{wire.Array: "array", wire.Gang: "gang", wire.Service: "service"}
	s := &scheduler.Config{
		Teams: map[string]scheduler.Team{}, Types: map[string]wire.MachineType{},
		HeartbeatInterval: config.Seconds(p.Workers.ReportS), Lease: config.Seconds(p.Workers.LeaseS),
		SilentAfter:          config.Seconds(p.Workers.ReportS)*silentReports + silentExtra,
		BootFactor:           bootFactor,
		PreemptAfter:         preemptAfter,
		GangWait:             config.Seconds(p.Workers.GangWaitS),
		MaxProbes:            max(1, p.Resources.MaxSockets/probeSockets),
		TxnOps:               c.writeLimits().TxnOps,
		ValueBytes:           c.writeLimits().Bytes(),
		PlacementsPerRecord:  scheduler.PlacementsPerRecord(p.State.ValueKB),
		CompletionBatchDelay: gatherEnds,
		StartBatchDelay:      gatherStarts,
		ReleaseBatchDelay:    gatherBacks,
		Pace:                 c.reconciliation.Limiter(),
		Urgency: func(spec *wire.Spec, waited time.Duration, deadline *float64) float64 {
			j := policy.Job{Class: spec.Class, Team: spec.Team, Kind: kinds[spec.Kind], Tasks: spec.Tasks, WaitedS: waited.Seconds(), EstimateS: spec.EstimateS}
			if deadline != nil {
				j.HasDeadline, j.DeadlineS = true, *deadline
			}
			return c.policy.Urgency(j)
		},
	}
	for _, t := range p.Teams {
		s.Teams[t.Name] = scheduler.Team{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MaxCPUs: t.CPUsMax, MaxGPUs: t.GPUsMax,
			Share: c.policy.Share(policy.Team{Team: t.Name, CPUs: t.CPUs, GPUs: t.GPUs})}
	}
	for _, t := range types {
		s.Types[t.Name] = t
	}
	return s
}

// step lets a core do what is due and carries it out. The lock is held by the
// caller; all input and output happens in goroutines of its own.
func (c *Controller) step(shard *scheduler.Shard, now time.Time) {
	if c.shards[shard.ID()] != shard {
		return
	}
	c.refreshAuthority(shard, now)
	c.drainer.RefreshCordonsLocked(shard)
	eff := shard.Step(now)
	c.drainer.RecordInterruptionsLocked(eff.Interrupted, now)
	c.reconciliation.RecordContradictionsLocked(eff.Contradictions)
	if shard.OwnershipLost() {
		delete(c.shards, shard.ID())
		go c.rereadShardRecord(shard.ID())
	}
	for _, t := range eff.Txns {
		go c.commit(shard, t)
	}
	for _, ref := range eff.RereadJobs {
		go c.rereadJob(shard, ref)
	}
	for _, n := range eff.RereadPlacements {
		go c.rereadPlacements(shard, n)
	}
	for _, id := range eff.RereadMachines {
		go c.rereadMachine(shard, id)
	}
	for _, ref := range eff.RereadPipelines {
		go c.rereadPipeline(shard, ref)
	}
	for _, d := range eff.DirectCommands {
		go c.sendCommands(shard, d)
	}
	for _, q := range eff.Probes {
		go c.probeMachine(shard, q)
	}
	for _, u := range eff.Unrecorded {
		go c.staleReads.LookUpMissing(shard, u)
	}
	for _, id := range eff.StartsReady {
		if c.longPolls.ParkedLocked(id) {
			c.longPolls.ReleaseLocked(id, now)
		} else if d, ok := shard.DirectStarts(id, now); ok {
			go c.sendCommands(shard, d)
		}
	}
	for _, g := range eff.Released {
		c.log.Info("machine released", "machine", g.Machine, "shard", shard.ID(), "why", g.Why, "tasks", g.Tasks, "silent", g.Silent.Round(time.Millisecond))
	}
	for _, e := range eff.Ended {
		c.log.Debug("job over", "ref", e.Ref, "class", e.Class, "state", e.State, "took", e.Took.Round(time.Millisecond), "estimate", e.Estimate,
			"tasks", e.Tasks, "attempts", e.Attempts)
	}
	for _, s := range eff.Started {
		c.log.Debug("task runs", "task", s.Task, "class", s.Class, "machine", s.Machine, "image", s.Image, "gb", s.ImageGB, "cached", s.Cached, "queued", s.Queued.Round(time.Millisecond),
			"recording", s.Recording.Round(time.Millisecond), "sending", s.Sending.Round(time.Millisecond), "seen", s.Seen.Round(time.Millisecond), "runs", s.Runs.Round(time.Millisecond))
	}
}

// refreshAuthority tells a part whether it may still start anything. A controller that stood
// still finds its lease ended, and its timers and answers due, before any of its
// loops has run again: it must not send what was recorded before.
func (c *Controller) refreshAuthority(shard *scheduler.Shard, now time.Time) {
	shard.SetCancellationsUnknown(c.activeJobsStale(now) || !c.leaseCertain(now))
}

// updateShard runs f on a part under the lock, then pumps it.
func (c *Controller) updateShard(shard *scheduler.Shard, f func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	f(now)
	c.step(shard, now)
}

func (c *Controller) commit(shard *scheduler.Shard, t *scheduler.Txn) {
	rev, err := c.store.Txn(c.life, statestore.Purpose{Name: t.Purpose, Routine: t.Routine}, t.Body)
	var conflict *statestore.ConflictError
	c.updateShard(shard, func(now time.Time) {
		switch {
		case err == nil:
			shard.Applied(t, rev, now)
			c.applyOwnWrites(t.Body, rev, now)
		case errors.As(err, &conflict):
			c.log.Debug("conflict", "shard", shard.ID(), "keys", conflict.Keys)
			shard.Conflict(t, conflict.Keys, now)
		case errors.Is(err, statestore.ErrRefused):
			shard.Refused(t, now)
		case errors.Is(err, statestore.ErrInvalid):
			c.log.Error("transaction not taken: writing less from now on", "shard", shard.ID(), "for", t.Purpose, "err", err)
			shard.TooLarge(t, now)
		default:
			c.log.Info("transaction without answer", "shard", shard.ID(), "err", err)
			shard.Unknown(t, now)
		}
	})
}

// applyOwnWrites brings what a transaction of ours changed to this controller's own
// views, ahead of the watch. The lock is held.
func (c *Controller) applyOwnWrites(t wire.Txn, rev uint64, now time.Time) {
	for _, op := range t.Then {
		e := wire.Change{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: rev}
		switch key := op.Put + op.Delete; {
		case strings.HasPrefix(key, record.FleetPrefix):
			c.applyMachineChangesLocked([]wire.Change{e}, now)
		case strings.HasPrefix(key, record.ActiveJobPrefix):
			c.applyActiveJobChangeLocked(e, now)
		case strings.HasPrefix(key, record.FinishedJobPrefix):
			var j record.FinishedJob
			if err := json.Unmarshal(op.Value, &j); err != nil {
				c.log.Error("final record", "key", key, "err", err)
				continue
			}
			c.notifyDependents(record.LastElement(key), op)
			c.dependencyEnded(record.LastElement(key), j, now)
		}
	}
}

// retryWhileOwned repeats a read until it succeeds or the part is not ours any more.
func (c *Controller) retryWhileOwned(shard *scheduler.Shard, read func(context.Context) error) bool {
	ctx := c.life
	for {
		if err := read(ctx); err == nil {
			return true
		}
		if !retry.Sleep(ctx, retry.Jitter(400*time.Millisecond)) {
			return false
		}
		c.mu.Lock()
		ours := c.shards[shard.ID()] == shard
		c.mu.Unlock()
		if !ours {
			return false
		}
	}
}

func (c *Controller) getIfPresent(ctx context.Context, key string) (*wire.Entry, error) {
	e, err := c.store.Get(ctx, statestore.Urgent("read back"), key)
	if errors.Is(err, statestore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &e, nil
}

// rereadRecord reads one key again, until it succeeds, and tells the part.
func (c *Controller) rereadRecord(shard *scheduler.Shard, key string, tell func(e *wire.Entry, now time.Time) error) {
	var e *wire.Entry
	intact := true
	ok := c.retryWhileOwned(shard, func(ctx context.Context) (err error) {
		if e, err = c.getIfPresent(ctx, key); err != nil {
			return err
		}
		intact, err = c.staleReads.CheckReread(ctx, shard, key, e)
		return err
	})
	if !ok || !intact {
		return
	}
	c.updateShard(shard, func(now time.Time) {
		if err := tell(e, now); err != nil {
			c.log.Error("read back", "key", key, "err", err)
		}
	})
}

func (c *Controller) rereadJob(shard *scheduler.Shard, ref string) {
	c.rereadRecord(shard, record.ActiveJobKey(ref), func(e *wire.Entry, now time.Time) error { return shard.JobRead(ref, e, now) })
}

func (c *Controller) rereadPlacements(shard *scheduler.Shard, n int) {
	c.rereadRecord(shard, record.PlacementsKey(shard.ID(), n), func(e *wire.Entry, now time.Time) error { return shard.PlacementsRead(n, e, now) })
}

func (c *Controller) rereadMachine(shard *scheduler.Shard, id string) {
	c.rereadRecord(shard, record.OverrideKey(id), func(e *wire.Entry, now time.Time) error { return shard.MachineRead(id, e, now) })
}

func (c *Controller) rereadPipeline(shard *scheduler.Shard, ref string) {
	var ends []record.PipelineJobEnd
	var e *wire.Entry
	ok := c.retryWhileOwned(shard, func(ctx context.Context) (err error) {
		if e, err = c.getIfPresent(ctx, record.PipelineKey(ref)); err != nil || e == nil {
			return err
		}
		var rec record.Pipeline
		if err = json.Unmarshal(e.Value, &rec); err != nil {
			return err
		}
		c.mu.Lock()
		held := slices.DeleteFunc(slices.Clone(rec.Jobs), func(ref string) bool { return !shard.HasJob(ref) })
		c.mu.Unlock()
		ends, err = c.terminalStates.MissingPipelineEnds(ctx, c.store, statestore.Urgent("read back"), &rec, held)
		return err
	})
	if !ok {
		return
	}
	c.updateShard(shard, func(now time.Time) {
		if err := shard.PipelineRead(ref, e, ends, now); err != nil {
			c.log.Error("read back", "pipeline", ref, "err", err)
		}
	})
}

func (c *Controller) rereadShardRecord(id int) {
	ctx := c.life
	for range 10 {
		e, err := c.store.Get(ctx, statestore.Urgent("read back"), record.ShardKey(id))
		if err == nil {
			var r record.Shard
			if err := json.Unmarshal(e.Value, &r); err != nil {
				c.log.Error("shard record", "shard", id, "err", err)
				return
			}
			c.mu.Lock()
			c.dataLoss.ReportIfStaleLocked(record.ShardKey(id), c.cluster.ShardVersion(id), e.Version, time.Now())
			c.setShardRecordLocked(id, r, e.Version)
			c.mu.Unlock()
			return
		}
		if errors.Is(err, statestore.ErrNotFound) {
			c.mu.Lock()
			c.dataLoss.ReportIfStaleLocked(record.ShardKey(id), c.cluster.ShardVersion(id), 0, time.Now())
			c.mu.Unlock()
		}
		retry.Sleep(ctx, retry.Jitter(400*time.Millisecond))
	}
}

// probeMachine asks a worker for its report and tells the part.
func (c *Controller) probeMachine(shard *scheduler.Shard, q scheduler.Probe) {
	r, err := c.agents.Show(c.life, q.Addr)
	err = c.messages.Reply("reply of a worker", q.Machine, err, r.Check)
	if err == nil && r.Machine != q.Machine {
		err = fmt.Errorf("%s answers for %s", r.Machine, q.Machine) // another has its address by now
	}
	if err != nil {
		c.log.Debug("probe", "machine", q.Machine, "err", err)
	}
	c.updateShard(shard, func(now time.Time) {
		if err != nil {
			shard.ProbeAnswered(q.Machine, nil, now)
			return
		}
		shard.ProbeAnswered(q.Machine, &r, now)
	})
}

// sendCommands sends commands straight to a worker and tells the part what came of it.
func (c *Controller) sendCommands(shard *scheduler.Shard, d scheduler.DirectCommand) {
	c.commands <- struct{}{}
	r, ok, err := c.agents.Command(c.life, d.Addr, d.Orders)
	<-c.commands
	err = c.messages.Reply("reply of a worker", d.Machine, err, r.Check)
	if err == nil && r.Machine != d.Machine {
		err = fmt.Errorf("%s answers for %s", r.Machine, d.Machine) // another has its address by now
	}
	outcome := scheduler.NoAnswer
	switch {
	case errors.Is(err, httpwire.ErrNotSent):
		outcome = scheduler.NotSent
	case err != nil:
	case ok:
		outcome = scheduler.Executed
	default:
		outcome = scheduler.Refused
	}
	if err != nil {
		c.log.Debug("direct command", "machine", d.Machine, "err", err)
	}
	c.updateShard(shard, func(now time.Time) {
		shard.CommandDone(d, outcome, now)
		if err == nil {
			shard.Heartbeat(&r, true, now)
		}
	})
}
