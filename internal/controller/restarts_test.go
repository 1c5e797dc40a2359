package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/operations"
	"bramblespur/internal/ratelimit"
	"bramblespur/internal/record"
	"bramblespur/internal/restart"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// maxCommandsPerSecond is how many orders a second all controllers may release in these tests.
const maxCommandsPerSecond = 15

// busyJobs are the arrays of a busy night, of busyTasks tasks each.
const (
	busyJobs  = 12
	busyTasks = 3
)

// runRestarts plays a script in a busy night, on both layouts with some seeds: after it every
// controller must settle, with no more orders in any second than the bound, and nothing that
// the checker knows may have happened.
func runRestarts(t *testing.T, script func(k *cluster, r *rand.Rand)) {
	t.Helper()
	for name, l := range layouts {
		for seed := range uint64(seedsPerLayout) {
			t.Run(fmt.Sprintf("%s-%d", name, seed+1), func(t *testing.T) {
				t.Parallel()
				runWithRateLimit(t, l(seed+1), func(k *cluster) { script(k, rand.New(rand.NewPCG(seed, 5))) })
			})
		}
	}
}

// runWithRateLimit plays a script on a cluster that restarts quietly.
func runWithRateLimit(t *testing.T, l layout, script func(k *cluster)) {
	t.Helper()
	runScript(t, l, func(k *cluster) {
		k.prepare = enableRateLimit
		for _, label := range k.labels { // those that began before the script did not
			k.restart(label, 0)
		}
		k.await(30*time.Second, "a leader and all parts", func() bool { return k.leader() != "" && k.allShardsOwned() })
		for i := range busyJobs {
			k.submit(spec(ref(firstFreeJob+i), []string{"wide", "other"}[i%2], func(s *wire.Spec) { s.Tasks = busyTasks }), busyLength(i))
		}
		k.awaitRunning(ref(firstFreeJob), busyTasks)
		time.Sleep(20 * time.Second) // the pace of the start is over
		script(k)
		k.requireOccurred(!k.allEndedAt.IsZero(), "all controllers end")
		k.world.Mend()
		k.startMissing()
		back := time.Now()
		k.await(3*time.Minute, "all have settled", func() bool { return k.allReconciled() })
		paced := back.Add(ratelimit.DefaultLimitFor)
		if n := k.world.Orders().Most(time.Second, k.allEndedAt, paced, !k.jobsCancelled.Load()); n > maxCommandsPerSecond {
			k.t.Errorf("%d orders in a second, of %d", n, maxCommandsPerSecond)
		}
	})
}

// busyLength is how long the tasks of a night's job run: some end while nobody listens.
func busyLength(i int) testkit.Length {
	return testkit.Length{Run: time.Duration(25+7*i) * time.Second, Fetch: 2 * time.Second}
}

func enableRateLimit(_ string, c *Controller) {
	c.reconciliation.Enable(&operations.Restart{Settings: ratelimit.Settings{CommandsPerSecond: maxCommandsPerSecond}})
}

// episodes returns what a controller recorded.
func (k *cluster) episodes(label string) []restart.Episode {
	k.t.Helper()
	e, ok := k.world.State.Entry(restart.Key(label))
	if !ok {
		return nil
	}
	var h restart.History
	if err := json.Unmarshal(e.Value, &h); err != nil {
		k.t.Fatal(err)
	}
	return h.Episodes
}

// allReconciled reports whether no controller has anything left to settle.
func (k *cluster) allReconciled() bool {
	for _, label := range k.labels {
		p := k.process(label)
		if p == nil {
			return false
		}
		p.c.mu.Lock()
		under := p.c.reconciliation.PendingLocked()
		p.c.mu.Unlock()
		if under {
			return false
		}
	}
	return k.allShardsOwned()
}

// crashAll ends every controller without a word. What workers are told from then on is
// counted.
func (k *cluster) crashAll() {
	if k.allEndedAt.IsZero() {
		k.allEndedAt = time.Now()
	}
	for _, label := range k.labels {
		k.crash(label)
	}
}

// startInRandomOrder starts all controllers in some order, each a fraction of a second after the last.
func (k *cluster) startInRandomOrder(r *rand.Rand) {
	order := slices.Clone(k.labels)
	r.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	for _, label := range order {
		if k.process(label) == nil {
			k.start(label)
		}
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
	}
}

// submitBacklog submits more work than there was, so that starts are under way.
func (k *cluster) submitBacklog() {
	for i := range busyJobs {
		k.submitInBackground(spec(ref(firstFreeJob+busyJobs+i), []string{"wide", "other"}[i%2], func(s *wire.Spec) { s.Tasks = busyTasks }), busyLength(i))
	}
}

// All controllers end in the middle of a batch of starts: before the write, after it, after
// the order, and after a task's end. They return in any order, within a fraction of a second
// each.
func TestAllEndInABatch(t *testing.T) {
	phases := map[string]func(k *cluster){
		"before the write": func(k *cluster) {
			k.world.State.Decide(func(_ string, w wire.Txn) testkit.Fate {
				return testkit.Fate{Refused: writes(w, record.PlacementsPrefix)}
			})
			k.submitBacklog()
			time.Sleep(3 * time.Second)
		},
		"after the write": func(k *cluster) {
			n := len(k.world.State.Writes())
			k.submitBacklog()
			k.await(time.Minute, "a start on record", func() bool {
				return slices.ContainsFunc(k.world.State.Writes()[n:], func(w testkit.Write) bool { return writes(w.Txn, record.PlacementsPrefix) })
			})
		},
		"after the order": func(k *cluster) {
			before := time.Now()
			k.submitBacklog()
			k.await(time.Minute, "an order", func() bool { return k.world.Orders().Since(before) > 3 })
		},
		"after a task's end": func(k *cluster) {
			ended := make(chan string, 2*busyJobs)
			k.world.OnEnd(func(ref string) { ended <- ref })
			k.submitBacklog()
			<-ended
		},
	}
	for name, phase := range phases {
		t.Run(name, func(t *testing.T) {
			runRestarts(t, func(k *cluster, r *rand.Rand) {
				phase(k)
				k.crashAll()
				k.world.State.Decide(nil)
				time.Sleep(time.Duration(200+r.IntN(6000)) * time.Millisecond)
				k.startInRandomOrder(r)
			})
		})
	}
}

// All end once more while they reconcile, one never comes back until much later, and the
// record of the restart tells what was found.
func TestAllEndTwice(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		k.submitBacklog()
		k.crashAll()
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
		k.startInRandomOrder(r)
		time.Sleep(time.Duration(500+r.IntN(3000)) * time.Millisecond)
		k.crashAll()
		time.Sleep(300 * time.Millisecond)
		for _, label := range k.labels[1:] {
			k.start(label)
		}
		k.await(time.Minute, "all parts without one controller", k.allShardsOwned)
		time.Sleep(10 * time.Second)
		verdicts := map[string]int{}
		for _, label := range k.labels {
			for _, e := range k.episodes(label) {
				for v, n := range e.Outcomes {
					verdicts[v] += n
				}
			}
		}
		k.requireOccurred(verdicts["adopted"] > 0, fmt.Sprintf("running work is adopted: %v", verdicts))
	})
}

// The state service is down when they return, comes back slow, or refuses one alone.
func TestRestartWithoutStateService(t *testing.T) {
	troubles := map[string]func(k *cluster) (heal func()){
		"down": func(k *cluster) func() {
			k.world.State.Outage(true)
			return func() { k.world.State.Outage(false) }
		},
		"slow": func(k *cluster) func() {
			k.world.State.Slow(400 * time.Millisecond)
			return func() { k.world.State.Slow(0) }
		},
		"refuses one": func(k *cluster) func() {
			k.world.State.Refuse(k.labels[1], true)
			return func() { k.world.State.Refuse(k.labels[1], false) }
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			runRestarts(t, func(k *cluster, r *rand.Rand) {
				k.submitBacklog()
				k.crashAll()
				heal := trouble(k)
				k.startInRandomOrder(r)
				time.Sleep(time.Duration(3+r.IntN(10)) * time.Second)
				heal()
			})
		})
	}
}

// Workers come back with tasks that the records never knew, know under another attempt, know
// as cancelled or as done, or know on another machine: each is stopped or forgotten, and no
// answer changes.
func TestRestartFindsStrayTasks(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		k.load()
		cancelled := k.cancel(ref(limitJob))
		k.await(k.timing.Cancel, "a cancellation", cancelled)
		k.submit(spec(ref(firstFreeJob+busyJobs), "wide", nil), testkit.Length{Run: time.Second})
		k.await(2*time.Minute, "an end", func() bool { return k.world.Told(ref(firstFreeJob+busyJobs)) == wire.Done })
		k.crashAll()
		on := k.world.On(ref(arrayJob))
		others := slices.DeleteFunc(k.world.Machines(), func(m *testkit.Agent) bool { return slices.Contains(on, m) })
		k.requireOccurred(len(others) > 2, "there are machines without the job")
		others[0].Inject("run-999999", 0, 1, wire.Running, "")               // never known
		others[0].Inject(ref(arrayJob), 0, 77, wire.Running, "")             // another attempt
		others[1].Inject(ref(arrayJob), 1, 1, wire.Running, "")              // the same, elsewhere
		others[1].Inject(ref(limitJob), 0, 1, wire.Running, "")              // cancelled
		others[2].Inject(ref(firstFreeJob+busyJobs), 0, 9, wire.Running, "") // done
		others[2].Inject(ref(serviceJob), 0, 9, wire.Exited, wire.ExitError) // exited in vain
		k.startInRandomOrder(r)
		k.await(2*time.Minute, "the strays gone", func() bool {
			for _, m := range others[:3] {
				if slices.ContainsFunc(m.Tasks(), func(task string) bool {
					return strings.HasPrefix(task, "run-999999/") || strings.HasPrefix(task, ref(limitJob)+"/") || strings.HasPrefix(task, ref(firstFreeJob+busyJobs)+"/")
				}) {
					return false
				}
			}
			return len(k.world.On(ref(arrayJob))) <= 4
		})
		if got := k.world.Told(ref(firstFreeJob + busyJobs)); got != wire.Done {
			k.t.Errorf("what was done is %s", got)
		}
	})
}

// A worker that is silent for several leases is awaited: its work is started nowhere else
// before it is proven gone.
func TestRestartAwaitsSilentWorkers(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		k.load()
		silent := k.world.On(ref(arrayJob))
		k.crashAll()
		isSilent := matchAgents(silent)
		heal := k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(isSilent, testkit.Anyone)})
		k.startInRandomOrder(r)
		time.Sleep(3 * k.timing.Lease)
		heal()
	})
}

// The cloud lists machines without a record, a record names machines that are not there, and
// the answer to a rental is lost as its leader ends.
func TestRestartFindsMachines(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		stranger := wire.ProvisionRequest{Request: "late", Type: "big", Zone: "a", Count: 1}
		names, err := k.world.Rentals(t.Context(), "late").Provision(t.Context(), stranger)
		if err != nil {
			k.t.Fatal(err)
		}
		ghost := record.Provision{Type: "big", Zone: "a", Shards: []int{0}, IDs: []string{"i-999999"}, CreatedAt: time.Now().UnixMilli()}
		if err := k.world.State.Put(wire.Txn{Then: []wire.Op{{Put: record.ProvisionKey("ghost"), Value: record.Encode(ghost)}}}); err != nil {
			k.t.Fatal(err)
		}
		heal := k.world.Net.Cut(&testkit.Cut{Match: func(from, _ string) bool { return from == testkit.CloudEnd }})
		k.submitBacklog()
		time.Sleep(4 * time.Second)
		k.crashAll()
		heal()
		k.startInRandomOrder(r)
		k.await(5*time.Minute, "the stranger returned", func() bool { return k.world.Zone(names[0]) == "" })
		k.await(5*time.Minute, "the ghost returned", func() bool {
			return slices.ContainsFunc(k.world.State.Writes(), func(w testkit.Write) bool {
				return slices.ContainsFunc(w.Txn.Then, func(op wire.Op) bool {
					return strings.HasPrefix(op.Put, record.ReleasePrefix) && strings.Contains(string(op.Value), "i-999999")
				})
			})
		})
	})
}

// Users submit, ask and cancel while everything reconciles.
func TestUsersWhileReconciling(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		k.submitBacklog()
		k.crashAll()
		for i := range 3 {
			k.cancel(ref(firstFreeJob + i))
			k.submitInBackground(spec(ref(firstFreeJob+3*busyJobs+i), "wide", nil), shortRun)
		}
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		k.startInRandomOrder(r)
		for i := range 3 {
			k.cancel(ref(firstFreeJob + 3 + i))
			k.submitInBackground(spec(ref(firstFreeJob+4*busyJobs+i), "other", nil), shortRun)
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// One controller does not pace its orders, as one of the production version beside ours: the
// others keep to their shares, and all settle.
func TestRestartBesideOneWithoutRateLimit(t *testing.T) {
	for name, l := range layouts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScript(t, l(1), func(k *cluster) {
				k.prepare = func(label string, c *Controller) {
					if label != "c-0" {
						enableRateLimit(label, c)
					}
				}
				k.load()
				k.crashAll()
				k.startMissing()
				k.await(time.Minute, "all parts", k.allShardsOwned)
				k.await(3*time.Minute, "the others settled", func() bool { return len(k.episodes("c-1")) > 0 && k.allReconciled() })
				if n := len(k.episodes("c-0")); n > 0 {
					k.t.Errorf("%d episodes of one that does not record them", n)
				}
			})
		})
	}
}

// A drain is under way when all controllers end: its grants are kept, and it goes on.
func TestRestartDuringADrain(t *testing.T) {
	runDrain(t, func(k *drainCluster) {
		on := k.prepare
		k.prepare = func(label string, c *Controller) {
			on(label, c)
			enableRateLimit(label, c)
		}
		k.loadEvenly()
		k.requestDrain("all", func(p *drain.Plan) { p.Selector.Types = []string{"big"} })
		k.awaitGrant()
		k.crashAll()
		time.Sleep(2 * time.Second)
		k.startInRandomOrder(rand.New(rand.NewPCG(1, 1)))
		k.awaitFinished("all", time.Hour)
		k.await(time.Minute, "all have settled", func() bool { return k.allReconciled() })
	})
}
