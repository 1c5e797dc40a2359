package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// trackKnownMachines notes which machines are ours, so that the cloud's list, which lags,
// does not make strangers of those that are gone. The lock is held.
func (c *Controller) trackKnownMachines(l *leadership, now time.Time) {
	c.fleet.Each(func(id string, _ record.View) { l.recentMachines[id] = now })
	for id, at := range l.recentMachines {
		if now.Sub(at) > time.Duration(knownLags)*config.Seconds(c.cfg.Params.Cloud.ListLagS) {
			delete(l.recentMachines, id)
			delete(l.addresses, id)
		}
	}
}

// knownLags is for how many of the list's lags a machine that is gone is not
// taken for a stranger.
const knownLags = 6

// compareCloudList reads the cloud's list for machines that nobody recorded,
// as a request executed late leaves them, and gives them back.
func (c *Controller) compareCloudList(ctx context.Context, l *leadership) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := c.cloud.List(ctx)
	if err != nil {
		c.log.Debug("machine list", "err", err)
		return
	}
	c.mu.Lock()
	unknown := c.unknownMachines(l, list)
	c.mu.Unlock()
	if len(unknown) == 0 {
		return
	}
	// The view may be behind: the records decide.
	fl, err := c.readFleet(ctx, statestore.Routine("strangers"))
	if err != nil {
		c.log.Debug("fleet records", "err", err)
		return
	}
	renting := len(fl.Unfinished()) > 0
	var unrecorded []string
	addrs := map[string]string{}
	for _, m := range list {
		addrs[m.ID] = m.Addr
	}
	for id, seen := range unknown {
		_, ok := fl.Machine(id)
		if reconcile.Machine(reconcile.MachineEvidence{Recorded: ok, Listed: seen, Renting: renting}).Action == reconcile.GiveBack {
			unrecorded = append(unrecorded, id)
		}
	}
	maps.DeleteFunc(addrs, func(id, _ string) bool { return !slices.Contains(unrecorded, id) })
	if len(unrecorded) > 0 && !c.queryUnrecordedMachines(ctx, addrs) {
		err := c.cloud.Return(ctx, unrecorded)
		c.log.Info("unexpected machines returned", "machines", unrecorded, "err", err)
	}
}

// listTimeout bounds one comparison with the cloud's list.
const listTimeout = 20 * time.Second

// unknownMachines returns those of a list that no record seems to name, with in how many
// lists they were. The lock is held.
func (c *Controller) unknownMachines(l *leadership, list []wire.Listed) map[string]int {
	unknown := map[string]int{}
	for _, m := range list {
		_, ours := c.fleet.Machine(m.ID)
		_, lately := l.recentMachines[m.ID]
		if ours || lately {
			delete(l.unrecognized, m.ID)
		} else {
			l.unrecognized[m.ID]++
		}
		f := reconcile.Machine(reconcile.MachineEvidence{Recorded: ours, Lately: lately, Listed: l.unrecognized[m.ID], Renting: len(l.provisions) > 0})
		if f.Action == reconcile.GiveBack && len(unknown) < protocolMaxRelease {
			unknown[m.ID] = l.unrecognized[m.ID]
		}
	}
	return unknown
}
