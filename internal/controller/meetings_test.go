package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Each test below brings two or more troubles together, as docs/meetings.md lists
// them, and asserts that they did meet; the checker sees to the rules.

// A quiet day: everything runs, ends and is told. It shows that the harness serves.
func TestQuiet(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		k.submit(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 4 }), quick)
		k.submit(spec(ref(firstOwn+1), "wide", gang(2)), quick)
		confirmed := k.cancelAll(arrayJob, serviceJob, limitJob)
		k.await(k.timing.Cancel, "the cancellations", confirmed)
		time.Sleep(90 * time.Second)
		for n, want := range map[int]string{arrayJob: wire.Cancelled, serviceJob: wire.Cancelled, limitJob: wire.Cancelled,
			firstOwn: wire.Done, firstOwn + 1: wire.Done} {
			if got := k.world.Told(ref(n)); got != want {
				k.t.Errorf("%s: %q, want %q", ref(n), got, want)
			}
		}
	})
}

// The gap: the state service refuses the owner of the jobs' part alone, which leads
// where it can be so, another controller confirms cancellations, and then the
// service is down for all for longer than a cancelled task may live.
func gap(k *cluster, outageAfter time.Duration, before func(owner string)) {
	k.load()
	k.submit(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.DependsOn = []string{ref(arrayJob)} }), quick)
	owner := k.ownerOf(teamOf[arrayJob])
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
	k.happened(outageAfter < 10*time.Second || early, "another controller confirms before the outage")
	k.await(k.timing.Lease+30*time.Second, "the cancellations after the outage", confirmed)
}

// The offsets between the refusal's begin and the outage: at once, before and after
// the refused owner's lease ends and its part has another owner, and long after.
var gapOffsets = []time.Duration{0, 200 * time.Millisecond, 2 * time.Second, 4500 * time.Millisecond, 6 * time.Second, 13 * time.Second}

func TestRefusedAloneThenOutage(t *testing.T) {
	for _, d := range gapOffsets {
		t.Run(d.String(), func(t *testing.T) {
			meet(t, func(k *cluster) { gap(k, d, nil) })
		})
	}
}

// The same while the cancelled jobs' machines hang and go on within the outage.
func TestRefusedAloneThenOutageWithHungMachines(t *testing.T) {
	meet(t, func(k *cluster) {
		gap(k, 6*time.Second, func(string) {
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
func TestRefusedAloneThenOutageWithLateReports(t *testing.T) {
	meet(t, func(k *cluster) {
		gap(k, 6*time.Second, func(string) {
			old := k.reports()
			k.happened(len(old) > 0, "there are reports to copy")
			for _, d := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second, 9 * time.Second, 30 * time.Second} {
				k.world.Go(func() {
					if k.world.Sleep(d) {
						k.replay(old)
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
			meet(t, func(k *cluster) {
				var met atomic.Bool
				gap(k, 6*time.Second, func(owner string) {
					k.world.State.Decide(func(from string, w wire.Txn) testkit.Fate {
						if writes(w, record.SlotPrefix) {
							met.Store(true)
							return fate
						}
						return testkit.Fate{}
					})
					k.submit(spec(ref(firstOwn+1), "wide", func(s *wire.Spec) { s.Tasks = 3 }), long)
					k.await(time.Minute, "a start's record without an answer", met.Load)
					k.cancel(ref(firstOwn + 1))
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
func TestRefusedAloneThenOutageWithHeldCommands(t *testing.T) {
	meet(t, func(k *cluster) {
		gap(k, 6*time.Second, func(owner string) {
			heal := k.world.Net.Cut(&testkit.Cut{Match: func(from, to string) bool { return from == owner && k.machines(to) }, Hold: true})
			k.submit(spec(ref(firstOwn+1), "wide", func(s *wire.Spec) { s.Tasks = 3 }), long)
			time.Sleep(500 * time.Millisecond)
			k.cancel(ref(firstOwn + 1))
			k.world.Go(func() {
				k.world.Sleep(11 * time.Second)
				heal()
			})
		})
	})
}

// A zone with workers and a controller is cut off for longer than the lease, and
// some of what runs there is cancelled meanwhile.
func TestZoneCutBeyondLease(t *testing.T) {
	for _, hold := range []bool{false, true} {
		t.Run(fmt.Sprintf("hold-%t", hold), func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				zone := k.world.On(ref(arrayJob))[0].Zone
				inside := k.in(zone)
				heal := k.cutZone(zone, hold)
				confirmed := k.cancelAll(arrayJob, serviceJob)
				time.Sleep(k.timing.Lease + 10*time.Second)
				kept := 0
				for _, m := range k.world.Machines() {
					if inside(m.ID) && m.Session() == 1 && len(m.Tasks()) > 0 {
						kept++
					}
				}
				heal()
				k.happened(kept > 0, "machines in the zone keep their leases")
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// A worker's report is held back until a new owner has acted, and arrives there
// then; or old reports reach every controller just as the new owner begins.
func TestReportsReachNewOwnerLate(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				old := k.reports()
				owner := k.ownerOf("wide")
				confirmed := k.cancelAll(limitJob, serviceJob)
				k.crash(owner)
				k.submitLater(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 3 }), quick)
				next := k.successor("wide", owner)
				time.Sleep(after)
				k.replay(old)
				k.replay(k.reports())
				time.Sleep(k.timing.Report)
				k.replay(old)
				k.happened(next != owner && len(old) > 0, "copies come to a new owner")
				k.start(owner)
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// Copies of reports of an earlier session and of earlier attempts come after newer ones.
func TestReportsOfEarlierSessions(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		on := k.running(ref(arrayJob), 4)
		old := k.reports()
		heal := k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(ids(on), testkit.Anyone)})
		time.Sleep(k.timing.Lease + 2*time.Second)
		heal()
		time.Sleep(2 * k.timing.Report)
		lost := slices.ContainsFunc(on, func(m *testkit.Agent) bool { return m.Session() > 1 || !slices.Contains(k.world.Machines(), m) })
		k.happened(lost, "a lease ran out, or the machines were given back")
		for range 3 {
			k.replay(old)
			k.cancel(ref(limitJob))
			time.Sleep(k.timing.Report / 2)
		}
	})
}

// Every team is at its limit while jobs are cancelled whose machines are cut off or
// hang, or can't be asked, and the leader and the owner change.
func TestLimitWithLostMachinesAndNewLeader(t *testing.T) {
	for name, trouble := range map[string]func(*cluster, []*testkit.Agent) (over func()){
		"cut": func(k *cluster, ms []*testkit.Agent) func() {
			return k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(ids(ms), testkit.Anyone)})
		},
		"held": func(k *cluster, ms []*testkit.Agent) func() {
			return k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(ids(ms), testkit.Anyone), Hold: true})
		},
		"hang": func(k *cluster, ms []*testkit.Agent) func() {
			for _, m := range ms {
				m.Hang(true)
			}
			return func() {
				for _, m := range ms {
					m.Hang(false)
				}
			}
		},
		"mute": func(k *cluster, ms []*testkit.Agent) func() { return k.mute(ids(ms)) },
		"deaf": func(k *cluster, ms []*testkit.Agent) func() { return k.deaf(ids(ms)) },
	} {
		t.Run(name, func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				on := k.world.On(ref(limitJob))
				over := trouble(k, on)
				confirmed := k.cancelAll(limitJob)
				k.submitLater(spec(ref(firstOwn), "tight", func(s *wire.Spec) { s.Tasks = teamLimit }), quick)
				owner, leader := k.ownerOf("tight"), k.leader()
				k.crash(owner)
				k.crash(leader)
				time.Sleep(k.timing.Lease * 3 / 4)
				over()
				k.happened(k.ownerOf("tight") != owner || k.params.Count == 1, "the part has another owner")
				for _, l := range []string{owner, leader} {
					if k.process(l) == nil {
						k.start(l)
					}
				}
				k.await(k.timing.Cancel+60*time.Second, "the cancellation", confirmed)
				k.await(2*time.Minute, "the team's next job", func() bool { return k.world.Told(ref(firstOwn)) == wire.Done })
			})
		})
	}
}

// Leaders change ten times in two minutes, also inside an outage.
func TestTenLeaders(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage-%t", outage), func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				leaders, last := 0, ""
				for n := range 10 {
					k.submitLater(spec(ref(firstOwn+n), "wide", nil), quick)
					if n%3 == 0 {
						k.cancel(ref(firstOwn + n))
					}
					label := k.leader()
					if label == "" {
						label = k.labels[n%len(k.labels)]
					}
					if label != last {
						leaders++
					}
					last = label
					if outage && n == 4 {
						k.world.State.Outage(true)
					}
					if outage && n == 8 {
						k.world.State.Outage(false)
					}
					// Some are back within a fraction of a second.
					k.crash(label)
					time.Sleep([]time.Duration{200 * time.Millisecond, 6 * time.Second}[n%2])
					k.start(label)
					time.Sleep(6 * time.Second)
				}
				k.happened(leaders >= 3, "several leaders")
			})
		})
	}
}

// New machines are up within two seconds and get work at once while writes lag, and
// the leader and the owner end.
func TestNewMachinesWhileWritesLag(t *testing.T) {
	meet(t, func(k *cluster) {
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
			k.submitLater(spec(ref(firstOwn+i), "other", gang(2)), quick)
		}
		time.Sleep(3 * time.Second)
		owner, leader := k.ownerOf("other"), k.leader()
		k.crash(owner)
		k.crash(leader)
		time.Sleep(8 * time.Second)
		k.happened(len(k.world.Machines()) > before && late.Load() > 0, "machines come up while writes lag")
		k.restartMissing()
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
			meet(t, func(k *cluster) {
				k.load()
				n, met := map[string]int{}, map[string]int{}
				k.world.State.Decide(func(_ string, w wire.Txn) testkit.Fate {
					for _, p := range []string{record.OpenPrefix, record.JobPrefix, record.SlotPrefix, record.FleetPrefix, record.ClusterPrefix} {
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
					k.submitLater(spec(ref(firstOwn+i), []string{"wide", "tight", "other"}[i%3], func(s *wire.Spec) { s.Tasks = 1 + i%3 }), quick)
					if i%3 == 1 {
						k.cancel(ref(firstOwn + i))
					}
					if i == 6 {
						k.crash(k.ownerOf("wide"))
					}
					time.Sleep(3 * time.Second)
				}
				confirmed := k.cancelAll(arrayJob, gangJob)
				k.restartMissing()
				time.Sleep(30 * time.Second)
				k.world.State.Decide(nil)
				for _, p := range []string{record.OpenPrefix, record.JobPrefix, record.SlotPrefix} {
					k.happened(met[p] > 0, "writes of "+p+" without an answer")
				}
				k.await(k.timing.Cancel, "the cancellations", confirmed)
			})
		})
	}
}

// There is more work than room, urgent and not, over links that hold messages up.
func TestCrowdOverSlowLinks(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		k.world.Boot(5*time.Second, true)
		k.world.Net.Slow(700 * time.Millisecond)
		for i := range 12 {
			k.submitLater(spec(ref(firstOwn+i), []string{"wide", "other"}[i%2], func(s *wire.Spec) {
				s.Priority = []string{"low", "normal", "urgent", "prod"}[i%4]
				s.Tasks = 1 + i%3
				if i%5 == 0 {
					gang(2)(s)
				}
			}), quick)
		}
		time.Sleep(20 * time.Second)
		confirmed := k.cancelAll(firstOwn, firstOwn+1, arrayJob)
		time.Sleep(40 * time.Second)
		k.world.Net.Slow(0)
		k.world.Boot(5*time.Second, false)
		k.await(k.timing.Cancel, "the cancellations", confirmed)
	})
}

// The state service answers slowly, or refuses the leader alone and then everybody,
// while users cancel and ask.
func TestSlowStateWhileUsersCancel(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		k.world.State.Slow(900 * time.Millisecond)
		confirmed := k.cancelAll(arrayJob, gangJob)
		for i := range 6 {
			k.submitLater(spec(ref(firstOwn+i), "wide", nil), quick)
			if i%2 == 0 {
				k.cancel(ref(firstOwn + i))
			}
			time.Sleep(time.Second)
		}
		leader := k.leader()
		k.happened(leader != "", "there is a leader")
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

// One-task jobs come four a second for a minute, a quarter of them cancelled, some
// at the very moment of their end.
func TestManySmallJobs(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		var atEnd atomic.Int64
		k.world.OnEnd(func(ref string) {
			if ref[len(ref)-1]%4 == 3 {
				atEnd.Add(1)
				k.cancel(ref)
			}
		})
		for i := range 120 {
			n := firstOwn + i
			k.submitLater(spec(ref(n), []string{"wide", "other"}[i%2], func(s *wire.Spec) { s.CPUs, s.GPUs, s.MemoryGB = 1, 0, 2 }),
				testkit.Length{Run: 5 * time.Second, Fetch: time.Second})
			if i%4 == 0 {
				k.cancel(ref(n))
			}
			time.Sleep(250 * time.Millisecond)
			if i == 60 {
				k.restart(k.leader(), 300*time.Millisecond)
			}
		}
		time.Sleep(30 * time.Second)
		k.happened(atEnd.Load() > 0, "cancellations at the moment of the end")
	})
}

// Cancellations, questions and repeated submissions meet the end of a job's last
// task with no other trouble: users ask at all nodes within milliseconds after a
// job was accepted, ended or confirmed as cancelled.
func TestCloseLooks(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		var looks atomic.Int64
		look := func(s wire.Spec) {
			for _, label := range k.labels {
				for range 3 {
					looks.Add(1)
					k.world.Go(func() { k.world.Ask(testkit.Poll, label, s.Ref, nil) })
					k.world.Go(func() { k.world.Ask(testkit.Submission, label, s.Ref, encode(s)) })
					time.Sleep(3 * time.Millisecond)
				}
			}
		}
		specs := map[string]wire.Spec{}
		for i := range 9 {
			s := spec(ref(firstOwn+i), "wide", func(s *wire.Spec) { s.Tasks = 1 + i%2 })
			specs[s.Ref] = s
		}
		k.world.OnEnd(func(ref string) {
			s, ok := specs[ref]
			if !ok {
				return
			}
			if ref[len(ref)-1]%2 == 0 {
				k.cancel(ref)
			}
			look(s)
			time.Sleep(time.Second)
			look(s)
		})
		for i := range 9 {
			s := specs[ref(firstOwn+i)]
			k.submit(s, testkit.Length{Run: 8 * time.Second, Fetch: time.Second})
			k.world.Go(func() { look(s) })
			if i%3 == 0 {
				confirmed := k.cancel(s.Ref)
				k.world.Go(func() {
					for !confirmed() {
						if !k.world.Sleep(time.Millisecond) {
							return
						}
					}
					look(s)
				})
			}
			time.Sleep(time.Second)
		}
		time.Sleep(30 * time.Second)
		k.happened(looks.Load() > 100, "users look closely")
	})
}

// Controllers hand over and back, all end, and one returns, also within a second;
// all are away for longer than the lease.
func TestAllEndAndReturn(t *testing.T) {
	for _, away := range []time.Duration{300 * time.Millisecond, 5 * time.Second, 50 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				confirmed := k.cancelAll(arrayJob, limitJob)
				first := k.ownerOf("wide")
				k.restart(first, time.Second)
				for _, l := range k.labels {
					k.crash(l)
				}
				time.Sleep(away)
				k.start(k.others(first)[0])
				time.Sleep(away / 2)
				k.restartMissing()
				k.submitLater(spec(ref(firstOwn), "tight", func(s *wire.Spec) { s.Tasks = 2 }), quick)
				k.await(k.timing.Cancel+k.timing.Lease+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// Jobs bound to one zone, arrays too, lose machines, and a gang a part of its own.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		zone := k.params.Zones[0]
		k.submit(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks, s.OneZone = 4, true }), long)
		k.submit(spec(ref(firstOwn+1), "other", func(s *wire.Spec) { s.Tasks, s.Zone = 3, &zone }), long)
		k.submit(spec(ref(firstOwn+2), "wide", func(s *wire.Spec) { gang(3)(s); s.Zone = &zone }), long)
		k.running(ref(firstOwn), 4)
		k.running(ref(firstOwn+1), 3)
		k.running(ref(firstOwn+2), 3)
		for i := range 3 {
			on := k.world.On(ref(firstOwn + i))
			on[0].Die()
			if i == 1 {
				k.crash(k.ownerOf("other"))
			}
			time.Sleep(k.timing.Report)
		}
		time.Sleep(20 * time.Second)
		k.restartMissing()
		k.running(ref(firstOwn), 4)
		k.running(ref(firstOwn+1), 3)
		k.running(ref(firstOwn+2), 3)
	})
}

// A leader and owner ends while machines with long tasks can't be reached, or don't
// hear the new owner's answers.
func TestOwnerEndsWhileMachinesAreOutOfReach(t *testing.T) {
	for name, trouble := range map[string]func(*cluster, func(string) bool) func(){
		"unreachable": func(k *cluster, ids func(string) bool) func() {
			return k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(ids, testkit.Anyone)})
		},
		"deaf": (*cluster).deaf,
		"mute": (*cluster).mute,
	} {
		t.Run(name, func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				on := k.world.On(ref(arrayJob))
				owner := k.ownerOf("wide")
				over := trouble(k, ids(on))
				k.crash(owner)
				k.submitLater(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 4 }), quick)
				next := k.successor("wide", owner)
				k.happened(next != owner, "another owner")
				time.Sleep(k.timing.Lease / 2)
				confirmed := k.cancelAll(arrayJob)
				time.Sleep(k.timing.Lease)
				over()
				k.start(owner)
				k.await(k.timing.Cancel+30*time.Second, "the cancellation", confirmed)
			})
		})
	}
}

// Jobs are cancelled in the seconds in which one controller's work changes hands.
func TestCancelWhileAPartChangesHands(t *testing.T) {
	for _, lag := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 4800 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				owner := k.ownerOf("wide")
				k.submitLater(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 3 }), long)
				time.Sleep(200 * time.Millisecond)
				k.crash(owner)
				time.Sleep(lag)
				confirmed := k.cancelAll(arrayJob, gangJob, firstOwn)
				next := k.successor("wide", owner)
				k.happened(next != owner, "another owner")
				k.start(owner)
				k.await(k.timing.Cancel, "the cancellations", confirmed)
			})
		})
	}
}

// A command or its answer is held up for seconds, and the machine then goes on.
func TestCommandsHeldUp(t *testing.T) {
	for name, match := range map[string]func(k *cluster, ids func(string) bool) func(from, to string) bool{
		"command": func(k *cluster, ids func(string) bool) func(from, to string) bool {
			return func(from, to string) bool { return k.controllers(from) && ids(to) }
		},
		"answer": func(k *cluster, ids func(string) bool) func(from, to string) bool {
			return func(from, to string) bool { return k.controllers(to) && ids(from) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				all := k.world.Machines()
				heal := k.world.Net.Cut(&testkit.Cut{Match: match(k, ids(all)), Hold: true})
				k.submitLater(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 3 }), long)
				confirmed := k.cancelAll(arrayJob, limitJob)
				time.Sleep(3 * time.Second)
				k.cancel(ref(firstOwn))
				time.Sleep(3 * time.Second)
				heal()
				for _, m := range all[:len(all)/2] {
					m.Hang(true)
				}
				time.Sleep(4 * time.Second)
				for _, m := range all {
					m.Hang(false)
				}
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// Jobs of two or three tasks end far apart across a change of owner.
func TestTasksEndAcrossAChange(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		for i := range 6 {
			n := firstOwn + i
			k.submit(spec(ref(n), "wide", func(s *wire.Spec) { s.Tasks = 2 + i%2 }), testkit.Length{Run: time.Duration(6+3*i) * time.Second, Fetch: time.Duration(i) * time.Second})
		}
		time.Sleep(8 * time.Second)
		for range 2 {
			owner := k.ownerOf("wide")
			k.crash(owner)
			k.successor("wide", owner)
			time.Sleep(3 * time.Second)
			k.start(owner)
		}
		for i := range 6 {
			k.await(2*time.Minute, ref(firstOwn+i)+" done", func() bool { return k.world.Told(ref(firstOwn+i)) == wire.Done })
		}
	})
}

// Jobs are cancelled at the very moment at which the state service refuses the
// leader alone, and a second later it is out for longer than a cancelled task may live.
func TestCancelAsTheLeaderIsRefused(t *testing.T) {
	for _, d := range []time.Duration{-20 * time.Millisecond, 0, 20 * time.Millisecond} {
		t.Run(d.String(), func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				leader := k.leader()
				k.happened(leader != "", "there is a leader")
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

// A leader, or an owner, is cut from the state service and from the other
// controllers while workers and users still reach it, and jobs are cancelled through
// the others.
func TestIsolatedControllerKeepsWorkers(t *testing.T) {
	for name, who := range map[string]func(k *cluster) string{
		"leader": (*cluster).leader,
		"owner":  func(k *cluster) string { return k.ownerOf("wide") },
	} {
		t.Run(name, func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				cut := who(k)
				heal := k.isolate(cut)
				time.Sleep(time.Second)
				k.submitLater(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 2 }), quick)
				confirmed := k.cancelAll(arrayJob, limitJob, serviceJob)
				time.Sleep(k.timing.Lease + k.timing.Cancel)
				stood := k.process(cut) != nil
				heal()
				k.happened(stood && cut != "", "the controller lives on by itself")
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// Workers can't open connections to any controller while direct commands reach them.
func TestMuteMachines(t *testing.T) {
	for _, share := range []int{1, 2} {
		t.Run(fmt.Sprintf("one in %d", share), func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				var muted []*testkit.Agent
				for i, m := range k.world.Machines() {
					if i%share == 0 {
						muted = append(muted, m)
					}
				}
				heal := k.mute(ids(muted))
				k.submitLater(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 2 }), quick)
				confirmed := k.cancelAll(arrayJob, limitJob)
				time.Sleep(k.timing.Lease * 3 / 2)
				heal()
				k.happened(len(muted) > 0, "machines are mute")
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// submitLater submits a job beside the test, and follows it once it is accepted.
func (k *cluster) submitLater(s wire.Spec, l testkit.Length) {
	k.mu.Lock()
	k.refs = append(k.refs, s.Ref)
	k.mu.Unlock()
	k.world.Register(s, l)
	k.world.Go(func() {
		if _, ok := k.world.Until(testkit.Submission, s.Ref, encode(s), 5*time.Minute); ok {
			k.world.Follow(s.Ref)
		}
	})
}

// restartMissing starts every controller that has no process.
func (k *cluster) restartMissing() {
	for _, l := range k.labels {
		if k.process(l) == nil {
			k.start(l)
		}
	}
}

// A start that was sent straight to a worker is held up on its way, while the
// machine's reports and their answers pass, and comes after its job was cancelled:
// a report without the task must not count as proof that it is gone.
func TestDirectStartsHeldUp(t *testing.T) {
	for name, change := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				owner := k.ownerOf("wide")
				sent := 0
				heal := k.world.Net.Cut(&testkit.Cut{Hold: true, Requests: true, Match: func(from, to string) bool {
					held := from == owner && k.machines(to)
					if held {
						sent++
					}
					return held
				}})
				k.submitLater(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 3 }), long)
				time.Sleep(10 * time.Second)
				confirmed := k.cancelAll(firstOwn, arrayJob)
				if change {
					k.crash(owner)
				}
				time.Sleep(k.timing.Cancel / 2)
				heal()
				k.happened(sent > 0, "commands are held up")
				k.restartMissing()
				k.await(k.timing.Cancel, "the cancellations", confirmed)
			})
		})
	}
}

// A controller loses its workers and the other controllers but not the state
// service: others take its parts over while it lives, and its workers may still run
// what it started last.
func TestDeafOwner(t *testing.T) {
	for _, hold := range []bool{false, true} {
		t.Run(fmt.Sprintf("hold-%t", hold), func(t *testing.T) {
			meet(t, func(k *cluster) {
				k.load()
				owner := k.ownerOf("wide")
				heal := k.world.Net.Cut(&testkit.Cut{Hold: hold, Match: testkit.Between(testkit.Named(owner),
					func(n string) bool { return n != testkit.UsersEnd && n != testkit.CloudEnd })})
				k.submitLater(spec(ref(firstOwn), "wide", func(s *wire.Spec) { s.Tasks = 3 }), quick)
				confirmed := k.cancelAll(arrayJob, limitJob)
				next := k.successor("wide", owner)
				k.happened(k.process(owner) != nil && next != owner, "another owner while the first lives")
				time.Sleep(k.timing.Lease)
				heal()
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// A pipeline is withdrawn, and a job that others need cancelled, across the gap.
func TestRefusedAloneThenOutageWithPipelines(t *testing.T) {
	meet(t, func(k *cluster) {
		first, second := spec(ref(firstOwn+1), "wide", nil), spec(ref(firstOwn+2), "wide", nil)
		var withdrawn func() bool
		gap(k, 6*time.Second, func(string) {
			k.submitPipeline("pipe-000001", first, second, long)
			k.running(first.Ref, 1)
			withdrawn = k.withdrawPipeline("pipe-000001", first.Ref, second.Ref)
		})
		k.await(k.timing.Cancel, "the pipeline's end", withdrawn)
		k.await(k.timing.Cancel, "the end of what needs a cancelled job", func() bool { return k.world.Told(ref(firstOwn)) == wire.Cancelled })
	})
}

// A cancellation whose tasks can be ended is answered so at the first try, and one
// whose tasks can't at once with when to come again: no answer is held for that.
func TestCancellationsAreAnsweredAtOnce(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		on := k.world.On(ref(arrayJob))
		for _, m := range on {
			m.Hang(true)
		}
		asked := time.Now()
		status, _ := k.world.Ask(testkit.Cancellation, k.labels[0], ref(arrayJob), nil)
		if took := time.Since(asked); status != 503 || took > endWait+100*time.Millisecond {
			k.t.Errorf("with hanging machines: %d after %v", status, took)
		}
		for _, m := range on {
			m.Hang(false)
		}
		status, state := k.world.Ask(testkit.Cancellation, k.ownerOf("other"), ref(serviceJob), nil)
		if status != 200 || state != wire.Cancelled {
			k.t.Errorf("with machines that answer: %d %s", status, state)
		}
		k.await(k.timing.Cancel, "the first cancellation", k.cancel(ref(arrayJob)))
	})
}

// Users send what can't be taken, and repeat and cancel what is over, also at
// controllers that have just begun and without the state service.
func TestOddRequests(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		k.submit(spec(ref(firstOwn), "wide", nil), testkit.Length{Run: time.Second, Fetch: time.Second})
		k.await(time.Minute, "the first job", func() bool { return k.world.Told(ref(firstOwn)) == wire.Done })
		odd := func() {
			for _, label := range k.labels {
				for what, x := range map[string]struct {
					body []byte
					want int
				}{
					"a job without a team":          {without(spec("run-000901", "wide", nil), "keeper"), 400},
					"a job of an unknown team":      {encode(spec("run-000902", "nobody", nil)), 422},
					"a job that fits no machine":    {encode(spec("run-000903", "wide", func(s *wire.Spec) { s.CPUs = 17 })), 422},
					"a gang above its team's limit": {encode(spec("run-000904", "tight", func(s *wire.Spec) { gang(2)(s); s.Tasks = 3 })), 422},
					"a job in an unknown zone":      {encode(spec("run-000905", "wide", func(s *wire.Spec) { z := "nowhere"; s.Zone = &z })), 422},
					"no JSON":                       {[]byte("{"), 400},
				} {
					status, _ := k.world.Ask(testkit.Submission, label, "run-000900", x.body)
					k.check.BadInput(what, status, x.want)
				}
				for _, kind := range []testkit.Request{testkit.Poll, testkit.Cancellation} {
					status, _ := k.world.Ask(kind, label, "run-000999", nil)
					k.check.BadInput("a request about an unknown job", status, 404)
				}
				for range 2 {
					k.world.Ask(testkit.Submission, label, ref(firstOwn), encode(spec(ref(firstOwn), "wide", nil)))
					k.world.Ask(testkit.Submission, label, ref(arrayJob), encode(spec(ref(arrayJob), "wide", nil)))
					if status, state := k.world.Ask(testkit.Cancellation, label, ref(firstOwn), nil); status == 200 && state != wire.Done {
						k.t.Errorf("the cancellation of a done job is answered %s", state)
					}
				}
			}
		}
		odd()
		leader := k.leader()
		k.crash(leader)
		k.start(leader)
		odd() // it doesn't know the machine types yet
		k.world.State.Outage(true)
		odd()
		k.crash(leader)
		k.start(leader)
		odd()
		time.Sleep(10 * time.Second)
		k.world.State.Outage(false)
		odd()
	})
}

// without encodes a specification without one of its fields.
func without(s wire.Spec, field string) []byte {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(encode(s), &m); err != nil {
		panic(err)
	}
	delete(m, field)
	return record.Encode(m)
}

// submitPipeline submits two jobs of which the second follows the first.
func (k *cluster) submitPipeline(name string, first, second wire.Spec, l testkit.Length) {
	k.t.Helper()
	k.world.Register(first, l)
	after := second
	after.DependsOn = []string{first.Ref} // as the checker is to see it
	k.world.Register(after, l)
	p := wire.Pipeline{Ref: name, Jobs: []json.RawMessage{encode(first), encode(second)},
		Links: []wire.Link{{From: []string{first.Ref}, To: []string{second.Ref}}}, Choices: []wire.Choice{}}
	k.await(time.Minute, name+" accepted", func() bool {
		status, _, _ := k.process(k.labels[0]).Handle("POST", wire.PipelinesPath, record.Encode(p))
		return status == 200 || status == 201
	})
	k.refs = append(k.refs, first.Ref, second.Ref)
	k.world.Follow(first.Ref)
	k.world.Follow(second.Ref)
}

// withdrawPipeline asks for a pipeline's end until that is confirmed.
func (k *cluster) withdrawPipeline(name string, refs ...string) (confirmed func() bool) {
	for _, r := range refs {
		k.check.Cancel(r)
	}
	var done atomic.Bool
	k.world.Go(func() {
		for i := 0; !done.Load(); i++ {
			if p := k.process(k.labels[i%len(k.labels)]); p != nil {
				asked := time.Now()
				if status, _, _ := p.Handle("POST", wire.PipelinesPath+"/"+name+"/"+wire.CancelWord, nil); status == 200 {
					for _, r := range refs {
						k.check.Answer(testkit.Cancellation, r, asked, time.Now(), status, wire.Cancelled)
					}
					done.Store(true)
				}
			}
			if !k.world.Sleep(time.Second) {
				return
			}
		}
	})
	return done.Load
}

// A process is back within a fraction of a second, and a copy of a write of the one
// before it comes late: its member record, which goes with the older lease, replaces
// the newer one. The controller must not be taken for dead for ever.
func TestMemberRecordOfTheLastProcessComesLate(t *testing.T) {
	meet(t, func(k *cluster) {
		k.load()
		for _, label := range k.labels {
			before := k.world.State.Writes()
			k.restart(label, 200*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			came := false
			for _, w := range slices.Backward(before) {
				if writes(w.Txn, record.MemberPrefix+label) {
					came = k.world.State.Repeat(w) == nil
					break
				}
			}
			k.happened(came, "the older lease still stands")
			time.Sleep(15 * time.Second)
			var m record.Member
			e, ok := k.world.State.Entry(record.MemberPrefix + label)
			if ok {
				if err := decode(e.Value, &m); err != nil {
					k.t.Fatal(err)
				}
			}
			p := k.process(label)
			p.c.mu.Lock()
			inc := p.c.inc
			p.c.mu.Unlock()
			if !ok || m.Inc != inc {
				k.t.Errorf("%s: recorded %t as incarnation %d, is %d", label, ok, m.Inc, inc)
			}
		}
		k.submit(spec(ref(firstOwn), "wide", nil), quick)
		k.running(ref(firstOwn), 1)
	})
}
