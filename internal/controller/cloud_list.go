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
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	list, err := c.cloud.List(ctx)
	if err != nil {
		c.log.Debug("machine list", "err", err)
		return
	}
	c.mu.Lock()
	var odd []string
	for _, m := range list {
		_, ours := c.fleet.Machine(m.ID)
		if _, lately := l.known[m.ID]; ours || lately {
			delete(l.strange, m.ID)
			continue // the list lags
		}
		l.strange[m.ID]++
		if l.strange[m.ID] >= unknownInLists && len(odd) < maxReturn {
			odd = append(odd, m.ID)
		}
	}
	busy := len(l.rentals) > 0
	c.mu.Unlock()
	if len(odd) == 0 || busy {
		return
	}
	// The view may be behind: the records decide.
	entries, _, err := c.store.List(ctx, statestore.Routine("strangers"), record.FleetPrefix)
	if err != nil {
		return
	}
	fl := record.NewFleet()
	for _, e := range entries {
		if _, err := fl.Change(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}); err != nil {
			c.log.Error("fleet record", "err", err)
			return
		}
	}
	if len(fl.Unfinished()) > 0 {
		return
	}
	var back []string
	for _, id := range odd {
		if _, ok := fl.Machine(id); !ok {
			back = append(back, id)
		}
	}
	if len(back) > 0 {
		err := c.cloud.Return(ctx, back)
		c.log.Info("unexpected machines returned", "machines", back, "err", err)
	}
}

// unknownInLists is in how many lists an unrecorded machine must appear.
const unknownInLists = 2
