package controller

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Each test in the files meetings*_test.go brings two or more troubles together, as
// docs/meetings.md lists them, and asserts that they did meet; the checker verifies the
// rules of the protocol.

// A quiet day: everything runs, ends and is told. It shows that the harness serves.
func TestWithoutFaults(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		k.submit(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 4 }), shortRun)
		k.submit(spec(ref(firstFreeJob+1), "wide", gang(2)), shortRun)
		confirmed := k.cancelAll(arrayJob, serviceJob, limitJob)
		k.await(k.timing.Cancel, "the cancellations", confirmed)
		time.Sleep(90 * time.Second)
		for n, want := range map[int]string{arrayJob: wire.Cancelled, serviceJob: wire.Cancelled, limitJob: wire.Cancelled,
			firstFreeJob: wire.Done, firstFreeJob + 1: wire.Done} {
			if got := k.world.Told(ref(n)); got != want {
				k.t.Errorf("%s: %q, want %q", ref(n), got, want)
			}
		}
	})
}

// The refusedAloneThenOutage: the state service refuses the owner of the jobs' part alone, which leads
// where it can be so, another controller confirms cancellations, and then the
// service is down for all for longer than a cancelled task may live.
func refusedAloneThenOutage(k *cluster, outageAfter time.Duration, before func(owner string)) {
	k.load()
	k.submit(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.DependsOn = []string{ref(arrayJob)} }), shortRun)
	owner := k.ownerOfTeam(teamOf[arrayJob])
	if before != nil {
		before(owner)
	}
	k.world.State.Refuse(owner, true)
	confirmed := k.cancelAll(arrayJob, gangJob, serviceJob, limitJob)
	time.Sleep(outageAfter)
	early := confirmed()
	k.world.State.Outage(true)
	outage := time.Now()
	time.Sleep(14*time.Second - outageAfter%(14*time.Second))
	k.world.State.Refuse(owner, false)
	time.Sleep(time.Until(outage.Add(k.timing.Cancel + 20*time.Second)))
	k.world.State.Outage(false)
	k.requireOccurred(outageAfter < 10*time.Second || early, "another controller confirms before the outage")
	k.await(k.timing.Lease+30*time.Second, "the cancellations after the outage", confirmed)
}

// The offsets between the refusal's begin and the outage: at once, before and after
// the refused owner's lease ends and its part has another owner, and long after.
var outageDelays = []time.Duration{0, 200 * time.Millisecond, 2 * time.Second, 4500 * time.Millisecond, 6 * time.Second, 13 * time.Second}

func TestRefusedAloneThenOutage(t *testing.T) {
	for _, d := range outageDelays {
		t.Run(d.String(), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) { refusedAloneThenOutage(k, d, nil) })
		})
	}
}

// The same while the cancelled jobs' machines hang and go on within the outage.
func TestRefusedAloneThenOutageWithHungMachines(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		refusedAloneThenOutage(k, 6*time.Second, func(string) {
			for _, m := range k.world.On(ref(arrayJob)) {
				m.Hang(true)
				k.world.Go(func() {
					k.world.Sleep(k.timing.Lease * 3 / 4)
					m.Hang(false)
				})
			}
		})
	})
}

// The same while copies of reports come late, to all, within the outage and before.
func TestRefusedAloneThenOutageWithLateHeartbeats(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		refusedAloneThenOutage(k, 6*time.Second, func(string) {
			old := k.heartbeats()
			k.requireOccurred(len(old) > 0, "there are reports to copy")
			for _, d := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second, 9 * time.Second, 30 * time.Second} {
				k.world.Go(func() {
					if k.world.Sleep(d) {
						k.replayHeartbeats(old)
					}
				})
			}
		})
	})
}

// The same with starts whose record has no answer or comes late, so that a start is
// recorded, or on its way, as its job is cancelled.
func TestRefusedAloneThenOutageWithLateWrites(t *testing.T) {
	for name, fate := range map[string]testkit.Fate{"lost": {Lost: true}, "late": {Late: 5 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				var met atomic.Bool
				refusedAloneThenOutage(k, 6*time.Second, func(owner string) {
					k.world.State.Decide(func(from string, w wire.Txn) testkit.Fate {
						if writes(w, record.PlacementsPrefix) {
							met.Store(true)
							return fate
						}
						return testkit.Fate{}
					})
					k.submit(spec(ref(firstFreeJob+1), "wide", func(s *wire.Spec) { s.Tasks = 3 }), longRun)
					k.await(time.Minute, "a start's record without an answer", met.Load)
					k.cancel(ref(firstFreeJob + 1))
				})
			})
		})
	}
}

// writes reports whether a transaction writes a key with a prefix.
func writes(t wire.Txn, prefix string) bool {
	return slices.ContainsFunc(t.Then, func(op wire.Op) bool { return strings.HasPrefix(op.Put+op.Delete, prefix) })
}

// The same while direct starts are on their way: held by the network until the
// outage, and carried out then if their worker still takes them.
func TestRefusedAloneThenOutageWithDelayedCommands(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		refusedAloneThenOutage(k, 6*time.Second, func(owner string) {
			heal := k.world.Net.Cut(&testkit.Cut{Match: func(from, to string) bool { return from == owner && k.isMachine(to) }, Hold: true})
			k.submit(spec(ref(firstFreeJob+1), "wide", func(s *wire.Spec) { s.Tasks = 3 }), longRun)
			time.Sleep(500 * time.Millisecond)
			k.cancel(ref(firstFreeJob + 1))
			k.world.Go(func() {
				k.world.Sleep(11 * time.Second)
				heal()
			})
		})
	})
}

// New machines are up within two seconds and get work at once while writes lag, and
// the leader and the owner end.
func TestNewMachinesWhileWritesLag(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		k.world.Boot(time.Second, false)
		n := 0
		var late atomic.Int64
		k.world.State.Decide(func(_ string, w wire.Txn) testkit.Fate {
			if n++; len(w.Then) > 0 && n%4 == 0 && !writes(w, record.ClusterPrefix) {
				late.Add(1)
				return testkit.Fate{Late: time.Duration(2+n%9) * time.Second}
			}
			return testkit.Fate{}
		})
		before := len(k.world.Machines())
		for i := range 4 {
			k.submitInBackground(spec(ref(firstFreeJob+i), "other", gang(2)), shortRun)
		}
		time.Sleep(3 * time.Second)
		owner, leader := k.ownerOfTeam("other"), k.leader()
		k.crash(owner)
		k.crash(leader)
		time.Sleep(8 * time.Second)
		k.requireOccurred(len(k.world.Machines()) > before && late.Load() > 0, "machines come up while writes lag")
		k.startMissing()
		time.Sleep(20 * time.Second)
		k.world.State.Decide(nil)
	})
}

// A transaction without an answer is carried out late, after newer ones of the same
// controller; or at once, and others read what it wrote.
func TestTransactionsWithoutAnswer(t *testing.T) {
	for name, fate := range map[string]func(n int) testkit.Fate{
		"late":    func(n int) testkit.Fate { return testkit.Fate{Late: time.Duration(2+n%11) * time.Second} },
		"at once": func(int) testkit.Fate { return testkit.Fate{Lost: true} },
	} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				n, met := map[string]int{}, map[string]int{}
				k.world.State.Decide(func(_ string, w wire.Txn) testkit.Fate {
					for _, p := range []string{record.ActiveJobPrefix, record.FinishedJobPrefix, record.PlacementsPrefix, record.FleetPrefix, record.ClusterPrefix} {
						if !writes(w, p) {
							continue
						}
						if n[p]++; n[p]%3 == 1 { // of each kind of write one in three
							met[p]++
							return fate(n[p])
						}
					}
					return testkit.Fate{}
				})
				for i := range 12 {
					k.submitInBackground(spec(ref(firstFreeJob+i), []string{"wide", "tight", "other"}[i%3], func(s *wire.Spec) { s.Tasks = 1 + i%3 }), shortRun)
					if i%3 == 1 {
						k.cancel(ref(firstFreeJob + i))
					}
					if i == 6 {
						k.crash(k.ownerOfTeam("wide"))
					}
					time.Sleep(3 * time.Second)
				}
				confirmed := k.cancelAll(arrayJob, gangJob)
				k.startMissing()
				time.Sleep(30 * time.Second)
				k.world.State.Decide(nil)
				for _, p := range []string{record.ActiveJobPrefix, record.FinishedJobPrefix, record.PlacementsPrefix} {
					k.requireOccurred(met[p] > 0, "writes of "+p+" without an answer")
				}
				k.await(k.timing.Cancel, "the cancellations", confirmed)
			})
		})
	}
}

// The state service answers slowly, or refuses the leader alone and then everybody,
// while users cancel and ask.
func TestSlowStateWhileUsersCancel(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		k.world.State.Slow(900 * time.Millisecond)
		confirmed := k.cancelAll(arrayJob, gangJob)
		for i := range 6 {
			k.submitInBackground(spec(ref(firstFreeJob+i), "wide", nil), shortRun)
			if i%2 == 0 {
				k.cancel(ref(firstFreeJob + i))
			}
			time.Sleep(time.Second)
		}
		leader := k.leader()
		k.requireOccurred(leader != "", "there is a leader")
		k.world.State.Refuse(leader, true)
		time.Sleep(2 * time.Second)
		k.world.State.Outage(true)
		time.Sleep(k.timing.Cancel + 5*time.Second)
		k.world.State.Outage(false)
		k.world.State.Refuse(leader, false)
		k.world.State.Slow(0)
		k.await(k.timing.Cancel+20*time.Second, "the cancellations", confirmed)
	})
}

// Jobs are cancelled at the very moment at which the state service refuses the
// leader alone, and a second later it is out for longer than a cancelled task may live.
func TestCancelAsTheLeaderIsRefused(t *testing.T) {
	for _, d := range []time.Duration{-20 * time.Millisecond, 0, 20 * time.Millisecond} {
		t.Run(d.String(), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				leader := k.leader()
				k.requireOccurred(leader != "", "there is a leader")
				if d > 0 {
					k.world.State.Refuse(leader, true)
				}
				time.Sleep(max(d, 0))
				confirmed := k.cancelAll(arrayJob, gangJob, serviceJob, limitJob)
				time.Sleep(max(-d, 0))
				k.world.State.Refuse(leader, true)
				time.Sleep(time.Second)
				k.world.State.Outage(true)
				time.Sleep(k.timing.Cancel + 20*time.Second)
				k.world.State.Refuse(leader, false)
				k.world.State.Outage(false)
				k.await(k.timing.Lease+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// A pipeline is withdrawn, and a job that others need cancelled, across the gap.
func TestRefusedAloneThenOutageWithPipelines(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		first, second := spec(ref(firstFreeJob+1), "wide", nil), spec(ref(firstFreeJob+2), "wide", nil)
		var withdrawn func() bool
		refusedAloneThenOutage(k, 6*time.Second, func(string) {
			k.submitPipeline("pipe-000001", first, second, longRun)
			k.awaitRunning(first.Ref, 1)
			withdrawn = k.cancelPipeline("pipe-000001", first.Ref, second.Ref)
		})
		k.await(k.timing.Cancel, "the pipeline's end", withdrawn)
		k.await(k.timing.Cancel, "the end of what needs a cancelled job", func() bool { return k.world.Told(ref(firstFreeJob)) == wire.Cancelled })
	})
}
