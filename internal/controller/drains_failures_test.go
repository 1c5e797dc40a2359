package controller

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// runDrainDuringFault drains all machines while fault injects a fault, and waits until the drain
// is finished all the same.
func runDrainDuringFault(t *testing.T, fault func(k *drainCluster)) {
	t.Helper()
	runDrain(t, func(k *drainCluster) {
		k.loadEvenly()
		k.requestDrain("all", func(p *drain.Plan) { p.Selector.Types = []string{"big"} })
		fault(k)
		k.awaitFinished("all", time.Hour)
	})
}

// awaitGrant waits until another granted eviction is recorded.
func (k *drainCluster) awaitGrant() {
	k.t.Helper()
	before := k.grantedEvictions()
	k.await(5*time.Minute, "a granted eviction", func() bool { return k.grantedEvictions() > before })
}

// The owner, the leader or all controllers crash right after a granted eviction is recorded,
// before its command is sent, and again while it is carried out.
func TestDrainControllersEndAfterGrant(t *testing.T) {
	victims := map[string]func(k *drainCluster) []string{
		"owner":  func(k *drainCluster) []string { return []string{k.ownerOfTeam("wide")} },
		"leader": func(k *drainCluster) []string { return []string{k.leader()} },
		"all":    func(k *drainCluster) []string { return k.labels },
	}
	for name, victim := range victims {
		t.Run(name, func(t *testing.T) {
			runDrainDuringFault(t, func(k *drainCluster) {
				for _, downtime := range []time.Duration{200 * time.Millisecond, 12 * time.Second} {
					k.awaitGrant()
					for _, label := range victim(k) {
						k.crash(label)
					}
					time.Sleep(downtime)
					k.startMissing()
				}
			})
		})
	}
}

// The state service fails during a drain: it is down for all, refuses an owner alone, or gives no
// answer to writes of ledgers, which it applies at once or late.
func TestDrainWhileStateServiceFails(t *testing.T) {
	t.Run("outage", func(t *testing.T) {
		runDrainDuringFault(t, func(k *drainCluster) {
			k.awaitGrant()
			k.world.State.Outage(true)
			time.Sleep(20 * time.Second)
			k.world.State.Outage(false)
		})
	})
	t.Run("refuses the owner", func(t *testing.T) {
		runDrainDuringFault(t, func(k *drainCluster) {
			k.awaitGrant()
			owner := k.ownerOfTeam("wide")
			k.world.State.Refuse(owner, true)
			time.Sleep(20 * time.Second)
			k.world.State.Refuse(owner, false)
		})
	})
	for name, fate := range map[string]testkit.TxnFault{"lost": {AnswerLost: true}, "late": {Delay: 7 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			runDrainDuringFault(t, func(k *drainCluster) {
				var n atomic.Int64
				k.world.State.InjectTxnFaults(func(_ string, w wire.Txn) testkit.TxnFault {
					if !writes(w, drain.LedgerPrefix) {
						return testkit.TxnFault{}
					}
					if n.Add(1)%2 == 1 {
						return fate
					}
					return testkit.TxnFault{}
				})
				k.awaitGrant()
				time.Sleep(2 * time.Minute)
				k.requireOccurred(n.Load() > 1, "writes of ledgers get no answer")
				k.world.State.InjectTxnFaults(nil)
			})
		})
	}
}

// Machines that are being drained do not receive messages, cannot call controllers, hang, die, or
// are reclaimed by the cloud.
func TestDrainWhileMachinesFail(t *testing.T) {
	cordoned := func(k *drainCluster) []*testkit.Agent {
		k.await(time.Minute, "cordons", func() bool { return len(k.cordons()) > 0 })
		var out []*testkit.Agent
		for _, m := range k.world.Machines() {
			if _, ok := k.cordons()[m.ID]; ok {
				out = append(out, m)
			}
		}
		return out
	}
	forAWhile := func(k *drainCluster, heal func()) {
		time.Sleep(40 * time.Second)
		heal()
	}
	faults := map[string]func(k *drainCluster, ms []*testkit.Agent){
		"deaf": func(k *drainCluster, ms []*testkit.Agent) { forAWhile(k, k.dropMessagesTo(matchAgents(ms))) },
		"mute": func(k *drainCluster, ms []*testkit.Agent) { forAWhile(k, k.blockCallsFrom(matchAgents(ms))) },
		"hung": func(k *drainCluster, ms []*testkit.Agent) {
			for _, m := range ms {
				m.Hang(true)
			}
			forAWhile(k, func() {
				for _, m := range ms {
					m.Hang(false)
				}
			})
		},
		"lost": func(_ *drainCluster, ms []*testkit.Agent) {
			for _, m := range ms {
				m.Die()
			}
		},
		"spot wave": func(k *drainCluster, _ []*testkit.Agent) {
			for i, m := range k.world.Machines() {
				if i%2 == 0 {
					m.Notice(15 * time.Second)
				}
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runDrainDuringFault(t, func(k *drainCluster) {
				ms := cordoned(k)
				testkit.MarkUnreachable(ms...)
				fault(k, ms)
			})
		})
	}
}

// Shards change owners while their machines are drained.
func TestDrainWhileShardsChangeOwners(t *testing.T) {
	runDrainDuringFault(t, func(k *drainCluster) {
		k.awaitGrant()
		before := k.ownerOfTeam("wide")
		k.crash(before)
		k.awaitNewOwner("wide", before)
		k.awaitGrant()
		k.startMissing() // the shards return to their preferred owner
	})
}

// drainFaults are the faults that runRandomSchedule draws from. Each takes a while and ends. The
// order of the entries is part of every seed.
var drainFaults = []func(k *drainCluster, r *rand.Rand){
	func(k *drainCluster, r *rand.Rand) {
		label := k.labels[r.IntN(len(k.labels))]
		k.crash(label)
		k.world.Sleep(time.Duration(r.IntN(15000)) * time.Millisecond)
		k.start(label)
	},
	func(k *drainCluster, r *rand.Rand) {
		for _, label := range k.labels {
			k.crash(label)
		}
		k.world.Sleep(time.Duration(r.IntN(8000)) * time.Millisecond)
		k.startMissing()
	},
	func(k *drainCluster, r *rand.Rand) {
		k.world.State.Outage(true)
		k.world.Sleep(time.Duration(r.IntN(20000)) * time.Millisecond)
		k.world.State.Outage(false)
	},
	func(k *drainCluster, r *rand.Rand) {
		heal := k.isolate(k.labels[r.IntN(len(k.labels))])
		k.world.Sleep(time.Duration(r.IntN(20000)) * time.Millisecond)
		heal()
	},
	func(k *drainCluster, r *rand.Rand) {
		ms := k.world.Machines()
		ms[r.IntN(len(ms))].Die()
	},
	func(k *drainCluster, r *rand.Rand) {
		ms := k.world.Machines()
		m := ms[r.IntN(len(ms))]
		m.Hang(true)
		k.world.Sleep(time.Duration(r.IntN(30000)) * time.Millisecond)
		m.Hang(false)
	},
	func(k *drainCluster, r *rand.Rand) {
		k.world.State.InjectTxnFaults(func(_ string, w wire.Txn) testkit.TxnFault {
			switch {
			case !writes(w, drain.Prefix) || r.IntN(2) == 0:
				return testkit.TxnFault{}
			case r.IntN(2) == 0:
				return testkit.TxnFault{AnswerLost: true}
			}
			return testkit.TxnFault{Delay: time.Duration(r.IntN(20000)) * time.Millisecond}
		})
		k.world.Sleep(30 * time.Second)
		k.world.State.InjectTxnFaults(nil)
	},
	func(k *drainCluster, r *rand.Rand) {
		earlier := k.heartbeats()
		k.world.Sleep(time.Duration(r.IntN(20000)) * time.Millisecond)
		k.replayHeartbeats(earlier)
	},
}

// drainSeeds is how many seeds TestDrainBudgetsHoldInAnySchedule runs on each layout.
const drainSeeds = 6

// Two drains overlap while faults drawn by seed follow each other. No team may ever be interrupted
// beyond its budget, and both drains must finish.
func TestDrainBudgetsHoldInAnySchedule(t *testing.T) {
	for name, l := range layouts {
		for seed := range uint64(drainSeeds) {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				variant := drainLayout{layout: l(seed + 1), limit: drainBudget}
				variant.shardsByHash = seed%2 == 1 // the jobs of a team belong to several owners
				runDrainScript(t, variant, func(k *drainCluster) { k.runRandomSchedule(rand.New(rand.NewPCG(seed, 7))) })
			})
		}
	}
}

// runRandomSchedule runs two drains during six faults drawn from drainFaults.
func (k *drainCluster) runRandomSchedule(r *rand.Rand) {
	k.t.Helper()
	k.loadEvenly()
	k.submit(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 4 }), longRun)
	k.requestDrain("types", func(p *drain.Plan) { p.Selector.Types, p.MaxConcurrent = []string{"big"}, 3 })
	k.requestDrain("zone", func(p *drain.Plan) { p.Selector.Zones, p.MaxConcurrent = []string{"a"}, 3 })
	for range 6 {
		time.Sleep(time.Duration(2000+r.IntN(25000)) * time.Millisecond)
		k.scriptLog = append(k.scriptLog, time.Now().Format("15:04:05"))
		drainFaults[r.IntN(len(drainFaults))](k, r)
	}
	k.world.ClearFaults()
	k.startMissing()
	for _, name := range []string{"types", "zone"} {
		k.awaitFinished(name, 2*time.Hour)
	}
	k.requireOccurred(k.grantedEvictions() > 0, "work is evicted")
}

// Owners of several shards that hold the work of one team decide on the same record at the same
// moment, while each sees the writes of the others late. At most one may take the last grant.
func TestDrainOwnersDecideTogether(t *testing.T) {
	for name, l := range layouts {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				variant := drainLayout{layout: l(seed + 1), limit: drainBudget}
				variant.shardsByHash = true
				runDrainScript(t, variant, func(k *drainCluster) {
					const jobs = 6
					for i := range jobs {
						k.submit(spec(ref(firstFreeJob+i), "wide", func(s *wire.Spec) { s.Tasks, s.EstimateS = 2, 5 }), longRun)
					}
					for i := range jobs {
						k.awaitRunning(ref(firstFreeJob+i), 2)
					}
					k.world.State.Slow(600 * time.Millisecond)
					k.requestDrain("all", func(p *drain.Plan) { p.Selector.Types, p.MaxConcurrent = []string{"big"}, 6 })
					k.awaitGrant()
					time.Sleep(6 * time.Minute)
					k.world.State.Slow(0)
					k.awaitFinished("all", time.Hour)
				})
			})
		}
	}
}
