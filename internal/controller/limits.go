package controller

import (
	"bramblespur/internal/config"
	"bramblespur/internal/record"
)

// The state service may lower its limits at some moment after an upgrade, without
// notice. What is written keeps to the tighter of both limits from the start, as
// far as it is new; what the first version wrote and reads is left as it is until
// that version is gone, which the records of all controllers' formats tell for ever.

// writeLimits returns those to write by: how large a record and a transaction may be.
func (c *Controller) writeLimits() config.State { return c.cfg.Params.State.Tight() }

// clusterRates returns the requests and changes a second that all controllers together may
// use: those of now as long as the first version shares them out, too, and then the
// tighter ones, whether they are in force or not. Nothing needs the difference,
// while each change beyond the rate is refused and comes again.
func (c *Controller) clusterRates() config.State {
	if c.allUpgraded() {
		return c.writeLimits()
	}
	return c.cfg.Params.State
}

// sizedRangesRequired reports whether ranges of tasks are to be recorded with their size:
// the first version is gone, and smaller records are to come, for which its format does not
// serve.
func (c *Controller) sizedRangesRequired() bool {
	return c.writeLimits().Bytes() < c.cfg.Params.State.Bytes() && c.allUpgraded()
}

// allUpgraded reports whether the format of every controller of the settings is recorded,
// and so none of the first version is left.
func (c *Controller) allUpgraded() bool {
	for _, l := range c.cfg.Labels() {
		if c.cluster.Format(l) < record.SizedRanges {
			return false
		}
	}
	return true
}
