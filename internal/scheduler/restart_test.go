package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/wire"
)

// busyRestart is a shard whose controllers were all down. Meanwhile the tasks of every second
// machine have completed, and as many new ones were submitted as there is room for. The new owner
// then gets a heartbeat of each machine per interval until all waiting tasks have started.
type busyRestart struct {
	*harness
	machines       int
	started        int // starts sent so far
	startsBySecond map[int]int
}

func newBusyRestart(t testing.TB, machines int, p *ratelimit.Limiter) *busyRestart {
	r := &busyRestart{harness: fleetHarness(t, machines, 80), machines: machines, startsBySecond: map[int]int{}}
	n := 0
	for _, w := range r.workers {
		if n++; n%2 == 0 {
			for name := range w.Tasks {
				w.ExitTask(name, wire.Done)
			}
		}
	}
	for i := range machines / 40 {
		r.submit(spec(fmt.Sprintf("run-5%05d", i), "b", wire.Array, "normal", 40, 1))
	}
	r.cfg.CommandLimiter = p
	r.failOver()
	if p != nil {
		p.Start(p.Settings().ClusterRate(machines), r.clock.Now())
	}
	return r
}

// run runs the restart and returns the most starts sent in a second, and how long it took.
func (r *busyRestart) run() (peak int, took time.Duration) {
	begin := r.clock.Now()
	const slices = 20 // parts of a heartbeat interval, in each of which some machines send theirs
	for ; r.startsRemain() && took < 10*time.Minute; took = r.clock.Now().Sub(begin) {
		r.clock.Advance(r.cfg.HeartbeatInterval / slices)
		slice := int(r.clock.Now().Sub(begin)/(r.cfg.HeartbeatInterval/slices)) % slices
		for i := slice; i < r.machines; i += slices {
			w := r.workers[fmt.Sprintf("i-%06d", i)]
			rep := w.NextHeartbeat()
			orders, v := r.shard.Heartbeat(&rep, false, r.clock.Now())
			if v != Answered {
				continue
			}
			for _, c := range orders.Commands {
				if c.Op == wire.Start {
					r.startsBySecond[int(r.clock.Now().Sub(begin)/time.Second)]++
					r.started++
				}
			}
			w.Execute(orders)
		}
		r.carryOutEffects()
	}
	for _, n := range r.startsBySecond {
		peak = max(peak, n)
	}
	return peak, took
}

// startsRemain reports whether fewer starts were sent than tasks submitted before the restart.
func (r *busyRestart) startsRemain() bool { return r.started < r.machines/40*40 }

// If all machines of the largest shard send heartbeats right after a restart, commands are sent
// within the rate limit, and all of them within the time for which the limit applies.
func TestLargestFleetRestartsWithinTheRateLimit(t *testing.T) {
	p := ratelimit.New(ratelimit.Settings{})
	r := newBusyRestart(t, maxMachinesPerShard, p)
	peak, took := r.run()
	if most := int(p.Settings().ClusterRate(maxMachinesPerShard)); peak > most {
		t.Errorf("%d starts sent in a second, want %d at most", peak, most)
	}
	if r.startsRemain() || took > ratelimit.DefaultLimitFor {
		t.Errorf("%d starts sent after %v, want all of them sooner", r.started, took)
	}
	progress, settling := r.shard.ReconciliationProgress()
	if !settling || progress.Pending+progress.AwaitedMachines > 0 {
		t.Errorf("reconciliation after %v: %+v, want nothing awaited", took, progress)
	}
}

// BenchmarkRestart reports the most starts sent in a second and how long a restart takes in
// simulated time, with and without a rate limit.
func BenchmarkRestart(b *testing.B) {
	for _, machines := range []int{40, 320, maxMachinesPerShard} {
		for _, paced := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d-paced-%v", machines, paced), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					var p *ratelimit.Limiter
					if paced {
						p = ratelimit.New(ratelimit.Settings{})
					}
					r := newBusyRestart(b, machines, p)
					b.StartTimer()
					peak, took := r.run()
					b.ReportMetric(float64(peak), "orders/s-at-peak")
					b.ReportMetric(took.Seconds(), "s-until-started")
				}
			})
		}
	}
}
