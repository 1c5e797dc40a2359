package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bramblespur/internal/ratelimit"
	"bramblespur/internal/wire"
)

// busyRestart is a fleet of which, while nobody listened, every second machine's tasks have
// ended and as much work has come as there is room for. Its new owner then hears all machines,
// each once in an interval of heartbeats, until all that waits has started.
type busyRestart struct {
	*harness
	machines int
	started  int // orders so far
	seconds  map[int]int
}

func newBusyRestart(t testing.TB, machines int, p *ratelimit.Limiter) *busyRestart {
	r := &busyRestart{harness: fleetHarness(t, machines, 80), machines: machines, seconds: map[int]int{}}
	n := 0
	for _, w := range r.workers {
		if n++; n%2 == 0 {
			for name := range w.Tasks {
				w.End(name, wire.Done)
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

// run plays the restart and returns the most orders in a second, and how long it took.
func (r *busyRestart) run() (peak int, took time.Duration) {
	begun := r.clock.Now()
	const slices = 20 // of an interval of heartbeats
	for ; r.startsRemain() && took < 10*time.Minute; took = r.clock.Now().Sub(begun) {
		r.clock.Advance(r.cfg.HeartbeatInterval / slices)
		turn := int(r.clock.Now().Sub(begun)/(r.cfg.HeartbeatInterval/slices)) % slices
		for i := turn; i < r.machines; i += slices {
			w := r.workers[fmt.Sprintf("i-%06d", i)]
			rep := w.Report()
			orders, v := r.shard.Heartbeat(&rep, false, r.clock.Now())
			if v != Answered {
				continue
			}
			for _, c := range orders.Commands {
				if c.Op == wire.Start {
					r.seconds[int(r.clock.Now().Sub(begun)/time.Second)]++
					r.started++
				}
			}
			w.Obey(orders)
		}
		r.carryOutEffects()
	}
	for _, n := range r.seconds {
		peak = max(peak, n)
	}
	return peak, took
}

// startsRemain reports whether less has been ordered than came while nobody listened.
func (r *busyRestart) startsRemain() bool { return r.started < r.machines/40*40 }

// A full fleet that reports at once after a restart gets its orders within the bound, and
// still has them all well within the time to settle.
func TestLargestFleetRestartsWithinTheRateLimit(t *testing.T) {
	p := ratelimit.New(ratelimit.Settings{})
	r := newBusyRestart(t, maxMachinesPerShard, p)
	peak, took := r.run()
	if most := int(p.Settings().ClusterRate(maxMachinesPerShard)); peak > most {
		t.Errorf("%d orders in a second, of %d", peak, most)
	}
	if r.startsRemain() || took > ratelimit.DefaultLimitFor {
		t.Errorf("%d orders after %v", r.started, took)
	}
	progress, settling := r.shard.ReconciliationProgress()
	if !settling || progress.Pending+progress.AwaitedMachines > 0 {
		t.Errorf("still awaited after %v: %+v", took, progress)
	}
}

// BenchmarkRestart tells the most orders in a second, and how long a restart takes in bubble
// time, with and without a pace.
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
