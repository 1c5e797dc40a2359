package controller

import (
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// inZone is the group of all controllers and machines of a zone.
func (k *cluster) inZone(zone string) func(string) bool {
	return func(name string) bool { return k.zoneOf[name] == zone || k.world.Zone(name) == zone }
}

func not(group func(string) bool) func(string) bool {
	return func(name string) bool { return !group(name) }
}

// isController is the group of all isController, machines that of all machines.
func (k *cluster) isController(name string) bool { return k.zoneOf[name] != "" }

func (k *cluster) isMachine(name string) bool { return k.world.Zone(name) != "" }

// isolateZone cuts a zone off from everything and returns what ends that.
func (k *cluster) isolateZone(zone string, hold bool) (heal func()) {
	inside := k.inZone(zone)
	over := k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(inside, not(inside)), Hold: hold})
	for _, l := range k.labels {
		if k.zoneOf[l] == zone {
			k.world.State.Cut(l, true)
		}
	}
	return func() {
		for _, l := range k.labels {
			k.world.State.Cut(l, false)
		}
		over()
	}
}

// isolate cuts a controller off from the state service and the other controllers,
// not from workers and users.
func (k *cluster) isolate(label string) (heal func()) {
	over := k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(testkit.Named(label), k.isController)})
	k.world.State.Cut(label, true)
	return func() {
		k.world.State.Cut(label, false)
		over()
	}
}

// blockCallsFrom keeps machines from opening connections to controllers, while direct
// commands reach them: a call's answer goes where its request came from.
func (k *cluster) blockCallsFrom(ids func(string) bool) (heal func()) { return k.world.Mute(ids) }

// dropMessagesTo loses what is said to machines, answers and commands, while reports arrive.
func (k *cluster) dropMessagesTo(ids func(string) bool) (heal func()) {
	return k.world.Net.Cut(&testkit.Cut{Match: func(from, to string) bool { return k.isController(from) && ids(to) }})
}

// heartbeats returns copies of the latest heartbeats of all machines, the oldest first.
func (k *cluster) heartbeats() []wire.Heartbeat {
	var out []wire.Heartbeat
	for _, m := range k.world.Machines() {
		out = append(out, m.Reports()...)
	}
	return out
}

// replayHeartbeats brings copies of reports to every controller that lives.
func (k *cluster) replayHeartbeats(reports []wire.Heartbeat) {
	for _, l := range k.labels {
		if k.process(l) == nil {
			continue
		}
		for _, r := range reports {
			k.world.Go(func() { k.world.Replay(l, r) })
		}
	}
}

// awaitNewOwner waits until another process than before owns the part of a team and
// holds it.
func (k *cluster) awaitNewOwner(team, before string) string {
	k.t.Helper()
	k.await(40*time.Second, "another owner for "+team, func() bool {
		o := k.ownerOfTeam(team)
		p := k.process(o)
		if p == nil || o == before {
			return false
		}
		p.c.mu.Lock()
		defer p.c.mu.Unlock()
		return p.c.shards.GetLocked(k.shardOfTeam(team)) != nil
	})
	return k.ownerOfTeam(team)
}

func matchAgents(ms []*testkit.Agent) func(string) bool {
	var names []string
	for _, m := range ms {
		names = append(names, m.ID)
	}
	return testkit.Named(names...)
}
