package scheduler

import (
	"testing"
	"time"

	"bramblespur/internal/wire"
)

// A controller that falls behind reads reports late: it must not take machines that
// it has not heard lately for lost, nor ask them all, which makes it later still. Once
// it keeps up, and also where it never does, dead ones are given back.
func TestBehindJudgesNobodySilent(t *testing.T) {
	for name, keepsUpAgain := range map[string]bool{"keeps up again": true, "never does": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.cfg.Probes = 8
			dead, w2 := r.machine("m1", "z1", false), r.machine("m2", "z1", false)
			r.submit(spec("run-000001", "b", wire.Array, "normal", 4, 1))
			r.beats(4)
			r.part.SetBehind(true)
			quiet := r.clock.Now()
			asked := 0
			for r.clock.Now().Sub(quiet) < 2*r.cfg.Lease {
				r.beat(w2)
				asked += r.probed(r.cfg.Report, "m2")
			}
			if m := r.part.machines[dead.ID]; m == nil || r.phase(dead.ID) > 0 {
				t.Fatal("given back while nothing tells that it is lost")
			}
			if asked > 0 {
				t.Errorf("%d machines asked", asked)
			}
			if keepsUpAgain {
				r.part.SetBehind(false)
				quiet = r.clock.Now().Add(-behindLeases * r.cfg.Lease)
			}
			for r.clock.Now().Sub(quiet) < behindLeases*r.cfg.Lease+10*time.Second {
				r.beat(w2)
				r.probed(r.cfg.Report, "m2")
			}
			if m := r.part.machines[dead.ID]; m != nil && r.phase(dead.ID) == 0 {
				t.Error("never given back")
			}
		})
	}
}
