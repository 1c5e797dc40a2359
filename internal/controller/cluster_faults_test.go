package controller

import (
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// inZone returns a predicate that matches the names of all controllers and machines of a zone.
func (k *cluster) inZone(zone string) func(string) bool {
	return func(name string) bool { return k.zoneOf[name] == zone || k.world.Zone(name) == zone }
}

// not returns a predicate that matches all names that group does not match.
func not(group func(string) bool) func(string) bool {
	return func(name string) bool { return !group(name) }
}

// isController reports whether a name is the label of a controller.
func (k *cluster) isController(name string) bool { return k.zoneOf[name] != "" }

// isMachine reports whether a name is that of a machine.
func (k *cluster) isMachine(name string) bool { return k.world.Zone(name) != "" }

// isolateZone partitions a zone from everything else, the state service included. Messages across
// the partition are lost, or with hold are delivered when it ends. heal ends it.
func (k *cluster) isolateZone(zone string, hold bool) (heal func()) {
	inside := k.inZone(zone)
	endCut := k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(inside, not(inside)), Hold: hold})
	for _, l := range k.labels {
		if k.zoneOf[l] == zone {
			k.world.State.Partition(l, true)
		}
	}
	return func() {
		for _, l := range k.labels {
			k.world.State.Partition(l, false)
		}
		endCut()
	}
}

// isolate partitions a controller from the state service and the other controllers, but not from
// workers and users. heal ends the partition.
func (k *cluster) isolate(label string) (heal func()) {
	endCut := k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(testkit.Named(label), k.isController)})
	k.world.State.Partition(label, true)
	return func() {
		k.world.State.Partition(label, false)
		endCut()
	}
}

// blockCallsFrom keeps machines from opening connections to controllers until heal. Direct
// commands still reach them, and are answered: an answer returns on the connection of its request.
func (k *cluster) blockCallsFrom(machines func(string) bool) (heal func()) {
	return k.world.Mute(machines)
}

// dropMessagesTo drops all messages of controllers to machines, answers and commands, until heal.
// Heartbeats still arrive.
func (k *cluster) dropMessagesTo(machines func(string) bool) (heal func()) {
	return k.world.Net.AddPartition(&testkit.Partition{Match: func(from, to string) bool { return k.isController(from) && machines(to) }})
}

// heartbeats returns copies of the latest heartbeats of all machines, the oldest of each machine
// first.
func (k *cluster) heartbeats() []wire.Heartbeat {
	var out []wire.Heartbeat
	for _, m := range k.world.Machines() {
		out = append(out, m.RecentHeartbeats()...)
	}
	return out
}

// replayHeartbeats delivers copies of heartbeats to every controller that runs.
func (k *cluster) replayHeartbeats(copies []wire.Heartbeat) {
	for _, l := range k.labels {
		if k.process(l) == nil {
			continue
		}
		for _, r := range copies {
			k.world.Go(func() { k.world.Replay(l, r) })
		}
	}
}

// awaitNewOwner waits until a controller other than before owns and holds the shard of a team, and
// returns its label.
func (k *cluster) awaitNewOwner(team, before string) string {
	k.t.Helper()
	k.await(40*time.Second, "a new owner of the shard of team "+team, func() bool {
		owner := k.ownerOfTeam(team)
		p := k.process(owner)
		if p == nil || owner == before {
			return false
		}
		p.c.mu.Lock()
		defer p.c.mu.Unlock()
		return p.c.shards.GetLocked(k.shardOfTeam(team)) != nil
	})
	return k.ownerOfTeam(team)
}

// matchAgents returns a predicate that matches the names of the given machines.
func matchAgents(ms []*testkit.Agent) func(string) bool {
	var names []string
	for _, m := range ms {
		names = append(names, m.ID)
	}
	return testkit.Named(names...)
}
