package scheduler

import (
	"slices"
	"testing"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// gangSimulation simulates how the tasks of a gang fetch their image and wait for each other.
type gangSimulation struct {
	r         *harness
	ref       string
	fetchTime time.Duration // how long a fetch takes
	cached    string        // the machine that caches it
	startedAt map[*testkit.WorkerTask]time.Time
	fetchedAt map[*testkit.WorkerTask]time.Time // since when a task has its image
}

// advance brings the tasks up to the present time of the clock.
func (g *gangSimulation) advance() {
	now := g.r.clock.Now()
	for id, w := range g.r.workers {
		for name, t := range w.Tasks {
			ref, _, _ := SplitTask(name)
			if ref != g.ref || t.State == wire.Exited {
				continue
			}
			if g.startedAt[t].IsZero() {
				g.startedAt[t] = now
				t.State = wire.Fetching
			}
			if t.State == wire.Fetching && (id == g.cached || now.Sub(g.startedAt[t]) >= g.fetchTime) {
				t.State = wire.AwaitingGang
				g.fetchedAt[t] = now
			}
			if t.State == wire.AwaitingGang && now.Sub(g.fetchedAt[t]) > g.r.cfg.GangWait {
				t.State, t.Why = wire.Exited, wire.ExitGangIncomplete
			}
		}
	}
}

// awaitingPeers counts, by attempt, the gang's tasks that have their image and wait for the others.
func (g *gangSimulation) awaitingPeers() map[uint64]int {
	n := map[uint64]int{}
	for _, w := range g.r.workers {
		for name, t := range w.Tasks {
			if ref, _, _ := SplitTask(name); ref == g.ref && t.State == wire.AwaitingGang {
				n[t.Attempt]++
			}
		}
	}
	return n
}

// A gang starts under its first attempt even if some of its machines cache the image and others
// fetch it for longer than the gang's tasks wait for each other. If all tasks were started
// together, those with the image would give up first and end the fetches with them, and
// every later attempt would fail in the same way: a day's log had nineteen such attempts, each
// 30 s after the last.
func TestGangWaitsForSlowFetch(t *testing.T) {
	for name, direct := range map[string]bool{"by reports": false, "by direct starts": true} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.cfg.GangWait = 30 * time.Second
			typ := r.cfg.Types["big"]
			typ.FetchGBps = 0.5
			r.cfg.Types["big"] = typ
			m1 := r.addMachine("m1", "z1", false)
			before := spec("run-000001", "b", wire.Array, "normal", 1, 2)
			before.ImageGB = 20
			r.submit(before)
			r.heartbeats(3)
			m1.ExitTask("run-000001/0", wire.Done)
			r.heartbeats(3)

			r.addMachine("m2", "z1", false)
			r.heartbeats(1)
			gang := spec("run-000002", "b", wire.Gang, "urgent", 2, 2)
			gang.ImageGB = before.ImageGB
			r.submit(gang)
			simulation := &gangSimulation{r: r, ref: gang.Ref, fetchTime: 45 * time.Second, cached: "m1",
				startedAt: map[*testkit.WorkerTask]time.Time{}, fetchedAt: map[*testkit.WorkerTask]time.Time{}}
			if direct {
				r.sendStart = func(d DirectCommand) {
					w := r.workers[d.Machine]
					w.Execute(wire.CommandBatch{Token: d.Orders.Token, Commands: d.Orders.Commands})
					simulation.advance()
					r.deliverCommand(d, true)
				}
			}
			for range 60 {
				r.heartbeat()
				simulation.advance()
				if simulation.awaitingPeers()[1] == 2 {
					return
				}
			}
			t.Fatalf("the gang's tasks were never all ready under attempt 1: m1 started %v, m2 %v", m1.Started, r.workers["m2"].Started)
		})
	}
}

// A delayed start is sent to its machine when it is due. It does not wait for the machine's
// next heartbeat, which may be seconds away.
func TestDelayedStartWakesItsMachine(t *testing.T) {
	r := newHarness(t)
	m := r.addMachine("m1", "z1", false)
	r.heartbeats(2, m)
	due := r.clock.Now().Add(5 * time.Second)
	r.shard.delayedStarts[r.shard.inventory.byID["m1"]] = due
	if eff := r.shard.Step(due.Add(-time.Millisecond)); len(eff.StartsReady) != 0 {
		t.Fatalf("starts ready on %v before one is due, want none", eff.StartsReady)
	}
	if eff := r.shard.Step(due); !slices.Equal(eff.StartsReady, []string{"m1"}) {
		t.Fatalf("starts ready on %v, want m1", eff.StartsReady)
	}
	if eff := r.shard.Step(due.Add(time.Second)); len(eff.StartsReady) != 0 {
		t.Fatalf("starts ready on %v again, want none", eff.StartsReady)
	}
}

// Starts on machines that cache the image are delayed only for fetches that take longer than
// the planned share of GangWait.
func TestShortFetchDelaysNothing(t *testing.T) {
	r := newHarness(t)
	r.cfg.GangWait = 30 * time.Second
	typ := r.cfg.Types["big"]
	typ.FetchGBps = 0.5
	s := spec("run-000001", "b", wire.Gang, "urgent", 2, 2)
	for gb, want := range map[float64]time.Duration{4: 0, 7.5: 0, 15: 20 * time.Second} {
		s.ImageGB = gb
		if got := r.shard.cfg.cachedStartDelay(&s, &Machine{Type: typ}); got != want {
			t.Errorf("an image of %g GB delays by %v, want %v", gb, got, want)
		}
	}
}
