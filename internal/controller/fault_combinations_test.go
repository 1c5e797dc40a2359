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

// Each test in the files fault_combinations*_test.go combines two or more faults, as
// docs/meetings.md lists them, and asserts that they coincided. The checker verifies the rules
// of the protocol.

// Without faults every job runs and ends, and its user is told its state. Shows that the harness
// works.
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
			if got := k.world.LastState(ref(n)); got != want {
				k.t.Errorf("the user of %s is told %q, want %q", ref(n), got, want)
			}
		}
	})
}

// refusedAloneThenOutage makes the state service refuse only the owner of the jobs' shard, which
// is the leader where possible. Another controller confirms cancellations, and outageAfter the
// refusal the state service is down for all, for longer than a cancelled task may live. before is
// called with the owner ahead of the refusal; nil does nothing.
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
	confirmedEarly := confirmed()
	k.world.State.Outage(true)
	outageBegan := time.Now()
	time.Sleep(14*time.Second - outageAfter%(14*time.Second))
	k.world.State.Refuse(owner, false)
	time.Sleep(time.Until(outageBegan.Add(k.timing.Cancel + 20*time.Second)))
	k.world.State.Outage(false)
	k.requireOccurred(outageAfter < 10*time.Second || confirmedEarly, "another controller confirms before the outage")
	k.await(k.timing.Lease+30*time.Second, "the cancellations after the outage", confirmed)
}

// outageDelays are the times from the refusal to the outage: none, before and after the lease of
// the refused owner expires and its shard has another owner, and long after.
var outageDelays = []time.Duration{0, 200 * time.Millisecond, 2 * time.Second, 4500 * time.Millisecond, 6 * time.Second, 13 * time.Second}

// The state service refuses the owner alone and is then down for all, while jobs are cancelled.
func TestRefusedAloneThenOutage(t *testing.T) {
	for _, d := range outageDelays {
		t.Run(d.String(), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) { refusedAloneThenOutage(k, d, nil) })
		})
	}
}

// The same while the machines of a cancelled job hang and resume during the outage.
func TestRefusedAloneThenOutageWithHungMachines(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		refusedAloneThenOutage(k, 6*time.Second, func(string) {
			for _, m := range k.world.MachinesOf(ref(arrayJob)) {
				m.Hang(true)
				k.world.Go(func() {
					k.world.Sleep(k.timing.Lease * 3 / 4)
					m.Hang(false)
				})
			}
		})
	})
}

// The same while late copies of heartbeats reach all controllers, before and during the outage.
func TestRefusedAloneThenOutageWithLateHeartbeats(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		refusedAloneThenOutage(k, 6*time.Second, func(string) {
			earlier := k.heartbeats()
			k.requireOccurred(len(earlier) > 0, "there are heartbeats to copy")
			for _, d := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second, 9 * time.Second, 30 * time.Second} {
				k.world.Go(func() {
					if k.world.Sleep(d) {
						k.replayHeartbeats(earlier)
					}
				})
			}
		})
	})
}

// The same while writes of placements get no answer or are applied late, so that a start is
// recorded, or about to be, when its job is cancelled.
func TestRefusedAloneThenOutageWithLateWrites(t *testing.T) {
	for name, fate := range map[string]testkit.TxnFault{"lost": {AnswerLost: true}, "late": {Delay: 5 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				var affected atomic.Bool
				refusedAloneThenOutage(k, 6*time.Second, func(owner string) {
					k.world.State.InjectTxnFaults(func(from string, w wire.Txn) testkit.TxnFault {
						if writes(w, record.PlacementsPrefix) {
							affected.Store(true)
							return fate
						}
						return testkit.TxnFault{}
					})
					k.submit(spec(ref(firstFreeJob+1), "wide", func(s *wire.Spec) { s.Tasks = 3 }), longRun)
					k.await(time.Minute, "a start's record without an answer", affected.Load)
					k.cancel(ref(firstFreeJob + 1))
				})
			})
		})
	}
}

// writes reports whether a transaction puts or deletes a key with a prefix.
func writes(t wire.Txn, prefix string) bool {
	return slices.ContainsFunc(t.Then, func(op wire.Op) bool { return strings.HasPrefix(op.Put+op.Delete, prefix) })
}

// The same while the network holds direct starts until the outage. They are delivered then, and
// carried out if their worker still accepts them.
func TestRefusedAloneThenOutageWithDelayedCommands(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		refusedAloneThenOutage(k, 6*time.Second, func(owner string) {
			heal := k.world.Net.AddPartition(&testkit.Partition{Match: func(from, to string) bool { return from == owner && k.isMachine(to) }, Hold: true})
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

// New machines boot within two seconds and get work at once while writes are applied late, and the
// leader and the owner crash.
func TestNewMachinesWhileWritesLag(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		k.world.SetBoot(time.Second, false)
		n := 0
		var late atomic.Int64
		k.world.State.InjectTxnFaults(func(_ string, w wire.Txn) testkit.TxnFault {
			if n++; len(w.Then) > 0 && n%4 == 0 && !writes(w, record.ClusterPrefix) {
				late.Add(1)
				return testkit.TxnFault{Delay: time.Duration(2+n%9) * time.Second}
			}
			return testkit.TxnFault{}
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
		k.world.State.InjectTxnFaults(nil)
	})
}

// A transaction without an answer is applied late, after newer ones of the same controller; or it
// is applied at once, and other controllers read what it wrote.
func TestTransactionsWithoutAnswer(t *testing.T) {
	for name, fate := range map[string]func(n int) testkit.TxnFault{
		"late":    func(n int) testkit.TxnFault { return testkit.TxnFault{Delay: time.Duration(2+n%11) * time.Second} },
		"at once": func(int) testkit.TxnFault { return testkit.TxnFault{AnswerLost: true} },
	} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				n, affected := map[string]int{}, map[string]int{}
				k.world.State.InjectTxnFaults(func(_ string, w wire.Txn) testkit.TxnFault {
					for _, p := range []string{record.ActiveJobPrefix, record.FinishedJobPrefix, record.PlacementsPrefix, record.FleetPrefix, record.ClusterPrefix} {
						if !writes(w, p) {
							continue
						}
						if n[p]++; n[p]%3 == 1 { // one in three writes of each kind
							affected[p]++
							return fate(n[p])
						}
					}
					return testkit.TxnFault{}
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
				k.world.State.InjectTxnFaults(nil)
				for _, p := range []string{record.ActiveJobPrefix, record.FinishedJobPrefix, record.PlacementsPrefix} {
					k.requireOccurred(affected[p] > 0, "writes of "+p+" without an answer")
				}
				k.await(k.timing.Cancel, "the cancellations", confirmed)
			})
		})
	}
}

// The state service answers slowly, then refuses the leader alone, then is down for all, while
// users cancel jobs and query their status.
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

// Jobs are cancelled within 20 ms of the moment from which the state service refuses the leader
// alone. A second later it is down for all, for longer than a cancelled task may live.
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

// The same as TestRefusedAloneThenOutage while a pipeline is cancelled, and a job on which another
// depends.
func TestRefusedAloneThenOutageWithPipelines(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		first, second := spec(ref(firstFreeJob+1), "wide", nil), spec(ref(firstFreeJob+2), "wide", nil)
		var pipelineCancelled func() bool
		refusedAloneThenOutage(k, 6*time.Second, func(string) {
			k.submitPipeline("pipe-000001", first, second, longRun)
			k.awaitRunning(first.Ref, 1)
			pipelineCancelled = k.cancelPipeline("pipe-000001", first.Ref, second.Ref)
		})
		k.await(k.timing.Cancel, "the cancellation of the pipeline", pipelineCancelled)
		k.await(k.timing.Cancel, "the cancellation of the job that depends on a cancelled one", func() bool { return k.world.LastState(ref(firstFreeJob)) == wire.Cancelled })
	})
}
