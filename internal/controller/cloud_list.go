package controller

import (
	"context"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// remember notes which machines are ours, so that the cloud's list, which lags,
// does not make strangers of those that are gone. The lock is held.
func (c *Controller) remember(l *leading, now time.Time) {
	c.fleet.Each(func(id string, _ record.View) { l.known[id] = now })
	for id, at := range l.known {
		if now.Sub(at) > time.Duration(knownLags)*config.Seconds(c.cfg.Params.Cloud.ListLagS) {
			delete(l.known, id)
			delete(l.addrs, id)
		}
	}
}

// knownLags is for how many of the list's lags a machine that is gone is not
// taken for a stranger.
const knownLags = 6

// compareCloudList reads the cloud's list for machines that nobody recorded,
// as a request executed late leaves them, and gives them back.
func (c *Controller) compareCloudList(ctx context.Context, l *leading) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := c.cloud.List(ctx)
	if err != nil {
		c.log.Debug("machine list", "err", err)
		return
	}
	c.mu.Lock()
	unknown := c.unknownMachines(l, list)
	busy := len(l.rentals) > 0
	c.mu.Unlock()
	if len(unknown) == 0 || busy {
		return
	}
	// The view may be behind: the records decide.
	fl, err := c.readFleet(ctx, statestore.Routine("strangers"))
	if err != nil {
		c.log.Debug("fleet records", "err", err)
		return
	}
	if len(fl.Unfinished()) > 0 {
		return
	}
	var unrecorded []string
	for _, id := range unknown {
		if _, ok := fl.Machine(id); !ok {
			unrecorded = append(unrecorded, id)
		}
	}
	if len(unrecorded) > 0 {
		err := c.cloud.Return(ctx, unrecorded)
		c.log.Info("unexpected machines returned", "machines", unrecorded, "err", err)
	}
}

// listTimeout bounds one comparison with the cloud's list.
const listTimeout = 20 * time.Second

// unknownMachines returns those of a list that have been in enough lists without being in
// the view. The lock is held.
func (c *Controller) unknownMachines(l *leading, list []wire.Listed) []string {
	var unknown []string
	for _, m := range list {
		_, ours := c.fleet.Machine(m.ID)
		if _, lately := l.known[m.ID]; ours || lately {
			delete(l.strange, m.ID)
			continue // the list lags
		}
		l.strange[m.ID]++
		if l.strange[m.ID] >= unknownInLists && len(unknown) < maxReturn {
			unknown = append(unknown, m.ID)
		}
	}
	return unknown
}

// unknownInLists is in how many lists an unrecorded machine must appear.
const unknownInLists = 2
