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

// maxCommandsPerSecond is the rate limit of commands after a restart in these tests, for all
// controllers together.
const maxCommandsPerSecond = 15

// busyJobs is how many arrays a loaded cluster has, of busyTasks tasks each.
const (
	busyJobs  = 12
	busyTasks = 3
)

// runRestarts runs a script on a loaded cluster whose controllers limit the rate of commands after
// a restart, on both layouts with some seeds. After it every controller must complete its
// reconciliation, with no more commands in any second than the rate limit, and the checker must
// have found no violation.
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

// runWithRateLimit runs a script on a loaded cluster whose controllers limit the rate of commands
// after a restart.
func runWithRateLimit(t *testing.T, l layout, script func(k *cluster)) {
	t.Helper()
	runScript(t, l, func(k *cluster) {
		k.prepare = enableRateLimit
		for _, label := range k.labels { // the processes so far have no rate limit
			k.restart(label, 0)
		}
		k.await(30*time.Second, "a leader and an owner of every shard", func() bool { return k.leader() != "" && k.allShardsOwned() })
		for i := range busyJobs {
			k.submit(spec(ref(firstFreeJob+i), []string{"wide", "other"}[i%2], func(s *wire.Spec) { s.Tasks = busyTasks }), busyDurations(i))
		}
		k.awaitRunning(ref(firstFreeJob), busyTasks)
		time.Sleep(20 * time.Second) // the rate limit of this start ends
		script(k)
		k.requireOccurred(!k.allEndedAt.IsZero(), "all controllers crash")
		k.world.ClearFaults()
		k.startMissing()
		restarted := time.Now()
		k.await(3*time.Minute, "the end of all reconciliations", func() bool { return k.allReconciled() })
		limitEnds := restarted.Add(ratelimit.DefaultLimitFor)
		if n := k.world.CommandLog().MostWithin(time.Second, k.allEndedAt, limitEnds, !k.jobsCancelled.Load()); n > maxCommandsPerSecond {
			k.t.Errorf("%d commands in a second, want %d at most", n, maxCommandsPerSecond)
		}
	})
}

// busyDurations returns the durations of the i-th busy job: some tasks end while no controller
// runs.
func busyDurations(i int) testkit.JobDurations {
	return testkit.JobDurations{Run: time.Duration(25+7*i) * time.Second, Fetch: 2 * time.Second}
}

// enableRateLimit makes a new controller limit the rate of commands after a restart, as a prepare
// function.
func enableRateLimit(_ string, c *Controller) {
	c.reconciliation.Enable(&operations.Restart{Settings: ratelimit.Settings{CommandsPerSecond: maxCommandsPerSecond}})
}

// episodes returns the restart episodes that a controller recorded.
func (k *cluster) episodes(label string) []restart.Episode {
	k.t.Helper()
	e, ok := k.world.State.Entry(restart.Key(label))
	if !ok {
		return nil
	}
	var history restart.History
	if err := json.Unmarshal(e.Value, &history); err != nil {
		k.t.Fatal(err)
	}
	return history.Episodes
}

// allReconciled reports whether every controller has completed its reconciliation and every shard
// is held.
func (k *cluster) allReconciled() bool {
	for _, label := range k.labels {
		p := k.process(label)
		if p == nil {
			return false
		}
		p.c.mu.Lock()
		pending := p.c.reconciliation.PendingLocked()
		p.c.mu.Unlock()
		if pending {
			return false
		}
	}
	return k.allShardsOwned()
}

// crashAll kills every controller. The commands to workers from the first call on count against
// the rate limit.
func (k *cluster) crashAll() {
	if k.allEndedAt.IsZero() {
		k.allEndedAt = time.Now()
	}
	for _, label := range k.labels {
		k.crash(label)
	}
}

// startInRandomOrder starts all controllers that do not run, in random order, each a fraction of a
// second after the one before.
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

// submitBacklog submits another busyJobs arrays, so that starts are in progress.
func (k *cluster) submitBacklog() {
	for i := range busyJobs {
		k.submitInBackground(spec(ref(firstFreeJob+busyJobs+i), []string{"wide", "other"}[i%2], func(s *wire.Spec) { s.Tasks = busyTasks }), busyDurations(i))
	}
}

// All controllers crash in the middle of a batch of starts: before the write, after it, after the
// command, and after the end of a task. They return in random order, each within a fraction of a
// second.
func TestAllEndInABatch(t *testing.T) {
	phases := map[string]func(k *cluster){
		"before the write": func(k *cluster) {
			k.world.State.InjectTxnFaults(func(_ string, w wire.Txn) testkit.TxnFault {
				return testkit.TxnFault{Refused: writes(w, record.PlacementsPrefix)}
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
			k.await(time.Minute, "commands", func() bool { return k.world.CommandLog().CountSince(before) > 3 })
		},
		"after a task's end": func(k *cluster) {
			ended := make(chan string, 2*busyJobs)
			k.world.OnJobCompleted(func(ref string) { ended <- ref })
			k.submitBacklog()
			<-ended
		},
	}
	for name, phase := range phases {
		t.Run(name, func(t *testing.T) {
			runRestarts(t, func(k *cluster, r *rand.Rand) {
				phase(k)
				k.crashAll()
				k.world.State.InjectTxnFaults(nil)
				time.Sleep(time.Duration(200+r.IntN(6000)) * time.Millisecond)
				k.startInRandomOrder(r)
			})
		})
	}
}

// All controllers crash once more while they reconcile, and one returns only much later. The
// restart records must show that running tasks were adopted.
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
		k.await(time.Minute, "an owner of every shard without one controller", k.allShardsOwned)
		time.Sleep(10 * time.Second)
		outcomes := map[string]int{}
		for _, label := range k.labels {
			for _, e := range k.episodes(label) {
				for outcome, n := range e.Outcomes {
					outcomes[outcome] += n
				}
			}
		}
		k.requireOccurred(outcomes["adopted"] > 0, fmt.Sprintf("running tasks are adopted, of outcomes %v", outcomes))
	})
}

// The state service is down when the controllers return, is slow, or refuses one of them.
func TestRestartWithoutStateService(t *testing.T) {
	faults := map[string]func(k *cluster) (heal func()){
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
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runRestarts(t, func(k *cluster, r *rand.Rand) {
				k.submitBacklog()
				k.crashAll()
				heal := fault(k)
				k.startInRandomOrder(r)
				time.Sleep(time.Duration(3+r.IntN(10)) * time.Second)
				heal()
			})
		})
	}
}

// Workers return with tasks that the records do not contain, contain under another attempt or on
// another machine, or contain as cancelled or done. Each must be stopped or forgotten, and the
// state that users are told must not change.
func TestRestartFindsStrayTasks(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		k.load()
		cancelled := k.cancel(ref(limitJob))
		k.await(k.timing.Cancel, "the cancellation", cancelled)
		k.submit(spec(ref(firstFreeJob+busyJobs), "wide", nil), testkit.JobDurations{Run: time.Second})
		k.await(2*time.Minute, "the end of a job", func() bool { return k.world.LastState(ref(firstFreeJob+busyJobs)) == wire.Done })
		k.crashAll()
		on := k.world.MachinesOf(ref(arrayJob))
		others := slices.DeleteFunc(k.world.Machines(), func(m *testkit.Agent) bool { return slices.Contains(on, m) })
		k.requireOccurred(len(others) > 2, "there are machines without the job")
		if service := ref(serviceJob) + "/0"; slices.Contains(others[2].Tasks(), service) {
			others[0], others[2] = others[2], others[0] // an injected attempt must not replace the one that runs
		}
		others[0].Inject("run-999999", 0, 1, wire.Running, "")               // not in the records
		others[0].Inject(ref(arrayJob), 0, 77, wire.Running, "")             // another attempt
		others[1].Inject(ref(arrayJob), 1, 1, wire.Running, "")              // the same job, on another machine
		others[1].Inject(ref(limitJob), 0, 1, wire.Running, "")              // cancelled
		others[2].Inject(ref(firstFreeJob+busyJobs), 0, 9, wire.Running, "") // done
		others[2].Inject(ref(serviceJob), 0, 9, wire.Exited, wire.ExitError) // exited with an error
		k.startInRandomOrder(r)
		k.await(2*time.Minute, "the end of the stray tasks", func() bool {
			for _, m := range others[:3] {
				if slices.ContainsFunc(m.Tasks(), func(task string) bool {
					return strings.HasPrefix(task, "run-999999/") || strings.HasPrefix(task, ref(limitJob)+"/") || strings.HasPrefix(task, ref(firstFreeJob+busyJobs)+"/")
				}) {
					return false
				}
			}
			return len(k.world.MachinesOf(ref(arrayJob))) <= 4
		})
		if got := k.world.LastState(ref(firstFreeJob + busyJobs)); got != wire.Done {
			k.t.Errorf("the user of the finished job is told %s, want done", got)
		}
	})
}

// Workers are silent for several leases after the controllers return. Their tasks must not be
// started elsewhere before they are proven gone.
func TestRestartAwaitsSilentWorkers(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		k.load()
		silent := k.world.MachinesOf(ref(arrayJob))
		k.crashAll()
		isSilent := matchAgents(silent)
		heal := k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(isSilent, testkit.AnyEndpoint)})
		k.startInRandomOrder(r)
		time.Sleep(3 * k.timing.Lease)
		heal()
	})
}

// The cloud lists machines without a record, a record names machines that do not exist, and the
// answer to a provision request is lost as the leader crashes.
func TestRestartFindsMachines(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		unrecorded := wire.ProvisionRequest{Request: "late", Type: "big", Zone: "a", Count: 1}
		names, err := k.world.CloudClient(t.Context(), "late").Provision(t.Context(), unrecorded)
		if err != nil {
			k.t.Fatal(err)
		}
		missing := record.Provision{Type: "big", Zone: "a", Shards: []int{0}, IDs: []string{"i-999999"}, CreatedAt: time.Now().UnixMilli()}
		if err := k.world.State.Put(wire.Txn{Then: []wire.Op{{Put: record.ProvisionKey("ghost"), Value: record.Encode(missing)}}}); err != nil {
			k.t.Fatal(err)
		}
		heal := k.world.Net.AddPartition(&testkit.Partition{Match: func(from, _ string) bool { return from == testkit.CloudEndpoint }})
		k.submitBacklog()
		time.Sleep(4 * time.Second)
		k.crashAll()
		heal()
		k.startInRandomOrder(r)
		k.await(5*time.Minute, "the release of the machine without a record", func() bool { return k.world.Zone(names[0]) == "" })
		k.await(5*time.Minute, "the release of the machine that does not exist", func() bool {
			return slices.ContainsFunc(k.world.State.Writes(), func(w testkit.Write) bool {
				return slices.ContainsFunc(w.Txn.Then, func(op wire.Op) bool {
					return strings.HasPrefix(op.Put, record.ReleasePrefix) && strings.Contains(string(op.Value), "i-999999")
				})
			})
		})
	})
}

// Users submit, query and cancel jobs while all controllers reconcile.
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

// One controller has no rate limit, like one of the production version next to newer ones. The
// others must keep to their shares of the limit, and all must complete their reconciliation.
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
				k.await(time.Minute, "an owner of every shard", k.allShardsOwned)
				k.await(3*time.Minute, "the end of the others' reconciliations", func() bool { return len(k.episodes("c-1")) > 0 && k.allReconciled() })
				if n := len(k.episodes("c-0")); n > 0 {
					k.t.Errorf("c-0 has no rate limit and recorded %d episodes, want none", n)
				}
			})
		})
	}
}

// All controllers crash during a drain: the evictions that it granted must be kept, and it must go
// on to its end.
func TestRestartDuringADrain(t *testing.T) {
	runDrain(t, func(k *drainCluster) {
		enableDrains := k.prepare
		k.prepare = func(label string, c *Controller) {
			enableDrains(label, c)
			enableRateLimit(label, c)
		}
		k.loadEvenly()
		k.requestDrain("all", func(p *drain.Plan) { p.Selector.Types = []string{"big"} })
		k.awaitGrant()
		k.crashAll()
		time.Sleep(2 * time.Second)
		k.startInRandomOrder(rand.New(rand.NewPCG(1, 1)))
		k.awaitFinished("all", time.Hour)
		k.await(time.Minute, "the end of all reconciliations", func() bool { return k.allReconciled() })
	})
}
