package scheduler

import (
	"testing"
	"time"

	"bramblespur/internal/wire"
)

// A controller that falls behind reads reports late: it must not take machines that
// it has not heard lately for lost, nor ask them all, which makes it later still. Once
// it keeps up, and also where it never does, dead ones are released.
func TestOverloadedShardReleasesNoSilentMachine(t *testing.T) {
	for name, keepsUpAgain := range map[string]bool{"keeps up again": true, "never does": false} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.cfg.MaxProbes = 8
			dead, w2 := r.addMachine("m1", "z1", false), r.addMachine("m2", "z1", false)
			r.submit(spec("run-000001", "b", wire.Array, "normal", 4, 1))
			r.heartbeats(4)
			r.shard.SetOverloaded(true)
			quiet := r.clock.Now()
			asked := 0
			for r.clock.Now().Sub(quiet) < 2*r.cfg.Lease {
				r.heartbeat(w2)
				asked += r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, "m2")
			}
			if m := r.shard.inventory.byID[dead.ID]; m == nil || r.phase(dead.ID) > 0 {
				t.Fatal("given back while nothing tells that it is lost")
			}
			if asked > 0 {
				t.Errorf("%d machines asked", asked)
			}
			if keepsUpAgain {
				r.shard.SetOverloaded(false)
				quiet = r.clock.Now().Add(-overloadedLeases * r.cfg.Lease)
			}
			for r.clock.Now().Sub(quiet) < overloadedLeases*r.cfg.Lease+10*time.Second {
				r.heartbeat(w2)
				r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, "m2")
			}
			if m := r.shard.inventory.byID[dead.ID]; m != nil && r.phase(dead.ID) == 0 {
				t.Error("never given back")
			}
		})
	}
}
