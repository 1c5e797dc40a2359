package controller

import (
	"context"
	"errors"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/config"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/sched"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Defaults of the cores. The suffixes name what they are weighed against.
const (
	silentReports = 3               // reports missed before a machine counts as lost
	silentExtra   = 2 * time.Second // on top of them
	bootFactor    = 3               // of the nominal boot time, before a machine is replaced
	preemptAfter  = 2 * time.Second // a free machine from another part may come first
)

func (c *Controller) newSchedConfig(types []wire.MachineType) *sched.Config {
	p := c.cfg.Params
	kinds := map[string]string{wire.Array: "array", wire.Gang: "gang", wire.Service: "service"}
	s := &sched.Config{
		Teams: map[string]sched.Team{}, Types: map[string]wire.MachineType{},
		Report: config.Seconds(p.Workers.ReportS), Lease: config.Seconds(p.Workers.LeaseS),
		SilentAfter:  config.Seconds(p.Workers.ReportS)*silentReports + silentExtra,
		BootFactor:   bootFactor,
		PreemptAfter: preemptAfter,
		TxnOps:       p.State.TxnOps,
		ChunkTasks:   sched.Chunks(p.State.ValueKB),
		Urgency: func(s *wire.Spec, waited time.Duration) float64 {
			j := policy.Job{Class: s.Class, Team: s.Team, Kind: kinds[s.Kind], Tasks: s.Tasks, WaitedS: waited.Seconds(), EstimateS: s.EstimateS}
			if s.DeadlineS != nil {
				j.HasDeadline, j.DeadlineS = true, *s.DeadlineS
			}
			return c.policy.Urgency(j)
		},
	}
	for _, t := range p.Teams {
		s.Teams[t.Name] = sched.Team{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MaxCPUs: t.CPUsMax, MaxGPUs: t.GPUsMax,
			Share: c.policy.Share(policy.Team{Team: t.Name, CPUs: t.CPUs, GPUs: t.GPUs})}
	}
	for _, t := range types {
		s.Types[t.Name] = t
	}
	return s
}

// pump lets a core do what is due and carries it out. The lock is held by the
// caller; all input and output happens in goroutines of its own.
func (c *Controller) pump(p *sched.Part, now time.Time) {
	if c.parts[p.ID()] != p {
		return
	}
	eff := p.Step(now)
	if p.Lost() {
		delete(c.parts, p.ID())
		go c.rereadPart(p.ID())
	}
	for _, t := range eff.Txns {
		go c.commit(p, t)
	}
	for _, ref := range eff.RereadJobs {
		go c.rereadJob(p, ref)
	}
	for _, id := range eff.RereadMachines {
		go c.rereadMachine(p, id)
	}
	for _, id := range eff.Return {
		go c.giveBack(p, id)
	}
	for _, d := range eff.Direct {
		go c.direct(p, d)
	}
	for _, id := range eff.Wake {
		c.release(id, now)
	}
}

// locked runs f on a part under the lock, then pumps it.
func (c *Controller) locked(p *sched.Part, f func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	f(now)
	c.pump(p, now)
}

func (c *Controller) commit(p *sched.Part, t *sched.Txn) {
	u := statestore.Routine
	if t.Urgent {
		u = statestore.Urgent
	}
	rev, err := c.store.Txn(context.Background(), u, t.Body)
	var conflict *statestore.ConflictError
	c.locked(p, func(now time.Time) {
		switch {
		case err == nil:
			p.Applied(t, rev, now)
		case errors.As(err, &conflict):
			c.log.Debug("conflict", "part", p.ID(), "keys", conflict.Keys)
			p.Conflict(t, conflict.Keys, now)
		case errors.Is(err, statestore.ErrRefused):
			p.Refused(t, now)
		default:
			c.log.Info("transaction without answer", "part", p.ID(), "err", err)
			p.Unknown(t, now)
		}
	})
}

// again repeats a read until it succeeds or the part is not ours any more.
func (c *Controller) again(p *sched.Part, read func(context.Context) error) bool {
	ctx := context.Background()
	for {
		if err := read(ctx); err == nil {
			return true
		}
		sleep(ctx, jitter(400*time.Millisecond))
		c.mu.Lock()
		ours := c.parts[p.ID()] == p
		c.mu.Unlock()
		if !ours {
			return false
		}
	}
}

func (c *Controller) getIfThere(ctx context.Context, key string) (*wire.Entry, error) {
	e, err := c.store.Get(ctx, statestore.Urgent, key)
	if errors.Is(err, statestore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &e, nil
}

func (c *Controller) rereadJob(p *sched.Part, ref string) {
	var open *wire.Entry
	var runs []wire.Entry
	ok := c.again(p, func(ctx context.Context) (err error) {
		if open, err = c.getIfThere(ctx, record.OpenKey(p.ID(), ref)); err != nil {
			return err
		}
		runs, _, err = c.store.List(ctx, record.RunsOf(p.ID(), ref))
		return err
	})
	if !ok {
		return
	}
	c.locked(p, func(now time.Time) {
		if err := p.JobRead(ref, open, runs, now); err != nil {
			c.log.Error("job records", "ref", ref, "err", err)
		}
	})
}

func (c *Controller) rereadMachine(p *sched.Part, id string) {
	var e *wire.Entry
	ok := c.again(p, func(ctx context.Context) (err error) {
		e, err = c.getIfThere(ctx, record.MachineKey(id))
		return err
	})
	if !ok {
		return
	}
	c.locked(p, func(now time.Time) {
		if err := p.MachineRead(id, e, now); err != nil {
			c.log.Error("machine record", "machine", id, "err", err)
		}
	})
}

func (c *Controller) rereadPart(id int) {
	ctx := context.Background()
	for range 10 {
		e, err := c.store.Get(ctx, statestore.Urgent, record.PartKey(id))
		if err == nil {
			var r record.Part
			if err := decode(e.Value, &r); err != nil {
				c.log.Error("part record", "part", id, "err", err)
				return
			}
			c.mu.Lock()
			c.setPart(id, r, e.Version)
			c.mu.Unlock()
			return
		}
		sleep(ctx, jitter(400*time.Millisecond))
	}
}

// giveBack returns a machine to the cloud, together with those asked for at
// about the same time. Only a 200 proves their tasks gone.
func (c *Controller) giveBack(p *sched.Part, id string) {
	c.mu.Lock()
	c.returning[id] = p
	first := len(c.returning) == 1
	c.mu.Unlock()
	if !first {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	sleep(ctx, returnGather)
	c.mu.Lock()
	batch := map[string]*sched.Part{}
	var ids []string
	for id, p := range c.returning {
		if len(ids) == maxReturn {
			p.ReturnFailed(id, time.Now()) // with a later call
			continue
		}
		batch[id] = p
		ids = append(ids, id)
	}
	c.returning = map[string]*sched.Part{}
	c.mu.Unlock()
	err := c.cloud.Return(ctx, ids)
	c.log.Info("machines returned", "machines", ids, "err", err)
	for id, p := range batch {
		c.locked(p, func(now time.Time) {
			if err != nil {
				p.ReturnFailed(id, now)
			} else {
				p.Returned(id, now)
			}
		})
	}
}

const (
	returnGather = 200 * time.Millisecond
	maxReturn    = 100 // the protocol's bound
)

func (c *Controller) direct(p *sched.Part, d sched.Direct) {
	r, _, err := agent.Command(context.Background(), d.Addr, d.Orders)
	if err != nil {
		c.log.Debug("direct command", "machine", d.Machine, "err", err)
		return
	}
	if r.Machine != d.Machine {
		return // another machine has its address by now
	}
	c.locked(p, func(now time.Time) { p.Report(&r, true, now) })
}
