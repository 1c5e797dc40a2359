package scheduler

import (
	"slices"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// answerProbes lets the machines that answer probes do so.
func (r *harness) answerProbes(eff Effects) {
	for _, q := range eff.Probes {
		if slices.Contains(r.probeResponders, q.Machine) {
			rep := r.workers[q.Machine].Report()
			r.shard.ProbeAnswered(q.Machine, &rep, r.clock.Now())
		} else {
			r.shard.ProbeAnswered(q.Machine, nil, r.clock.Now())
		}
	}
}

// advanceWithoutHeartbeats lets a time go by in which only some machines answer probes, and none
// reports. It returns how many probes there were.
func (r *harness) advanceWithoutHeartbeats(d time.Duration, answers ...string) (asked int) {
	r.probeResponders = answers
	for end := r.clock.Now().Add(d); r.clock.Now().Before(end); {
		r.clock.Advance(healthCheckInterval)
		eff := r.shard.Step(r.clock.Now())
		asked += len(eff.Probes)
		r.answerProbes(eff)
		for _, t := range eff.Txns {
			r.shard.Applied(t, r.state.Put("x", 1).Version, r.clock.Now())
		}
	}
	return asked
}

func (r *harness) phase(id string) int { return int(r.shard.inventory.byID[id].Phase) }

// A machine whose report is overdue and that does not answer is lost as soon as
// another of its zone answers; without such a witness it may be the controller
// that is partitioned, and one that answers is alive whatever became of its heartbeats.
func TestOverdueMachinesAreAsked(t *testing.T) {
	for name, x := range map[string]struct {
		answers []string
		lost    []string
	}{
		"one died":           {[]string{"m2", "m3"}, []string{"m1"}},
		"most died together": {[]string{"m3"}, []string{"m1", "m2"}},
		"all out of reach":   {nil, nil},
		"reports go astray":  {[]string{"m1", "m2", "m3"}, nil},
		"only another zone":  {[]string{"n1"}, nil},
	} {
		r := newHarness(t)
		r.cfg.MaxProbes = 8
		for _, id := range []string{"m1", "m2", "m3"} {
			r.addMachine(id, "z1", false)
		}
		r.addMachine("n1", "z2", false)
		r.submit(spec("run-000001", "b", wire.Array, "normal", 8, 1))
		r.heartbeats(4)
		lostAfter := r.shard.cfg.heartbeatTimeout() + 2*time.Second
		if r.advanceWithoutHeartbeats(lostAfter, x.answers...) == 0 {
			t.Errorf("%s: nobody is asked", name)
		}
		for _, id := range []string{"m1", "m2", "m3", "n1"} {
			if (r.phase(id) > 0) != slices.Contains(x.lost, id) {
				t.Errorf("%s: %s is in phase %d", name, id, r.phase(id))
			}
		}
		r.advanceWithoutHeartbeats(2*r.cfg.SilentAfter, x.answers...)
		for _, id := range x.answers {
			if r.phase(id) > 0 {
				t.Errorf("%s: %s is given back though it answers", name, id)
			}
		}
	}
}

// When a zone's cut ends, what its machines did not answer while it lasted does
// not count: the first that answers must not make the others lost.
func TestEndOfPartitionCountsForAllMachines(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		r := newHarness(t)
		r.cfg.MaxProbes = 8
		ids := []string{"m1", "m2", "m3", "m4"}
		for _, id := range ids {
			r.addMachine(id, "z1", false)
			r.applyRecord(r.state.Put(record.ProvisionKey(id), record.Provision{Type: "big", Zone: "z1", Shards: []int{0}, IDs: []string{id},
				Addrs: []string{"10.1.0.1:9000"}, CreatedAt: r.clock.Now().UnixMilli()}))
		}
		r.submit(spec("run-000001", "b", wire.Service, "prod", 8, 1))
		r.heartbeats(4)
		if takeOver {
			r.failOver()
		}
		r.advanceWithoutHeartbeats(2 * r.shard.cfg.heartbeatTimeout())
		r.probeResponders = ids
		r.heartbeat(r.workers["m1"])
		r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, ids...)
		for _, id := range ids {
			if r.phase(id) > 0 {
				t.Errorf("take-over %t: %s is given back", takeOver, id)
			}
		}
	}
}

// A controller that stood still has heard nobody: nobody is lost by that, since
// everybody answers once it goes on, and a probe that it sent before proves
// nothing.
func TestPausedControllerReleasesNoMachine(t *testing.T) {
	r := newHarness(t)
	r.cfg.MaxProbes = 8
	ids := []string{"m1", "m2", "m3"}
	for _, id := range ids {
		r.addMachine(id, "z1", false)
	}
	r.submit(spec("run-000001", "b", wire.Array, "normal", 6, 1))
	r.heartbeats(4)
	r.clock.Advance(r.shard.cfg.heartbeatTimeout())
	eff := r.shard.Step(r.clock.Now())
	if len(eff.Probes) != len(ids) {
		t.Fatalf("asks %v", eff.Probes)
	}
	r.clock.Advance(40 * time.Second) // it stands still
	for _, q := range eff.Probes {
		r.shard.ProbeAnswered(q.Machine, nil, r.clock.Now())
	}
	r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, ids...)
	r.heartbeats(3)
	for _, id := range ids {
		if r.phase(id) > 0 {
			t.Errorf("%s is given back", id)
		}
	}
}

// Only so many machines are asked at a time: each takes a socket.
func TestProbesAreBounded(t *testing.T) {
	r := newHarness(t)
	r.cfg.MaxProbes = 2
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		r.addMachine(id, "z1", false)
	}
	r.heartbeats(2)
	r.clock.Advance(r.shard.cfg.heartbeatTimeout())
	for range 3 {
		if eff := r.shard.Step(r.clock.Now()); len(eff.Probes) > 2 || r.shard.probes.inFlight > 2 {
			t.Fatalf("asks %v at once", eff.Probes)
		}
		r.clock.Advance(healthCheckInterval)
	}
}

// After a failover the machines whose addresses are recorded are asked, and
// brought the new token, before any of them has reported: one that answers takes
// work at once, one that doesn't while its zone does is lost without the patience
// that a worker looking for its new owner gets.
func TestFailoverProbesMachines(t *testing.T) {
	r := newHarness(t)
	r.cfg.MaxProbes = 8
	w1 := r.addMachine("m1", "z1", false)
	r.addMachine("m2", "z1", false)
	for _, id := range []string{"m1", "m2"} {
		r.applyRecord(r.state.Put(record.ProvisionKey(id), record.Provision{Type: "big", Zone: "z1", Shards: []int{0}, IDs: []string{id},
			Addrs: []string{"10.1.0.1:9000"}, CreatedAt: r.clock.Now().UnixMilli()}))
	}
	r.submit(spec("run-000001", "b", wire.Service, "prod", 3, 1))
	r.heartbeats(4)
	r.failOver()
	if n := r.advanceWithoutHeartbeats(healthCheckInterval, "m1"); n != 2 {
		t.Fatalf("%d machines asked, want 2", n)
	}
	now := r.clock.Now()
	eff := r.shard.Step(now)
	if len(eff.DirectCommands) != 1 || eff.DirectCommands[0].Machine != "m1" || len(eff.DirectCommands[0].Orders.Commands) != 0 {
		t.Fatalf("sends %+v", eff.DirectCommands)
	}
	w1.Obey(wire.Orders{Token: eff.DirectCommands[0].Orders.Token})
	rep := w1.Report()
	r.shard.Heartbeat(&rep, true, now)
	if m := r.shard.inventory.byID["m1"]; !m.contact.fenced || !r.shard.cfg.usable(m, now) {
		t.Fatal("asked and told, but takes no work")
	}
	r.advanceWithoutHeartbeats(r.shard.cfg.heartbeatTimeout()+time.Second, "m1")
	if r.phase("m1") > 0 || r.phase("m2") == 0 {
		t.Errorf("phases %d and %d, want m2 given back", r.phase("m1"), r.phase("m2"))
	}
}
