package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"bramblespur/internal/fleet"
)

const (
	// PreferredOwnerStable is how long a returned controller answers, or a new leader
	// leads, before a shard goes back to its preferred owner.
	PreferredOwnerStable = 20 * time.Second
	// stepDownAfter is how long a leader that reaches nobody keeps its office.
	stepDownAfter = 4 * time.Second
)

// Cluster is what the reassignment of shards depends on.
type Cluster struct {
	Self string
	// Isolated says that this controller reaches neither peers nor workers.
	Isolated bool
	// Behind says that this controller is behind with its work.
	Behind bool
	// LeaderFor is how long this controller has led.
	LeaderFor      time.Duration
	Owners         map[int]string // by shard, as recorded
	PreferredOwner func(shard int) string
	Members        map[string]Member // those alive
	Loads          map[string]Load
	Now            time.Time
}

// Member is another controller, or the leader itself, as its member record and its answers
// show it.
type Member struct {
	Registered          bool // its record names an incarnation
	Isolated            bool // it reaches neither peers nor workers
	WithoutPeers        bool
	Overloaded          bool
	Reachable           bool          // it answers this controller
	ReachesStateService bool          // it reaches the state service
	AnsweringFor        time.Duration // without a failure
}

// Reason says why a shard changes its owner.
type Reason int

// Reasons of a reassignment.
const (
	// OwnerIsolated: no worker reaches the owner, so another one acquires the shard.
	OwnerIsolated Reason = iota + 1
	// OwnerOverloaded: the owner does not keep up, and one with room acquires the shard.
	OwnerOverloaded
	// PreferredOwnerBack: the preferred owner is stable again, and the owner gives the
	// shard back to it.
	PreferredOwnerBack
)

// String returns the reason for the log.
func (r Reason) String() string {
	switch r {
	case OwnerIsolated:
		return "owner isolated"
	case OwnerOverloaded:
		return "owner overloaded"
	case PreferredOwnerBack:
		return "preferred owner back"
	}
	return "none"
}

// Reassignment is a shard that is to change its owner.
type Reassignment struct {
	Shard    int
	From, To string
	Reason   Reason
}

// reachable returns the controllers that could take a shard, the leader among them.
func (c *Cluster) reachable() []string {
	labels := []string{c.Self}
	for label, m := range c.Members {
		if label != c.Self && !m.Isolated && m.Reachable {
			labels = append(labels, label)
		}
	}
	return labels
}

// othersReachEachOther reports whether other controllers hear each other: then one of
// them leads better than a leader that hears none. When all are alone, as when
// connections between controllers are refused, nobody would.
func (c *Cluster) othersReachEachOther() bool {
	n := 0
	for label, m := range c.Members {
		if label != c.Self && !m.WithoutPeers {
			n++
		}
	}
	return n > 1
}

// shouldStepDown reports whether another controller leads better than this one: it is cut
// off from the others, or behind with its work while one that it reaches has room.
func (c *Cluster) shouldStepDown() bool {
	reachable := c.reachable()
	if c.Isolated || (len(reachable) == 1 && c.othersReachEachOther() && c.LeaderFor > stepDownAfter) {
		return true
	}
	return c.Behind && slices.ContainsFunc(reachable, func(label string) bool { return c.Loads[label].hasRoom(c.Now) })
}

// reassign decides which shards change their owners, in their order: those of isolated
// owners go to somebody who hears, those of overloaded ones to somebody who keeps up, and
// those away from a stable preferred owner go back. An owner that only the leader can't
// reach keeps its shards: between two partitioned zones there is nothing to gain.
func (c *Cluster) reassign(r *rebalancer) []Reassignment {
	reachable := c.reachable()
	rebalanced, found := r.choose(c, reachable)
	var out []Reassignment
	for _, shard := range slices.Sorted(maps.Keys(c.Owners)) {
		owner := c.Owners[shard]
		member, alive := c.Members[owner]
		switch {
		case alive && member.Isolated && owner != c.Self:
			out = append(out, Reassignment{shard, owner, fleet.ChooseOwner(reachable, c.Owners, ""), OwnerIsolated})
		case found && rebalanced.Shard == shard:
			out = append(out, rebalanced)
		case alive && owner != c.PreferredOwner(shard) && c.stable(c.PreferredOwner(shard)):
			out = append(out, Reassignment{shard, owner, c.PreferredOwner(shard), PreferredOwnerBack})
		}
	}
	return out
}

// stable reports whether a preferred owner may have its shard back. One that answers but is
// refused by the state service could not acquire it, and another would, for ever in turn.
// One that does not keep up would lose it again.
func (c *Cluster) stable(label string) bool {
	if !c.Loads[label].keepsUp(c.Now) {
		return false
	}
	if label == c.Self {
		return c.LeaderFor > PreferredOwnerStable
	}
	m := c.Members[label]
	return m.AnsweringFor >= PreferredOwnerStable && m.Reachable && m.ReachesStateService && m.Registered && !m.Isolated
}

// transfers is what other controllers are asked to do with shards, by label.
type transfers struct{ acquire, back map[string][]int }

// reassignShards decides which shards change their owners, begins what concerns this
// controller, and returns what the others are to do. It returns false if this controller
// should not lead any more.
func (l *Leader) reassignShards(ctx context.Context, t *term, now time.Time) (transfers, bool) {
	l.host.Lock()
	defer l.host.Unlock()
	cluster := l.clusterLocked(t, now)
	if cluster.shouldStepDown() {
		return transfers{}, false
	}
	others := transfers{map[string][]int{}, map[string][]int{}}
	for _, r := range cluster.reassign(&t.rebalancer) {
		switch {
		case r.Reason == PreferredOwnerBack && r.From == l.cfg.Label:
			l.host.TransferBackLocked(ctx, r.Shard)
		case r.Reason == PreferredOwnerBack:
			others.back[r.From] = append(others.back[r.From], r.Shard)
		case r.To == l.cfg.Label:
			l.host.AcquireLocked(ctx, r.Shard)
		default:
			others.acquire[r.To] = append(others.acquire[r.To], r.Shard)
		}
	}
	return others, true
}

func (l *Leader) clusterLocked(t *term, now time.Time) Cluster {
	cluster := l.host.ClusterLocked(now)
	cluster.LeaderFor = now.Sub(t.started)
	cluster.Loads = l.Loads.all()
	cluster.Loads[l.cfg.Label] = l.host.LoadLocked(now)
	return cluster
}
