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
	if c.firstGone() {
		return c.limits()
	}
	return c.cfg.Params.State
}

// allStated reports whether ranges of tasks are to state their size: the first
// version is gone, and smaller records are to come, for which its format does not
// serve. The lock is held.
func (c *Controller) allStated() bool {
	return c.limits().Bytes() < c.cfg.Params.State.Bytes() && c.firstGone()
}

// firstGone reports whether every controller of the settings has given its word
// on its format, and so none of the first version is left. The lock is held.
func (c *Controller) firstGone() bool {
	for _, l := range c.cfg.Labels() {
		if c.formats[l].N < record.Stated {
			return false
		}
	}
	return true
}

// formatLoop gives this controller's word on its format, once for ever.
//
// Upgrade: the first version has no such record, and a process that dies before
// its turn comes back as that version; so it must not be given by anybody else.
// It may go when no deployment has plain slots left.
func (c *Controller) formatLoop(ctx context.Context) {
	key := record.FormatKey(c.cfg.Label)
	value := record.Encode(record.Format{N: record.Stated})
	for ctx.Err() == nil {
		c.mu.Lock()
		known, viewed := c.formats[c.cfg.Label].N >= record.Stated, !c.viewAt.IsZero()
		c.mu.Unlock()
		if known {
			return
		}
		if viewed {
			// Without conditions: it says the same each time.
			rev, err := c.store.Txn(ctx, statestore.Urgent("member"), wire.Txn{Then: []wire.Op{{Put: key, Value: value}}})
			if err == nil {
				c.changeCluster(wire.Change{Put: key, Value: value, Version: rev}, time.Now())
				return
			}
			c.log.Debug("format", "err", err)
		}
		sleep(ctx, jitter(300*time.Millisecond))
	}
}
