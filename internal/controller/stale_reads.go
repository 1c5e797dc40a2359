package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// What the state service, workers and the cloud tell is compared here with what is known, before
// it is believed.

// errSuspectedDataLoss says that what the state service tells of a job can't be believed for now.
var errSuspectedDataLoss = errors.New("the state service may have lost data")

// activeJobBaseline is what was known of a job before its records were read.
type activeJobBaseline struct {
	version      uint64 // of its open record, 0 if the view had none
	viewRevision uint64 // the revision that the view had come to
}

func (c *Controller) activeJobBaseline(ref string) activeJobBaseline {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, _ := c.activeJobs.Job(ref)
	return activeJobBaseline{j.Version, c.activeJobs.Revision()}
}

// checkActiveRecord compares a job's open record with what was known before it was read. It must not
// be older, nor be there again after the view has told its end.
func (c *Controller) checkActiveRecord(ref string, known activeJobBaseline, found uint64) error {
	held := known.version
	if held == 0 && found <= known.viewRevision {
		held = known.viewRevision + 1 // its end came after it
	}
	if !c.safeMode.enabled || found >= held {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportIfStale(record.ActiveJobKey(ref), held, found, time.Now())
	return errSuspectedDataLoss
}

// checkMissingRecords decides about a job without any record: one that was open before is lost. Who
// has just begun can't know that of any, and so leaves the answer to later: workers' tokens
// tell a store that went back.
func (c *Controller) checkMissingRecords(ref string, known activeJobBaseline) error {
	if !c.safeMode.enabled {
		return statestore.ErrNotFound
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case known.version > 0:
		c.reportIfStale(record.ActiveJobKey(ref), known.version, 0, now)
		return errSuspectedDataLoss
	case now.Sub(c.startedAt) < startupHeartbeats*config.Seconds(c.cfg.Params.Workers.ReportS):
		return errSuspectedDataLoss
	}
	return statestore.ErrNotFound
}

// startupHeartbeats is for how many intervals of reports a controller that has begun says of no
// job that it was never submitted.
const startupHeartbeats = 2

// lookUpMissingRecords looks for records that explain why a worker has a task which its part does not
// know. A job may be over, or another part's; and one that is over may come back into the view
// for a moment, without its placements.
func (c *Controller) lookUpMissingRecords(shard *scheduler.Shard, u scheduler.Unrecorded) {
	ref, _, _ := scheduler.SplitTask(u.Task)
	keys := []string{record.FinishedJobKey(ref), recovery.LostKey(ref)}
	if !u.KnownJob {
		keys = append(keys, record.ActiveJobKey(ref), record.FinishedJobKey(ref)) // it may end in between
	}
	explained := false
	ok := c.retryWhileOwned(shard, func(ctx context.Context) error {
		for _, key := range keys {
			e, err := c.getIfPresent(ctx, key)
			if explained = e != nil; err != nil || explained {
				return err
			}
		}
		return nil
	})
	if !ok {
		return
	}
	c.updateShard(shard, func(now time.Time) {
		if explained {
			shard.ExplainUnrecorded(u.Task)
			return
		}
		if shard.ConfirmUnrecorded(u.Task) {
			c.reportDataLoss(recovery.Finding{Kind: recovery.RecordMissing, Key: u.Task, Held: u.Attempt, Found: u.Recorded}, now)
		}
	})
}

// checkReread compares a record that was read again with what its part holds of it. It reports
// false if it is older than that, or gone though nothing ended it: then the part must not
// hear of it.
func (c *Controller) checkReread(ctx context.Context, shard *scheduler.Shard, key string, e *wire.Entry) (bool, error) {
	if !c.safeMode.enabled {
		return true, nil
	}
	c.mu.Lock()
	held := shard.Version(key)
	c.mu.Unlock()
	found := uint64(0)
	if e != nil {
		found = e.Version
	}
	if e == nil && strings.HasPrefix(key, record.ActiveJobPrefix) {
		over, err := c.hasFinishedRecord(ctx, record.LastElement(key))
		if err != nil || over {
			return over, err
		}
	}
	if e == nil && strings.HasPrefix(key, record.FleetPrefix) {
		return true, nil // cleared, as the machine is gone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reportIfStale(key, held, found, time.Now()), nil
}

// queryUnrecordedMachines asks machines of which there is no record whether they were ever told to do
// anything: then there was one.
func (c *Controller) queryUnrecordedMachines(ctx context.Context, addrs map[string]string) (lost bool) {
	if !c.safeMode.enabled {
		return false
	}
	for id, addr := range addrs {
		r, err := c.agents.Show(ctx, addr)
		if err != nil || r.Check() != nil || r.Machine != id || r.Token == 0 {
			continue
		}
		c.mu.Lock()
		c.reportDataLoss(recovery.Finding{Kind: recovery.RecordMissing, Key: id, Held: r.Token}, time.Now())
		lost = c.safeMode.state.Active()
		c.mu.Unlock()
		if lost {
			return true
		}
	}
	return false
}

// investigateUnrecordedMachine looks into a report of a machine of which there is no record, though it was
// told to do something once. The lock is held.
func (c *Controller) investigateUnrecordedMachine(r *wire.Heartbeat) {
	m := &c.safeMode
	if !m.enabled || r.Token == 0 || m.investigatingMachine || m.state.Active() {
		return
	}
	m.investigatingMachine = true
	id, addr := r.Machine, r.Addr
	go func() {
		fl, err := c.readFleet(c.life, auditPurpose)
		if err == nil {
			if _, recorded := fl.Machine(id); !recorded {
				c.queryUnrecordedMachines(c.life, map[string]string{id: addr})
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		m.investigatingMachine = false
	}()
}
