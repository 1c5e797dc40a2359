package controller

import (
	"context"
	"fmt"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Where the leader does not reach an owner, as when connections between
// controllers are refused, the owner plans for its own parts and records what
// it would have rented. The leader finds such records in its view and carries
// them out as it would its own: the cloud's calls stay with it alone.

// aloneAfter is how long an owner waits for the leader before it plans itself.
const aloneAfter = 3 * time.Second

// planning is what an owner holds that plans for itself.
type planning struct {
	plan   *fleet.Leader
	wishes map[string]fleet.Rent // recorded, not yet answered
}

// planAlone plans for the parts held here if the leader has not asked for them
// lately.
func (c *Controller) planAlone(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parts) == 0 || c.schedCfg == nil || !c.sure(now) || c.leads(now) || now.Sub(c.syncedAt) < aloneAfter {
		c.own = nil
		return
	}
	if c.own == nil {
		c.own = &planning{plan: fleet.NewLeader(c.fleetConfig()), wishes: map[string]fleet.Rent{}}
		return // the next turn plans: a leader may just have changed
	}
	own := c.own
	for name, r := range own.wishes {
		rec, ok := c.fleet.Rental(name)
		switch {
		case ok && len(rec.IDs) == 0:
			continue // not answered yet
		case ok && len(rec.IDs) == len(r.Parts):
			own.plan.Granted(r)
		default:
			own.plan.Refused(r, now)
		}
		delete(own.wishes, name)
	}
	sums := c.summaries(now)
	c.complete(sums, nil)
	orders, rents := own.plan.Plan(sums, now)
	for _, o := range orders {
		if p := c.parts[o.Part]; p != nil && (o.To == fleet.Back || c.parts[o.To] != nil) {
			p.Order(o, now)
			c.pump(p, now)
		}
	}
	for _, r := range rents {
		p := c.parts[r.Parts[0]]
		if len(own.wishes) >= rentalsAtOnce || p == nil {
			continue
		}
		c.wishes++
		name := fmt.Sprintf("%s-%d-alone-%d", c.cfg.Label, p.Token(), c.wishes)
		rec := record.Rental{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Parts: r.Parts}
		t := wire.Txn{
			If:   []wire.Cond{{Key: record.RentalKey(name)}, {Key: record.PartKey(p.ID()), Version: p.Token()}},
			Then: []wire.Op{{Put: record.RentalKey(name), Value: record.Encode(rec)}},
		}
		own.wishes[name] = r
		c.log.Info("rental wished", "name", name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "number", len(r.Parts))
		go func() {
			rev, err := c.store.Txn(ctx, statestore.Urgent("rental"), t)
			c.mu.Lock()
			defer c.mu.Unlock()
			if err != nil {
				delete(own.wishes, name) // if it was written all the same, the view tells
				return
			}
			c.applied(t, rev, time.Now())
		}()
	}
}

// takeUp carries out rentals that others recorded: an earlier leader, or owners
// that this one does not reach. The lock is held.
func (c *Controller) takeUp(ctx context.Context, l *leading) {
	for name, r := range c.fleet.Unfinished() {
		if _, ok := l.rentals[name]; !ok {
			l.rentals[name] = r.Rec
			go c.finishRental(ctx, l, name, r.Rec, r.Version)
		}
	}
}
