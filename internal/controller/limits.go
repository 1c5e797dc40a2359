package controller

import (
	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
)

// The state service may lower its limits at any time after an upgrade, without notice. New records
// and transactions keep to the tighter of the present and the next limits from the start. Records
// that the first version wrote and reads stay as they are until no controller of that version is
// left. The format records of all controllers show that, and once they do it stays true.

// writeLimits returns the limits on the size of records and transactions that writes keep to.
func (c *Controller) writeLimits() config.State { return c.cfg.Params.State.LowestLimits() }

// placementsPerRecord returns how many placements a placement record holds at most.
func (c *Controller) placementsPerRecord() int {
	return scheduler.PlacementsPerRecord(c.cfg.Params.State.ValueKB)
}

// clusterRates returns the limits whose rates of requests and changes per second all controllers
// together may use: the present ones as long as the first version shares them out as well, and then
// the tighter ones, whether or not they are in force yet. Nothing needs the difference,
// while each change beyond the rate in force is refused and repeated.
func (c *Controller) clusterRates() config.State {
	if c.allUpgraded() {
		return c.writeLimits()
	}
	return c.cfg.Params.State
}

// sizedRangesRequired reports whether all ranges of tasks are to be recorded with their size: no
// controller of the first version is left, and the next limit on the size of records is lower than
// the present one, from which the first version's format derives the size of ranges.
func (c *Controller) sizedRangesRequired() bool {
	return c.writeLimits().MaxValueBytes() < c.cfg.Params.State.MaxValueBytes() && c.allUpgraded()
}

// allUpgraded reports whether every controller in the settings has recorded a format with sized
// ranges, so that no controller of the first version is left.
func (c *Controller) allUpgraded() bool {
	for _, l := range c.cfg.Labels() {
		if c.cluster.Format(l) < record.SizedRanges {
			return false
		}
	}
	return true
}
