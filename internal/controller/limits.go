package controller

import (
	"bramblespur/internal/config"
	"bramblespur/internal/record"
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
