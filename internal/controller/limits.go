package controller

import (
	"context"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// The state service may lower its limits at some moment after an upgrade, without
// notice. What is written keeps to the tighter of both limits from the start, as
// far as it is new; what the first version wrote and reads is left as it is until
// that version is gone, which each controller's word on its format tells for ever.

// limits are those to write by: how large a record and a transaction may be.
func (c *Controller) limits() config.State { return c.cfg.Params.State.Tight() }

// rates are the requests and changes a second that all controllers together may
// use: those of now as long as the first version shares them out, too, and then the
// tighter ones, whether they are in force or not. Nothing needs the difference,
// while each change beyond the rate is refused and comes again. The lock is held.
func (c *Controller) rates() config.State {
	if c.upgraded() {
		return c.limits()
	}
	return c.cfg.Params.State
}

// allStated reports whether ranges of tasks are to state their size: the first
// version is gone, and smaller records are to come, for which its format does not
// serve. The lock is held.
func (c *Controller) allStated() bool {
	return c.limits().Bytes() < c.cfg.Params.State.Bytes() && c.upgraded()
}

// upgraded reports whether every controller of the settings has given its word
// on its format, and so none of the first version is left. The lock is held.
func (c *Controller) upgraded() bool {
	for _, l := range c.cfg.Labels() {
		if c.cluster.Format(l) < record.SizedRanges {
			return false
		}
	}
	return true
}

// formatLoop gives this controller's word on its format, once for ever.
//
// Upgrade: the first version has no such record, and a process that dies before
// its turn comes back as that version; so it counts only what a process of this
// version says itself. It may go when no deployment has plain slots left.
func (c *Controller) formatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		known, viewed := c.cluster.Format(c.cfg.Label) >= record.SizedRanges, c.cluster.Loaded()
		c.mu.Unlock()
		if known || (viewed && c.recordFormat(ctx, c.cfg.Label, c.Format())) {
			return
		}
		sleep(ctx, jitter(300*time.Millisecond))
	}
}

// Format implements peer.Handler.
func (c *Controller) Format() int { return record.SizedRanges }

// recordFormat records the format of a controller. It needs no conditions: it says the
// same each time.
func (c *Controller) recordFormat(ctx context.Context, label string, n int) bool {
	key, value := record.FormatKey(label), record.Encode(record.Format{N: n})
	rev, err := c.store.Txn(ctx, statestore.Urgent("member"), wire.Txn{Then: []wire.Op{{Put: key, Value: value}}})
	if err != nil {
		c.log.Debug("format", "of", label, "err", err)
		return false
	}
	c.changeCluster(wire.Change{Put: key, Value: value, Version: rev}, time.Now())
	return true
}

// askFormats asks controllers whose word is missing and passes it on: one that the
// state service alone refuses can't give it itself, and the limits may fall
// meanwhile. That it answers at all shows that it is of this version.
func (c *Controller) askFormats(ctx context.Context) {
	for label, p := range c.peers {
		c.mu.Lock()
		known := c.cluster.Format(label) >= record.SizedRanges || !c.cluster.Loaded() || !c.sure(time.Now())
		c.mu.Unlock()
		if known {
			continue
		}
		go func() {
			var n int
			// The first version has no such method; one that is silent says nothing.
			if err := p.Call("Format", c.cfg.Label, &n, pingTimeout); err == nil && n >= record.SizedRanges {
				c.recordFormat(ctx, label, n)
			}
		}()
	}
}
