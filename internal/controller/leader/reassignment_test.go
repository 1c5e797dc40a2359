package leader

import (
	"slices"
	"testing"
	"time"
)

// rebalanceCase describes a cluster led by c-0, and the wanted reassignment.
type rebalanceCase struct {
	owners     [3]string // of the shards of c-0, c-1 and c-2
	overloaded string    // label of the overloaded controller; "" if there is none
	withRoom   []string  // labels of the controllers with room
	shard      int       // the shard to reassign
	to         string    // label of its next owner; "" if no shard is to be reassigned
}

// A shard goes from an overloaded controller to one with room, but not to one that already owns
// another controller's shard: otherwise one controller after the other would be overloaded.
func TestRebalanceOfAnOverloadedOwner(t *testing.T) {
	preferred := [3]string{"c-0", "c-1", "c-2"}
	for name, r := range map[string]rebalanceCase{
		"no controller is overloaded":         {owners: preferred, withRoom: []string{"c-0", "c-1", "c-2"}},
		"one with room":                       {owners: preferred, overloaded: "c-1", withRoom: []string{"c-2"}, shard: 1, to: "c-2"},
		"the leader has room":                 {owners: preferred, overloaded: "c-1", withRoom: []string{"c-0"}, shard: 1, to: "c-0"},
		"no controller has room":              {owners: preferred, overloaded: "c-1"},
		"one with room owns another's shard":  {owners: [3]string{"c-0", "c-1", "c-0"}, overloaded: "c-1", withRoom: []string{"c-0"}},
		"a shard acquired from another first": {owners: [3]string{"c-1", "c-1", "c-2"}, overloaded: "c-1", withRoom: []string{"c-2"}, shard: 0, to: "c-2"},
		"the one with the fewest shards":      {owners: [3]string{"c-0", "c-1", "c-1"}, overloaded: "c-1", withRoom: []string{"c-0", "c-2"}, shard: 2, to: "c-2"},
		"an owner that is no member":          {owners: [3]string{"c-0", "c-9", "c-2"}, overloaded: "c-9", withRoom: []string{"c-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := overloadedCluster(&r, time.Now())
			var b rebalancer
			got, found := b.choose(&c, preferred[:])
			if found != (r.to != "") || got.To != r.to || (found && (got.Shard != r.shard || got.Reason != OwnerOverloaded)) {
				t.Fatalf("shard %d reassigned to %q, want shard %d to %q", got.Shard, got.To, r.shard, r.to)
			}
			if r.to == "" {
				return
			}
			// The same choice is returned until the view shows its effect, and no other one is made in
			// the pause after it.
			c.Now = c.Now.Add(time.Second)
			if again, found := b.choose(&c, preferred[:]); again != got || !found {
				t.Errorf("second choice %+v, want the first one again, %+v", again, got)
			}
			c.Owners[got.Shard] = got.To
			c.Now = c.Now.Add(time.Second)
			if next, found := b.choose(&c, preferred[:]); found {
				t.Errorf("shard %d reassigned to %s within the pause after another", next.Shard, next.To)
			}
		})
	}
}

// overloadedCluster returns the cluster of a case as the leader c-0 sees it.
func overloadedCluster(r *rebalanceCase, now time.Time) Cluster {
	c := healthyCluster(now)
	for label, m := range c.Members {
		m.Overloaded = label == r.overloaded
		c.Members[label] = m
		c.Loads[label] = Load{At: now, Recovering: true}
	}
	for _, label := range r.withRoom {
		c.Loads[label] = Load{At: now, HasRoom: true}
	}
	for shard, owner := range r.owners {
		c.Owners[shard] = owner
	}
	return c
}

// healthyCluster returns a cluster of three controllers that each own the shard that they are the
// preferred owner of. c-0 has led it for an hour.
func healthyCluster(now time.Time) Cluster {
	labels := []string{"c-0", "c-1", "c-2"}
	c := Cluster{Self: "c-0", LeaderFor: time.Hour, Now: now, Owners: map[int]string{}, Members: map[string]Member{}, Loads: map[string]Load{},
		PreferredOwner: func(shard int) string { return labels[shard] }}
	for shard, label := range labels {
		c.Owners[shard] = label
		c.Members[label] = Member{Registered: true, Reachable: true, ReachesStateService: true, AnsweringFor: time.Hour}
		c.Loads[label] = Load{At: now}
	}
	return c
}

// changeMember alters one member.
func (c *Cluster) changeMember(label string, change func(*Member)) {
	m := c.Members[label]
	change(&m)
	c.Members[label] = m
}

// Shards of isolated owners go to other controllers, and shards of other owners go back to their
// preferred owner once that is stable.
func TestReassignment(t *testing.T) {
	away := func(c *Cluster) { c.Owners[1] = "c-2" }
	back := []Reassignment{{1, "c-2", "c-1", PreferredOwnerBack}}
	for name, x := range map[string]struct {
		change func(*Cluster)
		want   []Reassignment
	}{
		"each owns its preferred shard": {func(*Cluster) {}, nil},
		"an isolated owner": {func(c *Cluster) { c.changeMember("c-1", func(m *Member) { m.Isolated = true }) },
			[]Reassignment{{1, "c-1", "c-0", OwnerIsolated}}},
		"one that the leader alone does not reach keeps its shard": {
			func(c *Cluster) { c.changeMember("c-1", func(m *Member) { m.Reachable = false }) }, nil},
		"an owner that is no member is left to the failover": {func(c *Cluster) { delete(c.Members, "c-1") }, nil},
		"the preferred owner is stable":                      {away, back},
		"it has answered for too short a time": {func(c *Cluster) {
			away(c)
			c.changeMember("c-1", func(m *Member) { m.AnsweringFor = PreferredOwnerStable - 1 })
		}, nil},
		"it does not answer any more":       {func(c *Cluster) { away(c); c.changeMember("c-1", func(m *Member) { m.Reachable = false }) }, nil},
		"the state service refuses it":      {func(c *Cluster) { away(c); c.changeMember("c-1", func(m *Member) { m.ReachesStateService = false }) }, nil},
		"it is isolated":                    {func(c *Cluster) { away(c); c.changeMember("c-1", func(m *Member) { m.Isolated = true }) }, nil},
		"it is no member":                   {func(c *Cluster) { away(c); delete(c.Members, "c-1") }, nil},
		"it does not keep up":               {func(c *Cluster) { away(c); c.Loads["c-1"] = Load{At: c.Now, Recovering: true} }, nil},
		"its report of its load is too old": {func(c *Cluster) { away(c); c.Loads["c-1"] = Load{At: c.Now.Add(-loadValidFor)} }, nil},
		"the leader is the preferred owner": {func(c *Cluster) { c.Owners[0] = "c-1" },
			[]Reassignment{{0, "c-1", "c-0", PreferredOwnerBack}}},
		"the leader is the preferred owner, but has led for too short a time": {func(c *Cluster) { c.Owners[0] = "c-1"; c.LeaderFor = PreferredOwnerStable }, nil},
		"the leader transfers a shard back":                                   {func(c *Cluster) { c.Owners[1] = "c-0" }, []Reassignment{{1, "c-0", "c-1", PreferredOwnerBack}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := healthyCluster(time.Now())
			x.change(&c)
			if got := c.reassign(new(rebalancer)); !slices.Equal(got, x.want) {
				t.Errorf("reassignments %+v, want %+v", got, x.want)
			}
		})
	}
}

// A leader steps down only if another controller would lead better.
func TestStepDown(t *testing.T) {
	unreachable := func(c *Cluster) {
		c.changeMember("c-1", func(m *Member) { m.Reachable = false })
		c.changeMember("c-2", func(m *Member) { m.Reachable = false })
	}
	for name, x := range map[string]struct {
		change func(*Cluster)
		want   bool
	}{
		"the cluster is healthy":           {func(*Cluster) {}, false},
		"it is isolated":                   {func(c *Cluster) { c.Isolated = true }, true},
		"the others reach each other":      {unreachable, true},
		"it has led for a short time only": {func(c *Cluster) { unreachable(c); c.LeaderFor = stepDownAfter }, false},
		"no controller reaches another": {func(c *Cluster) {
			unreachable(c)
			c.changeMember("c-1", func(m *Member) { m.WithoutPeers = true })
			c.changeMember("c-2", func(m *Member) { m.WithoutPeers = true })
		}, false},
		"it is behind, another has room":             {func(c *Cluster) { c.Behind = true; c.Loads["c-1"] = Load{At: c.Now, HasRoom: true} }, true},
		"it is behind, no other has room":            {func(c *Cluster) { c.Behind = true }, false},
		"it is behind, another had room a while ago": {func(c *Cluster) { c.Behind = true; c.Loads["c-1"] = Load{At: c.Now.Add(-loadValidFor), HasRoom: true} }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := healthyCluster(time.Now())
			x.change(&c)
			if got := c.shouldStepDown(); got != x.want {
				t.Errorf("steps down: %t, want %t", got, x.want)
			}
		})
	}
}
