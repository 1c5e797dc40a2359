package leader

import (
	"maps"
	"slices"
	"time"

	"bramblespur/internal/fleet"
)

const (
	// rebalancePause is how long the leader waits for the effect of a rebalanced shard before it
	// chooses the next one.
	rebalancePause = 10 * time.Second
	// maxShardsAfterRebalance is how many shards a controller may own after it acquired one of an
	// overloaded owner. With more, one controller after the other would be overloaded.
	maxShardsAfterRebalance = 2
)

// rebalancer chooses a shard of an overloaded owner for a controller with room to acquire. The
// shard goes back only after its preferred owner has kept up for a while, so that it changes its
// owner only once while the cause of the overload lasts.
type rebalancer struct {
	last   Reassignment // the last choice
	lastAt time.Time    // when it was made
}

// choose returns the next shard of an overloaded owner to reassign, with its next owner. During
// rebalancePause it returns the last choice until the view shows its effect. It returns false if
// there is nothing to reassign or no reachable controller has room.
func (r *rebalancer) choose(c *Cluster, reachable []string) (Reassignment, bool) {
	if c.Now.Sub(r.lastAt) < rebalancePause {
		pending := c.Owners[r.last.Shard] == r.last.From
		return r.last, pending
	}
	owned := map[string]int{}
	for _, owner := range c.Owners {
		owned[owner]++
	}
	withRoom := slices.DeleteFunc(slices.Clone(reachable), func(label string) bool {
		return !c.Loads[label].hasRoom(c.Now) || owned[label] >= maxShardsAfterRebalance
	})
	if len(withRoom) == 0 {
		return Reassignment{}, false
	}
	for _, shard := range slices.Sorted(maps.Keys(c.Owners)) {
		owner := c.Owners[shard]
		// If the owner has several shards, those that it acquired from other owners go first.
		acquiredFromOther := c.PreferredOwner(shard) != owner
		if c.Members[owner].Overloaded && (acquiredFromOther || owned[owner] == 1) {
			r.last = Reassignment{shard, owner, fleet.ChooseOwner(withRoom, c.Owners, ""), OwnerOverloaded}
			r.lastAt = c.Now
			return r.last, true
		}
	}
	return Reassignment{}, false
}
