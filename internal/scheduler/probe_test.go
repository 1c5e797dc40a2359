package scheduler

import (
	"slices"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// answerProbes ends the probes in the effects: those of probeResponders with an answer, the others
// without one.
func (r *harness) answerProbes(eff Effects) {
	for _, probe := range eff.Probes {
		if slices.Contains(r.probeResponders, probe.Machine) {
			rep := r.workers[probe.Machine].NextHeartbeat()
			r.shard.ProbeDone(probe.Machine, &rep, r.clock.Now())
		} else {
			r.shard.ProbeDone(probe.Machine, nil, r.clock.Now())
		}
	}
}

// advanceWithoutHeartbeats advances the clock by d, during which no machine sends heartbeats and
// only the given ones answer probes. It returns the number of probes.
func (r *harness) advanceWithoutHeartbeats(d time.Duration, responders ...string) (probes int) {
	r.probeResponders = responders
	for end := r.clock.Now().Add(d); r.clock.Now().Before(end); {
		r.clock.Advance(healthCheckInterval)
		eff := r.shard.Step(r.clock.Now())
		probes += len(eff.Probes)
		r.answerProbes(eff)
		for _, t := range eff.Txns {
			r.shard.Applied(t, r.state.Put("x", 1).Version, r.clock.Now())
		}
	}
	return probes
}

// phase returns a machine's phase: above 0 it is no longer in use.
func (r *harness) phase(id string) int { return int(r.shard.inventory.byID[id].Phase) }

// A machine whose heartbeat is overdue and that does not answer probes is lost as soon as another
// of its zone answers. If none does, the controller may be partitioned and no machine is lost. A
// machine that answers is alive even if its heartbeats are lost.
func TestOverdueMachinesAreAsked(t *testing.T) {
	for name, x := range map[string]struct {
		answers []string
		lost    []string
	}{
		"one died":                  {[]string{"m2", "m3"}, []string{"m1"}},
		"most died together":        {[]string{"m3"}, []string{"m1", "m2"}},
		"all unreachable":           {nil, nil},
		"heartbeats are lost":       {[]string{"m1", "m2", "m3"}, nil},
		"only another zone answers": {[]string{"n1"}, nil},
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
			t.Errorf("%s: no machine is probed", name)
		}
		for _, id := range []string{"m1", "m2", "m3", "n1"} {
			if (r.phase(id) > 0) != slices.Contains(x.lost, id) {
				t.Errorf("%s: %s is in phase %d, want only the lost machines released", name, id, r.phase(id))
			}
		}
		r.advanceWithoutHeartbeats(2*r.cfg.SilentAfter, x.answers...)
		for _, id := range x.answers {
			if r.phase(id) > 0 {
				t.Errorf("%s: %s is released although it answers probes", name, id)
			}
		}
	}
}

// When the partition of a zone ends, the probes that its machines did not answer during it do not
// count: the first machine that answers must not make the others count as lost.
func TestEndOfPartitionCountsForAllMachines(t *testing.T) {
	for _, failover := range []bool{false, true} {
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
		if failover {
			r.failOver()
		}
		r.advanceWithoutHeartbeats(2 * r.shard.cfg.heartbeatTimeout())
		r.probeResponders = ids
		r.heartbeat(r.workers["m1"])
		r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, ids...)
		for _, id := range ids {
			if r.phase(id) > 0 {
				t.Errorf("failover %t: %s is released", failover, id)
			}
		}
	}
}

// A controller that was paused has read no heartbeats meanwhile. No machine counts as lost because of
// that: all of them answer once the controller continues, and probes that it sent before prove
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
		t.Fatalf("probes %v, want one of each machine", eff.Probes)
	}
	r.clock.Advance(40 * time.Second) // the controller is paused
	for _, probe := range eff.Probes {
		r.shard.ProbeDone(probe.Machine, nil, r.clock.Now())
	}
	r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, ids...)
	r.heartbeats(3)
	for _, id := range ids {
		if r.phase(id) > 0 {
			t.Errorf("%s is released, want it kept", id)
		}
	}
}

// At most MaxProbes machines are probed at a time: each probe takes a socket.
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
			t.Fatalf("probes %v at once, want two at most", eff.Probes)
		}
		r.clock.Advance(healthCheckInterval)
	}
}

// After a failover the machines whose addresses are recorded are probed and sent the new token
// before any of them has sent a heartbeat. One that answers takes work at once. One that does not,
// while its zone does, is lost without the longer time that a worker looking for its new owner gets.
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
		t.Fatalf("%d machines probed, want 2", n)
	}
	now := r.clock.Now()
	eff := r.shard.Step(now)
	if len(eff.DirectCommands) != 1 || eff.DirectCommands[0].Machine != "m1" || len(eff.DirectCommands[0].Orders.Commands) != 0 {
		t.Fatalf("direct commands %+v, want one without commands, to m1", eff.DirectCommands)
	}
	w1.Execute(wire.CommandBatch{Token: eff.DirectCommands[0].Orders.Token})
	rep := w1.NextHeartbeat()
	r.shard.Heartbeat(&rep, true, now)
	if m := r.shard.inventory.byID["m1"]; !m.contact.fenced || !r.shard.cfg.usable(m, now) {
		t.Fatal("m1 was probed and has the new token, but takes no work")
	}
	r.advanceWithoutHeartbeats(r.shard.cfg.heartbeatTimeout()+time.Second, "m1")
	if r.phase("m1") > 0 || r.phase("m2") == 0 {
		t.Errorf("phases %d and %d of m1 and m2, want only m2 released", r.phase("m1"), r.phase("m2"))
	}
}
