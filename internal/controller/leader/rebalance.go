package leader

import (
	"maps"
	"slices"
	"time"

	"bramblespur/internal/fleet"
)

const (
	// rebalancePause is how long the leader waits after one shard for what that changes
	// before it picks the next.
	rebalancePause = 10 * time.Second
	// maxShardsAfterRebalance is how many shards a controller may own with one taken from
	// an overloaded owner: else one after the other would be overloaded.
	maxShardsAfterRebalance = 2
)

// rebalancer has a controller with room acquire a shard of an overloaded owner. The shard
// goes back only after its preferred owner has kept up for a while, so that it changes
// hands once for as long as the cause lasts.
type rebalancer struct {
	last   Reassignment
	lastAt time.Time
}

// choose picks a shard of an overloaded owner and who acquires it, or goes on with what it
// picked last until that shows. It returns false if there is nothing to do or nobody has
// room.
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
		// Of several shards those that the owner took from others go first.
		acquiredFromOther := c.PreferredOwner(shard) != owner
		if c.Members[owner].Overloaded && (acquiredFromOther || owned[owner] == 1) {
			r.last = Reassignment{shard, owner, fleet.ChooseOwner(withRoom, c.Owners, ""), OwnerOverloaded}
			r.lastAt = c.Now
			return r.last, true
		}
	}
	return Reassignment{}, false
}
