package scheduler

import (
	"testing"
	"time"

	"bramblespur/internal/wire"
)

// An overloaded controller reads heartbeats late. It must neither count machines as lost because it has
// read no heartbeat of them lately, nor probe them all, which would add to its load. Dead machines are
// released once it keeps up again, and later also if it never does.
func TestOverloadedShardReleasesNoSilentMachine(t *testing.T) {
	for name, keepsUpAgain := range map[string]bool{"keeps up again": true, "never does": false} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.cfg.MaxProbes = 8
			dead, w2 := r.addMachine("m1", "z1", false), r.addMachine("m2", "z1", false)
			r.submit(spec("run-000001", "b", wire.Array, "normal", 4, 1))
			r.heartbeats(4)
			r.shard.SetOverloaded(true)
			silentSince := r.clock.Now()
			probes := 0
			for r.clock.Now().Sub(silentSince) < 2*r.cfg.Lease {
				r.heartbeat(w2)
				probes += r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, "m2")
			}
			if m := r.shard.inventory.byID[dead.ID]; m == nil || r.phase(dead.ID) > 0 {
				t.Fatal("m1 was released although its silence proves nothing while overloaded")
			}
			if probes > 0 {
				t.Errorf("%d probes while overloaded, want none", probes)
			}
			if keepsUpAgain {
				r.shard.SetOverloaded(false)
				silentSince = r.clock.Now().Add(-overloadedLeases * r.cfg.Lease)
			}
			for r.clock.Now().Sub(silentSince) < overloadedLeases*r.cfg.Lease+10*time.Second {
				r.heartbeat(w2)
				r.advanceWithoutHeartbeats(r.cfg.HeartbeatInterval, "m2")
			}
			if m := r.shard.inventory.byID[dead.ID]; m != nil && r.phase(dead.ID) == 0 {
				t.Error("m1 was not released, want it released as lost")
			}
		})
	}
}
