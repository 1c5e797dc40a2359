package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Every team is at its limit while jobs are cancelled whose machines are partitioned, hang, cannot
// call controllers or cannot be called, and the leader and the owner crash.
func TestLimitWithLostMachinesAndNewLeader(t *testing.T) {
	for name, fault := range map[string]func(*cluster, []*testkit.Agent) (heal func()){
		"cut": func(k *cluster, ms []*testkit.Agent) func() {
			return k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(matchAgents(ms), testkit.AnyEndpoint)})
		},
		"held": func(k *cluster, ms []*testkit.Agent) func() {
			return k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(matchAgents(ms), testkit.AnyEndpoint), Hold: true})
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
		"mute": func(k *cluster, ms []*testkit.Agent) func() { return k.blockCallsFrom(matchAgents(ms)) },
		"deaf": func(k *cluster, ms []*testkit.Agent) func() { return k.dropMessagesTo(matchAgents(ms)) },
	} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				on := k.world.MachinesOf(ref(limitJob))
				heal := fault(k, on)
				confirmed := k.cancelAll(limitJob)
				k.submitInBackground(spec(ref(firstFreeJob), "tight", func(s *wire.Spec) { s.Tasks = teamLimit }), shortRun)
				owner, leader := k.ownerOfTeam("tight"), k.leader()
				k.crash(owner)
				k.crash(leader)
				time.Sleep(k.timing.Lease * 3 / 4)
				heal()
				k.requireOccurred(k.ownerOfTeam("tight") != owner || k.params.Count == 1, "the shard has another owner")
				for _, l := range []string{owner, leader} {
					if k.process(l) == nil {
						k.start(l)
					}
				}
				k.await(k.timing.Cancel+60*time.Second, "the cancellation", confirmed)
				k.await(2*time.Minute, "the team's next job", func() bool { return k.world.LastState(ref(firstFreeJob)) == wire.Done })
			})
		})
	}
}

// The leader restarts ten times in two minutes, also during an outage of the state service.
func TestTenLeaders(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage-%t", outage), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				leaders, last := 0, ""
				for n := range 10 {
					k.submitInBackground(spec(ref(firstFreeJob+n), "wide", nil), shortRun)
					if n%3 == 0 {
						k.cancel(ref(firstFreeJob + n))
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
					// Every other restart takes a fraction of a second.
					k.crash(label)
					time.Sleep([]time.Duration{200 * time.Millisecond, 6 * time.Second}[n%2])
					k.start(label)
					time.Sleep(6 * time.Second)
				}
				k.requireOccurred(leaders >= 3, "several leaders")
			})
		})
	}
}

// Shards are transferred and transferred back, all controllers crash, and one returns ahead of the
// others: within a second, within seconds, and after longer than the lease.
func TestAllEndAndReturn(t *testing.T) {
	for _, away := range []time.Duration{300 * time.Millisecond, 5 * time.Second, 50 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				confirmed := k.cancelAll(arrayJob, limitJob)
				first := k.ownerOfTeam("wide")
				k.restart(first, time.Second)
				for _, l := range k.labels {
					k.crash(l)
				}
				time.Sleep(away)
				k.start(k.labelsExcept(first)[0])
				time.Sleep(away / 2)
				k.startMissing()
				k.submitInBackground(spec(ref(firstFreeJob), "tight", func(s *wire.Spec) { s.Tasks = 2 }), shortRun)
				k.await(k.timing.Cancel+k.timing.Lease+30*time.Second, "the cancellations", confirmed)
			})
		})
	}
}

// An owner, which may be the leader, crashes while machines with long tasks cannot be reached,
// cannot call controllers, or do not receive the answers of the new owner.
func TestOwnerEndsWhileMachinesAreOutOfReach(t *testing.T) {
	for name, fault := range map[string]func(*cluster, func(string) bool) func(){
		"unreachable": func(k *cluster, machines func(string) bool) func() {
			return k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(machines, testkit.AnyEndpoint)})
		},
		"deaf": (*cluster).dropMessagesTo,
		"mute": (*cluster).blockCallsFrom,
	} {
		t.Run(name, func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				on := k.world.MachinesOf(ref(arrayJob))
				owner := k.ownerOfTeam("wide")
				heal := fault(k, matchAgents(on))
				k.crash(owner)
				k.submitInBackground(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 4 }), shortRun)
				newOwner := k.awaitNewOwner("wide", owner)
				k.requireOccurred(newOwner != owner, "another owner")
				time.Sleep(k.timing.Lease / 2)
				confirmed := k.cancelAll(arrayJob)
				time.Sleep(k.timing.Lease)
				heal()
				k.start(owner)
				k.await(k.timing.Cancel+30*time.Second, "the cancellation", confirmed)
			})
		})
	}
}

// Jobs are cancelled in the seconds in which their shard passes to another owner.
func TestCancelWhileAShardIsTransferred(t *testing.T) {
	for _, lag := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 4800 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				owner := k.ownerOfTeam("wide")
				k.submitInBackground(spec(ref(firstFreeJob), "wide", func(s *wire.Spec) { s.Tasks = 3 }), longRun)
				time.Sleep(200 * time.Millisecond)
				k.crash(owner)
				time.Sleep(lag)
				confirmed := k.cancelAll(arrayJob, gangJob, firstFreeJob)
				newOwner := k.awaitNewOwner("wide", owner)
				k.requireOccurred(newOwner != owner, "another owner")
				k.start(owner)
				k.await(k.timing.Cancel, "the cancellations", confirmed)
			})
		})
	}
}

// The tasks of jobs with two or three tasks end at times far apart, while their shard changes
// owners twice.
func TestTasksEndAcrossAChangeOfOwner(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		for i := range 6 {
			n := firstFreeJob + i
			k.submit(spec(ref(n), "wide", func(s *wire.Spec) { s.Tasks = 2 + i%2 }), testkit.JobDurations{Run: time.Duration(6+3*i) * time.Second, Fetch: time.Duration(i) * time.Second})
		}
		time.Sleep(8 * time.Second)
		for range 2 {
			owner := k.ownerOfTeam("wide")
			k.crash(owner)
			k.awaitNewOwner("wide", owner)
			time.Sleep(3 * time.Second)
			k.start(owner)
		}
		for i := range 6 {
			k.await(2*time.Minute, ref(firstFreeJob+i)+" done", func() bool { return k.world.LastState(ref(firstFreeJob+i)) == wire.Done })
		}
	})
}

// A controller restarts within a fraction of a second, and a copy of a write of its last process
// arrives late: the member record with the older lease replaces the newer one. Guards against
// taking the controller for dead from then on.
func TestMemberRecordOfTheLastProcessComesLate(t *testing.T) {
	runOnAllLayouts(t, func(k *cluster) {
		k.load()
		for _, label := range k.labels {
			before := k.world.State.Writes()
			k.restart(label, 200*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			applied := false
			for _, w := range slices.Backward(before) {
				if writes(w.Txn, record.MemberPrefix+label) {
					applied = k.world.State.Repeat(w) == nil
					break
				}
			}
			k.requireOccurred(applied, "the late write is applied, as the older lease is still valid")
			time.Sleep(15 * time.Second)
			var m record.Member
			e, ok := k.world.State.Entry(record.MemberPrefix + label)
			if ok {
				if err := json.Unmarshal(e.Value, &m); err != nil {
					k.t.Fatal(err)
				}
			}
			p := k.process(label)
			p.c.mu.Lock()
			incarnation := p.c.lease.Current().Incarnation
			p.c.mu.Unlock()
			if !ok || m.Incarnation != incarnation {
				k.t.Errorf("%s: member record found is %t, of incarnation %d, want %d", label, ok, m.Incarnation, incarnation)
			}
		}
		k.submit(spec(ref(firstFreeJob), "wide", nil), shortRun)
		k.awaitRunning(ref(firstFreeJob), 1)
	})
}
