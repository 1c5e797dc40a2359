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

// runDrainDuringFault drains all machines while something fails, and waits until the drain has
// come to its end all the same.
func runDrainDuringFault(t *testing.T, trouble func(k *drainCluster)) {
	t.Helper()
	runDrain(t, func(k *drainCluster) {
		k.loadEvenly()
		k.requestDrain("all", func(p *drain.Plan) { p.Selector.Types = []string{"big"} })
		trouble(k)
		k.awaitFinished("all", time.Hour)
	})
}

// awaitGrant waits until one more eviction is on record.
func (k *drainCluster) awaitGrant() {
	k.t.Helper()
	before := k.grantedEvictions()
	k.await(5*time.Minute, "a grant", func() bool { return k.grantedEvictions() > before })
}

// The owner, the leader or all end right after a grant is on record, before its order went
// out, and again while it is being carried out.
func TestDrainControllersEndAfterGrant(t *testing.T) {
	victims := map[string]func(k *drainCluster) []string{
		"owner":  func(k *drainCluster) []string { return []string{k.ownerOfTeam("wide")} },
		"leader": func(k *drainCluster) []string { return []string{k.leader()} },
		"all":    func(k *drainCluster) []string { return k.labels },
	}
	for name, victim := range victims {
		t.Run(name, func(t *testing.T) {
			runDrainDuringFault(t, func(k *drainCluster) {
				for _, back := range []time.Duration{200 * time.Millisecond, 12 * time.Second} {
					k.awaitGrant()
					for _, label := range victim(k) {
						k.crash(label)
					}
					time.Sleep(back)
					k.startMissing()
				}
			})
		})
	}
}

// The state service fails in the middle: for all, for an owner alone, and with writes of
// ledgers that get no answer or are carried out late.
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
	for name, fate := range map[string]testkit.Fate{"lost": {Lost: true}, "late": {Late: 7 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			runDrainDuringFault(t, func(k *drainCluster) {
				var n atomic.Int64
				k.world.State.Decide(func(_ string, w wire.Txn) testkit.Fate {
					if !writes(w, drain.LedgerPrefix) {
						return testkit.Fate{}
					}
					if n.Add(1)%2 == 1 {
						return fate
					}
					return testkit.Fate{}
				})
				k.awaitGrant()
				time.Sleep(2 * time.Minute)
				k.requireOccurred(n.Load() > 1, "writes of ledgers without an answer")
				k.world.State.Decide(nil)
			})
		})
	}
}

// Machines that are being drained can't be told, can't tell, hang, die or are taken back.
func TestDrainWhileMachinesFail(t *testing.T) {
	cordoned := func(k *drainCluster) []*testkit.Agent {
		k.await(time.Minute, "machines cordoned", func() bool { return len(k.cordons()) > 0 })
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
	troubles := map[string]func(k *drainCluster, ms []*testkit.Agent){
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
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			runDrainDuringFault(t, func(k *drainCluster) {
				ms := cordoned(k)
				testkit.Ail(ms...)
				trouble(k, ms)
			})
		})
	}
}

// Parts change owners while their machines are drained.
func TestDrainWhileShardsChangeOwners(t *testing.T) {
	runDrainDuringFault(t, func(k *drainCluster) {
		k.awaitGrant()
		before := k.ownerOfTeam("wide")
		k.crash(before)
		k.awaitNewOwner("wide", before)
		k.awaitGrant()
		k.startMissing() // and home again
	})
}

// drainFaults are what the schedules below choose from. Each takes a while and ends.
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
		k.world.State.Decide(func(_ string, w wire.Txn) testkit.Fate {
			switch {
			case !writes(w, drain.Prefix) || r.IntN(2) == 0:
				return testkit.Fate{}
			case r.IntN(2) == 0:
				return testkit.Fate{Lost: true}
			}
			return testkit.Fate{Late: time.Duration(r.IntN(20000)) * time.Millisecond}
		})
		k.world.Sleep(30 * time.Second)
		k.world.State.Decide(nil)
	},
	func(k *drainCluster, r *rand.Rand) {
		old := k.heartbeats()
		k.world.Sleep(time.Duration(r.IntN(20000)) * time.Millisecond)
		k.replayHeartbeats(old)
	},
}

// drainSeeds is how many schedules are played on each layout.
const drainSeeds = 6

// Two drains overlap while one trouble after the other comes, by seeds: no team is ever
// interrupted beyond its budget, and both come to their end.
func TestDrainBudgetsHoldInAnySchedule(t *testing.T) {
	for name, l := range layouts {
		for seed := range uint64(drainSeeds) {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				play := drainLayout{layout: l(seed + 1), limit: drainBudget}
				play.shardsByHash = seed%2 == 1 // a team's jobs are several owners'
				runDrainScript(t, play, func(k *drainCluster) { k.runRandomSchedule(rand.New(rand.NewPCG(seed, 7))) })
			})
		}
	}
}

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
	k.world.Mend()
	k.startMissing()
	for _, name := range []string{"types", "zone"} {
		k.awaitFinished(name, 2*time.Hour)
	}
	k.requireOccurred(k.grantedEvictions() > 0, "work is evicted")
}

// Owners of several parts that hold one team's work decide on the same record at the same
// moment, as each sees the others' writes late: at most one takes the last grant.
func TestDrainOwnersDecideTogether(t *testing.T) {
	for name, l := range layouts {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				play := drainLayout{layout: l(seed + 1), limit: drainBudget}
				play.shardsByHash = true
				runDrainScript(t, play, func(k *drainCluster) {
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
