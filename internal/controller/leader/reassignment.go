package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"bramblespur/internal/fleet"
)

const (
	// PreferredOwnerStable is how long a returned controller must answer before a shard is
	// transferred back to it as the preferred owner. For the leader itself it is how long it must
	// have led.
	PreferredOwnerStable = 20 * time.Second
	// stepDownAfter is how long a controller must have led before it steps down because it reaches
	// no other controller.
	stepDownAfter = 4 * time.Second
)

// Cluster holds the inputs to the reassignment of shards.
type Cluster struct {
	Self string // this controller's label
	// Isolated reports that this controller reaches neither peers nor workers.
	Isolated bool
	// Behind reports that this controller is behind with its work.
	Behind bool
	// LeaderFor is how long this controller has led.
	LeaderFor time.Duration
	Owners    map[int]string // labels of the recorded owners, by shard
	// PreferredOwner returns the label of a shard's preferred owner.
	PreferredOwner func(shard int) string
	Members        map[string]Member // the live members, by label
	Loads          map[string]Load   // the last known loads, by label
	Now            time.Time
}

// Member is the state of a controller, which may be the leader itself, according to its member
// record and its answers to this controller.
type Member struct {
	Registered          bool          // its member record names an incarnation
	Isolated            bool          // it reaches neither peers nor workers
	WithoutPeers        bool          // it reaches no other controller
	Overloaded          bool          // it does not keep up with its work
	Reachable           bool          // it answers this controller
	ReachesStateService bool          // it reaches the state service
	AnsweringFor        time.Duration // how long it has answered this controller without a failure
}

// Reason is the reason why a shard changes its owner.
type Reason int

// Reasons of a reassignment.
const (
	// OwnerIsolated means that no worker reaches the owner, so that another controller acquires
	// the shard.
	OwnerIsolated Reason = iota + 1
	// OwnerOverloaded means that the owner does not keep up, and a controller with room acquires
	// the shard.
	OwnerOverloaded
	// PreferredOwnerBack means that the preferred owner is stable again, and the owner transfers
	// the shard back to it.
	PreferredOwnerBack
)

// String returns the text of the reason for the log.
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

// Reassignment is the decision that a shard changes its owner.
type Reassignment struct {
	Shard    int
	From, To string // labels of the present and the next owner
	Reason   Reason
}

// reachable returns the labels of the controllers that could acquire a shard, including the leader.
func (c *Cluster) reachable() []string {
	labels := []string{c.Self}
	for label, m := range c.Members {
		if label != c.Self && !m.Isolated && m.Reachable {
			labels = append(labels, label)
		}
	}
	return labels
}

// othersReachEachOther reports whether at least two other controllers reach peers. Then one of them
// leads better than a leader that reaches none. If no controller reaches another, as when
// connections between controllers are refused, none would lead better.
func (c *Cluster) othersReachEachOther() bool {
	n := 0
	for label, m := range c.Members {
		if label != c.Self && !m.WithoutPeers {
			n++
		}
	}
	return n > 1
}

// shouldStepDown reports whether another controller would lead better than this one, since this
// one is cut off from the others, or is behind with its work while a controller that it reaches has
// room.
func (c *Cluster) shouldStepDown() bool {
	reachable := c.reachable()
	if c.Isolated || (len(reachable) == 1 && c.othersReachEachOther() && c.LeaderFor > stepDownAfter) {
		return true
	}
	return c.Behind && slices.ContainsFunc(reachable, func(label string) bool { return c.Loads[label].hasRoom(c.Now) })
}

// reassign decides which shards change their owners, and returns these in the order of their
// numbers. The shards of isolated owners go to reachable controllers, a shard of an overloaded owner
// goes to a controller with room, and shards whose preferred owner is stable go back to it. An owner
// that only the leader cannot reach keeps its shards: between two partitioned zones nothing would be
// gained.
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

// stable reports whether a shard may be transferred back to this preferred owner. A controller that
// answers but is refused by the state service could not acquire the shard: another one would, and
// the shard would be transferred back and forth. A controller that does not keep up would lose the
// shard again.
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

// transfers holds the shards that other controllers are asked to acquire or transfer back, by label.
type transfers struct{ acquire, back map[string][]int }

// reassignShards decides which shards change their owners. It begins the acquisitions and transfers
// of this controller and returns those of the others. It returns false if this controller should
// step down.
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

// clusterLocked returns the inputs to the reassignment of shards, with all loads.
func (l *Leader) clusterLocked(t *term, now time.Time) Cluster {
	cluster := l.host.ClusterLocked(now)
	cluster.LeaderFor = now.Sub(t.started)
	cluster.Loads = l.Loads.all()
	cluster.Loads[l.cfg.Label] = l.host.LoadLocked(now)
	return cluster
}
