package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A zone with workers and a controller is cut off for longer than the lease, and
// some of what runs there is cancelled meanwhile.
func TestZoneCutBeyondLease(t *testing.T) {
	for _, hold := range []bool{false, true} {
		t.Run(fmt.Sprintf("hold-%t", hold), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				zone := k.world.On(ref(arrayJob))[0].Zone
				inside := k.inZone(zone)
				heal := k.isolateZone(zone, hold)
				confirmed := k.cancelAll(arrayJob, serviceJob)
				time.Sleep(k.timing.Lease + 10*time.Second)
				kept := 0
				for _, m := range k.world.Machines() {
					if inside(m.ID) && m.Session() == 1 && len(m.Tasks()) > 0 {
						kept++
					}
				}
				heal()
				k.requireOccurred(kept > 0, "machines in the zone keep their leases")
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// A worker's report is held back until a new owner has acted, and arrives there
// then; or old reports reach every controller just as the new owner begins.
func TestHeartbeatsReachNewOwnerLate(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				old := k.heartbeats()
				owner := k.ownerOfTeam("wide")
				confirmed := k.cancelAll(limitJob, serviceJob)
				k.crash(owner)
				k.submitInBackground(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 3 }), shortRun)
				next := k.awaitNewOwner("wide", owner)
				time.Sleep(after)
				k.replayHeartbeats(old)
				k.replayHeartbeats(k.heartbeats())
				time.Sleep(k.timing.Report)
				k.replayHeartbeats(old)
				k.requireOccurred(next != owner && len(old) > 0, "copies come to a new owner")
				k.start(owner)
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// Copies of reports of an earlier session and of earlier attempts come after newer ones.
func TestHeartbeatsOfEarlierIncarnations(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		on := k.awaitRunning(ref(arrayJob), 4)
		old := k.heartbeats()
		heal := k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(matchAgents(on), testkit.Anyone)})
		time.Sleep(k.timing.Lease + 2*time.Second)
		heal()
		time.Sleep(2 * k.timing.Report)
		lost := slices.ContainsFunc(on, func(m *testkit.Agent) bool { return m.Session() > 1 || !slices.Contains(k.world.Machines(), m) })
		k.requireOccurred(lost, "a lease ran out, or the machines were given back")
		for range 3 {
			k.replayHeartbeats(old)
			k.cancel(ref(limitJob))
			time.Sleep(k.timing.Report / 2)
		}
	})
}

// There is more work than room, urgent and not, over links that hold messages up.
func TestMoreWorkThanCapacityOverSlowLinks(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		k.world.Boot(5*time.Second, true)
		k.world.Net.Slow(700 * time.Millisecond)
		for i := range 12 {
			k.submitInBackground(spec(ref(firstFreeJob+i), []string{"wide", "other"}[i%2], func(s *wire.Spec) {
				s.Priority = []string{"low", "normal", "urgent", "prod"}[i%4]
				s.Tasks = 1 + i%3
				if i%5 == 0 {
					gang(2)(s)
				}
			}), shortRun)
		}
		time.Sleep(20 * time.Second)
		confirmed := k.cancelAll(firstFreeJob, firstFreeJob+1, arrayJob)
		time.Sleep(40 * time.Second)
		k.world.Net.Slow(0)
		k.world.Boot(5*time.Second, false)
		k.await(k.timing.Cancel, "the cancellations", confirmed)
	})
}

// A command or its answer is held up for seconds, and the machine then goes on.
func TestDelayedCommands(t *testing.T) {
	for name, match := range map[string]func(k *cluster, ids func(string) bool) func(from, to string) bool{
		"command": func(k *cluster, ids func(string) bool) func(from, to string) bool {
			return func(from, to string) bool { return k.isController(from) && ids(to) }
		},
		"answer": func(k *cluster, ids func(string) bool) func(from, to string) bool {
			return func(from, to string) bool { return k.isController(to) && ids(from) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				all := k.world.Machines()
				heal := k.world.Net.Cut(&testkit.Cut{Match: match(k, matchAgents(all)), Hold: true})
				k.submitInBackground(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 3 }), longRun)
				confirmed := k.cancelAll(arrayJob, limitJob)
				time.Sleep(3 * time.Second)
				k.cancel(ref(firstFreeJob))
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

// A leader, or an owner, is cut from the state service and from the other
// controllers while workers and users still reach it, and jobs are cancelled through
// the others.
func TestIsolatedControllerKeepsWorkers(t *testing.T) {
	for name, who := range map[string]func(k *cluster) string{
		"leader": (*cluster).leader,
		"owner":  func(k *cluster) string { return k.ownerOfTeam("wide") },
	} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				cut := who(k)
				heal := k.isolate(cut)
				time.Sleep(time.Second)
				k.submitInBackground(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 2 }), shortRun)
				confirmed := k.cancelAll(arrayJob, limitJob, serviceJob)
				time.Sleep(k.timing.Lease + k.timing.Cancel)
				stood := k.process(cut) != nil
				heal()
				k.requireOccurred(stood && cut != "", "the controller lives on by itself")
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// Workers can't open connections to any controller while direct commands reach them.
func TestMachinesCannotCallControllers(t *testing.T) {
	for _, share := range []int{1, 2} {
		t.Run(fmt.Sprintf("one in %d", share), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				var muted []*testkit.Agent
				for i, m := range k.world.Machines() {
					if i%share == 0 {
						muted = append(muted, m)
					}
				}
				heal := k.blockCallsFrom(matchAgents(muted))
				k.submitInBackground(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 2 }), shortRun)
				confirmed := k.cancelAll(arrayJob, limitJob)
				time.Sleep(k.timing.Lease * 3 / 2)
				heal()
				k.requireOccurred(len(muted) > 0, "machines are mute")
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// A start that was sent straight to a worker is held up on its way, while the
// machine's reports and their answers pass, and comes after its job was cancelled:
// a report without the task must not count as proof that it is gone.
func TestDelayedDirectStarts(t *testing.T) {
	for name, change := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				owner := k.ownerOfTeam("wide")
				sent := 0
				heal := k.world.Net.Cut(&testkit.Cut{Hold: true, Requests: true, Match: func(from, to string) bool {
					held := from == owner && k.isMachine(to)
					if held {
						sent++
					}
					return held
				}})
				k.submitInBackground(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 3 }), longRun)
				time.Sleep(10 * time.Second)
				confirmed := k.cancelAll(firstFreeJob, arrayJob)
				if change {
					k.crash(owner)
				}
				time.Sleep(k.timing.Cancel / 2)
				heal()
				k.requireOccurred(sent > 0, "commands are held up")
				k.startMissing()
				k.await(k.timing.Cancel, "the cancellations", confirmed)
			})
		})
	}
}

// A controller loses its workers and the other controllers but not the state
// service: others take its parts over while it lives, and its workers may still run
// what it started last.
func TestIsolatedOwner(t *testing.T) {
	for _, hold := range []bool{false, true} {
		t.Run(fmt.Sprintf("hold-%t", hold), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				owner := k.ownerOfTeam("wide")
				heal := k.world.Net.Cut(&testkit.Cut{Hold: hold, Match: testkit.Between(testkit.Named(owner),
					func(n string) bool { return n != testkit.UsersEnd && n != testkit.CloudEnd })})
				k.submitInBackground(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 3 }), shortRun)
				confirmed := k.cancelAll(arrayJob, limitJob)
				next := k.awaitNewOwner("wide", owner)
				k.requireOccurred(k.process(owner) != nil && next != owner, "another owner while the first lives")
				time.Sleep(k.timing.Lease)
				heal()
				k.await(k.timing.Cancel+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}
