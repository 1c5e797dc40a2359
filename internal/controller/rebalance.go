package controller

import (
	"time"

	"bramblespur/internal/controller/membership"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
)

// The leader relieves an overloaded controller: another one with room claims one of
// its parts. The part goes home only after its home has kept up for a while, so that it
// changes hands once for as long as the cause lasts.

const (
	// rebalancePause is how long the leader waits after one part for what that changes
	// before it picks the next.
	rebalancePause = 10 * time.Second
	// maxShardsAfterRebalance is how many parts a controller may own with one taken for relief:
	// else one after the other would be overloaded.
	maxShardsAfterRebalance = 2
)

// peerLoad is what a peer told the leader of its pressure.
type peerLoad struct {
	at                  time.Time
	recovering, hasRoom bool
}

// ownLoad is this controller's own. The lock is held.
func (c *Controller) ownLoad(now time.Time) peerLoad {
	p := &c.pressure
	return peerLoad{now, !p.keepsUp(now), p.hasRoom(now)}
}

// loadOf is what is known of a controller's load. The lock is held.
func (c *Controller) loadOf(label string, now time.Time) peerLoad {
	if label == c.cfg.Label {
		return c.ownLoad(now)
	}
	return c.peerLoads[label]
}

// recordPeerLoad takes in what a peer's answer tells of its load. The lock is held.
func (c *Controller) recordPeerLoad(label string, r *peer.SyncReply) {
	c.peerLoads[label] = peerLoad{time.Now(), r.Recovering, r.HasRoom}
}

// keepsUp reports whether a controller may have its parts back, as far as the leader
// has lately been told. The lock is held.
func (c *Controller) keepsUp(label string, now time.Time) bool {
	l := c.loadOf(label, now)
	return now.Sub(l.at) < membership.PeerFreshFor && !l.recovering
}

// overloaded reports whether a controller's parts are better off elsewhere, as its
// member record says: it hardly comes to answer the leader in time. The lock is held.
func (c *Controller) overloaded(label string) bool {
	return c.members[label].Overloaded
}

// shardRebalance is a part that the leader has another controller take from its owner.
type shardRebalance struct {
	part     int
	from, to string
	at       time.Time
}

// rebalance picks a part of an overloaded owner and who claims it, or goes on with what
// it picked last until that shows. It returns no taker if there is nothing to do or
// nobody has room. The lock is held.
func (c *Controller) rebalance(reach []string, owners map[int]string, now time.Time) shardRebalance {
	l := c.leadership
	if now.Sub(l.lastRebalance.at) < rebalancePause {
		if owners[l.lastRebalance.part] != l.lastRebalance.from {
			return shardRebalance{} // done
		}
		return l.lastRebalance
	}
	parts := map[string]int{}
	for _, owner := range owners {
		parts[owner]++
	}
	var takers []string
	for _, label := range reach {
		load := c.loadOf(label, now)
		if now.Sub(load.at) < membership.PeerFreshFor && load.hasRoom && parts[label] < maxShardsAfterRebalance {
			takers = append(takers, label)
		}
	}
	if len(takers) == 0 {
		return shardRebalance{}
	}
	for part, owner := range owners {
		// Of several parts those that it took from others go first.
		guest := c.preferredOwner(part) != owner
		if c.overloaded(owner) && (guest || parts[owner] == 1) {
			l.lastRebalance = shardRebalance{part, owner, fleet.ChooseOwner(takers, owners, ""), now}
			return l.lastRebalance
		}
	}
	return shardRebalance{}
}

// someoneHasRoom reports whether a controller that can be reached could lead instead
// of this one. The lock is held.
func (c *Controller) someoneHasRoom(reach []string, now time.Time) bool {
	for _, label := range reach {
		if load := c.loadOf(label, now); now.Sub(load.at) < membership.PeerFreshFor && load.hasRoom {
			return true
		}
	}
	return false
}
