package leader

import (
	"slices"
	"testing"
	"time"
)

// rebalanceCase is what a leader c-0 knows: who owns each shard, and who is overloaded or
// has room.
type rebalanceCase struct {
	owners     [3]string // of the shards of c-0, c-1 and c-2
	overloaded string
	room       []string
	shard      int
	to         string // "": nobody
}

// A shard goes from an overloaded controller to one that has room, and not to one that
// carries another's already: shards would overload one after the other.
func TestRebalanceOfAnOverloadedOwner(t *testing.T) {
	preferred := [3]string{"c-0", "c-1", "c-2"}
	for name, r := range map[string]rebalanceCase{
		"nobody is overloaded":            {owners: preferred, room: []string{"c-0", "c-1", "c-2"}},
		"one with room":                   {owners: preferred, overloaded: "c-1", room: []string{"c-2"}, shard: 1, to: "c-2"},
		"the leader has room":             {owners: preferred, overloaded: "c-1", room: []string{"c-0"}, shard: 1, to: "c-0"},
		"nobody has room":                 {owners: preferred, overloaded: "c-1"},
		"it carries another's already":    {owners: [3]string{"c-0", "c-1", "c-0"}, overloaded: "c-1", room: []string{"c-0"}},
		"first what it took from another": {owners: [3]string{"c-1", "c-1", "c-2"}, overloaded: "c-1", room: []string{"c-2"}, shard: 0, to: "c-2"},
		"the one with the fewest shards":  {owners: [3]string{"c-0", "c-1", "c-1"}, overloaded: "c-1", room: []string{"c-0", "c-2"}, shard: 2, to: "c-2"},
		"an owner that is no member":      {owners: [3]string{"c-0", "c-9", "c-2"}, overloaded: "c-9", room: []string{"c-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := overloadedCluster(&r, time.Now())
			var b rebalancer
			got, some := b.choose(&c, preferred[:])
			if some != (r.to != "") || got.To != r.to || (some && (got.Shard != r.shard || got.Reason != OwnerOverloaded)) {
				t.Fatalf("shard %d to %q, want %d to %q", got.Shard, got.To, r.shard, r.to)
			}
			if r.to == "" {
				return
			}
			// It is asked for again until it shows, and nothing else is picked meanwhile.
			c.Now = c.Now.Add(time.Second)
			if again, some := b.choose(&c, preferred[:]); again != got || !some {
				t.Errorf("then %+v, first %+v", again, got)
			}
			c.Owners[got.Shard] = got.To
			c.Now = c.Now.Add(time.Second)
			if more, some := b.choose(&c, preferred[:]); some {
				t.Errorf("shard %d to %s right after", more.Shard, more.To)
			}
		})
	}
}

// overloadedCluster is the cluster of a case as the leader c-0 sees it.
func overloadedCluster(r *rebalanceCase, now time.Time) Cluster {
	c := healthyCluster(now)
	for label, m := range c.Members {
		m.Overloaded = label == r.overloaded
		c.Members[label] = m
		c.Loads[label] = Load{At: now, Recovering: true}
	}
	for _, label := range r.room {
		c.Loads[label] = Load{At: now, HasRoom: true}
	}
	for shard, owner := range r.owners {
		c.Owners[shard] = owner
	}
	return c
}

// healthyCluster is three controllers, each with its own shard, of which c-0 has led for
// long.
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

// change alters one member.
func (c *Cluster) change(label string, change func(*Member)) {
	m := c.Members[label]
	change(&m)
	c.Members[label] = m
}

// Shards of isolated owners go to others, and those away from their preferred owner go
// back once that is stable.
func TestReassignment(t *testing.T) {
	away := func(c *Cluster) { c.Owners[1] = "c-2" }
	back := []Reassignment{{1, "c-2", "c-1", PreferredOwnerBack}}
	for name, x := range map[string]struct {
		change func(*Cluster)
		want   []Reassignment
	}{
		"each has its own": {func(*Cluster) {}, nil},
		"an isolated owner": {func(c *Cluster) { c.change("c-1", func(m *Member) { m.Isolated = true }) },
			[]Reassignment{{1, "c-1", "c-0", OwnerIsolated}}},
		"one that the leader alone does not reach keeps its shard": {
			func(c *Cluster) { c.change("c-1", func(m *Member) { m.Reachable = false }) }, nil},
		"an owner that is no member is left to the failover": {func(c *Cluster) { delete(c.Members, "c-1") }, nil},
		"the preferred owner is stable":                      {away, back},
		"it answers for too short a time": {func(c *Cluster) {
			away(c)
			c.change("c-1", func(m *Member) { m.AnsweringFor = PreferredOwnerStable - 1 })
		}, nil},
		"it answers no more":           {func(c *Cluster) { away(c); c.change("c-1", func(m *Member) { m.Reachable = false }) }, nil},
		"the state service refuses it": {func(c *Cluster) { away(c); c.change("c-1", func(m *Member) { m.ReachesStateService = false }) }, nil},
		"it is isolated":               {func(c *Cluster) { away(c); c.change("c-1", func(m *Member) { m.Isolated = true }) }, nil},
		"it is no member":              {func(c *Cluster) { away(c); delete(c.Members, "c-1") }, nil},
		"it does not keep up":          {func(c *Cluster) { away(c); c.Loads["c-1"] = Load{At: c.Now, Recovering: true} }, nil},
		"its load is not known":        {func(c *Cluster) { away(c); c.Loads["c-1"] = Load{At: c.Now.Add(-loadValidFor)} }, nil},
		"the leader is the preferred owner": {func(c *Cluster) { c.Owners[0] = "c-1" },
			[]Reassignment{{0, "c-1", "c-0", PreferredOwnerBack}}},
		"the leader is it, but new": {func(c *Cluster) { c.Owners[0] = "c-1"; c.LeaderFor = PreferredOwnerStable }, nil},
		"the leader gives one back": {func(c *Cluster) { c.Owners[1] = "c-0" }, []Reassignment{{1, "c-0", "c-1", PreferredOwnerBack}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := healthyCluster(time.Now())
			x.change(&c)
			if got := c.reassign(new(rebalancer)); !slices.Equal(got, x.want) {
				t.Errorf("reassigned %+v, want %+v", got, x.want)
			}
		})
	}
}

// A leader steps down only where another one would lead better.
func TestStepDown(t *testing.T) {
	unreachable := func(c *Cluster) {
		c.change("c-1", func(m *Member) { m.Reachable = false })
		c.change("c-2", func(m *Member) { m.Reachable = false })
	}
	for name, x := range map[string]struct {
		change func(*Cluster)
		want   bool
	}{
		"all is well":                    {func(*Cluster) {}, false},
		"it is isolated":                 {func(c *Cluster) { c.Isolated = true }, true},
		"others hear each other":         {unreachable, true},
		"it leads for a short time only": {func(c *Cluster) { unreachable(c); c.LeaderFor = stepDownAfter }, false},
		"everybody is alone": {func(c *Cluster) {
			unreachable(c)
			c.change("c-1", func(m *Member) { m.WithoutPeers = true })
			c.change("c-2", func(m *Member) { m.WithoutPeers = true })
		}, false},
		"it is behind, another has room": {func(c *Cluster) { c.Behind = true; c.Loads["c-1"] = Load{At: c.Now, HasRoom: true} }, true},
		"it is behind, nobody has room":  {func(c *Cluster) { c.Behind = true }, false},
		"one had room a while ago":       {func(c *Cluster) { c.Behind = true; c.Loads["c-1"] = Load{At: c.Now.Add(-loadValidFor), HasRoom: true} }, false},
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
