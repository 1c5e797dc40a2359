package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// faults are what TestTroublesByChance draws from. begin injects a fault and returns what ends it,
// nil if nothing does. The order of the entries is part of every seed.
var faults = []struct {
	name  string
	begin func(k *cluster, r *rand.Rand) (heal func())
}{
	{"owner ends", func(k *cluster, r *rand.Rand) func() { return k.crashUntilRestart(k.owner(r.IntN(k.params.Count))) }},
	{"leader ends", func(k *cluster, _ *rand.Rand) func() { return k.crashUntilRestart(k.leader()) }},
	{"all end", func(k *cluster, _ *rand.Rand) func() {
		for _, l := range k.labels {
			k.crash(l)
		}
		return k.startMissing
	}},
	{"quick restart", func(k *cluster, r *rand.Rand) func() {
		k.crash(k.labels[r.IntN(len(k.labels))])
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		k.startMissing()
		return nil
	}},
	{"refused alone", func(k *cluster, r *rand.Rand) func() {
		l := k.labels[r.IntN(len(k.labels))]
		if lead := k.leader(); lead != "" && r.IntN(2) == 0 {
			l = lead
		}
		k.world.State.Refuse(l, true)
		return func() { k.world.State.Refuse(l, false) }
	}},
	{"outage", func(k *cluster, _ *rand.Rand) func() {
		k.world.State.Outage(true)
		return func() { k.world.State.Outage(false) }
	}},
	{"zone cut", func(k *cluster, r *rand.Rand) func() {
		return k.isolateZone(k.params.Zones[r.IntN(len(k.params.Zones))], r.IntN(2) == 0)
	}},
	{"isolated", func(k *cluster, r *rand.Rand) func() { return k.isolate(k.labels[r.IntN(len(k.labels))]) }},
	{"deaf controller", func(k *cluster, r *rand.Rand) func() {
		l := k.labels[r.IntN(len(k.labels))]
		return k.world.Net.AddPartition(&testkit.Partition{Hold: r.IntN(2) == 0, Match: testkit.Between(testkit.Named(l),
			func(n string) bool { return n != testkit.UsersEndpoint && n != testkit.CloudEndpoint })})
	}},
	{"controllers apart", func(k *cluster, _ *rand.Rand) func() {
		return k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(k.isController, k.isController)})
	}},
	{"mute machines", func(k *cluster, r *rand.Rand) func() { return k.blockCallsFrom(matchAgents(k.randomMachines(r))) }},
	{"deaf machines", func(k *cluster, r *rand.Rand) func() { return k.dropMessagesTo(matchAgents(k.randomMachines(r))) }},
	{"machines cut off", func(k *cluster, r *rand.Rand) func() {
		return k.world.Net.AddPartition(&testkit.Partition{Hold: r.IntN(2) == 0, Match: testkit.Between(matchAgents(k.randomMachines(r)), testkit.AnyEndpoint)})
	}},
	{"machines hang", func(k *cluster, r *rand.Rand) func() {
		ms := k.randomMachines(r)
		for _, m := range ms {
			m.Hang(true)
		}
		return func() {
			for _, m := range ms {
				m.Hang(false)
			}
		}
	}},
	{"machines die", func(k *cluster, r *rand.Rand) func() {
		for _, m := range k.randomMachines(r) {
			m.Die()
		}
		return nil
	}},
	{"commands held", func(k *cluster, _ *rand.Rand) func() {
		return k.world.Net.AddPartition(&testkit.Partition{Hold: true, RequestsOnly: true, Match: func(from, to string) bool { return k.isController(from) && k.isMachine(to) }})
	}},
	{"late writes", func(k *cluster, r *rand.Rand) func() {
		n, every, lost := 0, 2+r.IntN(4), r.IntN(2) == 0
		k.world.State.InjectTxnFaults(func(string, wire.Txn) testkit.TxnFault {
			if n++; n%every != 0 {
				return testkit.TxnFault{}
			}
			return testkit.TxnFault{AnswerLost: lost, Delay: time.Duration(2+n%11) * time.Second}
		})
		return func() { k.world.State.InjectTxnFaults(nil) }
	}},
	{"late reports", func(k *cluster, r *rand.Rand) func() {
		earlier := k.heartbeats()
		return func() {
			k.replayHeartbeats(earlier)
		}
	}},
	{"slow network", func(k *cluster, r *rand.Rand) func() {
		k.world.Net.Slow(time.Duration(r.IntN(900)) * time.Millisecond)
		return func() { k.world.Net.Slow(0) }
	}},
	{"slow state service", func(k *cluster, r *rand.Rand) func() {
		k.world.State.Slow(time.Duration(r.IntN(900)) * time.Millisecond)
		return func() { k.world.State.Slow(0) }
	}},
	{"quick boots", func(k *cluster, _ *rand.Rand) func() {
		k.world.SetBoot(500*time.Millisecond, false)
		return nil
	}},
	{"no capacity", func(k *cluster, _ *rand.Rand) func() {
		k.world.SetBoot(5*time.Second, true)
		return func() { k.world.SetBoot(5*time.Second, false) }
	}},
}

// crashUntilRestart kills a controller, if one runs. The returned function starts all controllers
// that do not run.
func (k *cluster) crashUntilRestart(label string) (heal func()) {
	k.crash(label)
	return k.startMissing
}

// randomMachines returns each machine with a probability of one third.
func (k *cluster) randomMachines(r *rand.Rand) []*testkit.Agent {
	var out []*testkit.Agent
	for _, m := range k.world.Machines() {
		if r.IntN(3) == 0 {
			out = append(out, m)
		}
	}
	return out
}

// Faults of every kind are injected by chance, several at a time, while jobs of every kind are
// submitted and a third of them is cancelled. Guards against failures in combinations of faults
// that no other test lists.
func TestTroublesByChance(t *testing.T) {
	seeds := seedsToRun(t)
	for name, l := range layouts {
		for seed := seeds.first; seed <= seeds.last; seed++ {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				runScript(t, l(seed), func(k *cluster) { k.injectRandomFaults(rand.New(rand.NewPCG(seed-1, 7)), name == "far") })
			})
		}
	}
}

// injectRandomFaults injects faults for two minutes. far selects longer pauses between them.
func (k *cluster) injectRandomFaults(r *rand.Rand, far bool) {
	k.load()
	maxPause := 12 * time.Second
	if far {
		maxPause = 20 * time.Second
	}
	n := firstFreeJob
	var scriptLog []string
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); {
		fault := faults[r.IntN(len(faults))]
		scriptLog = append(scriptLog, fmt.Sprintf("%s %s", time.Now().Format("04:05"), fault.name))
		k.recorder.note("fault begins", "name", fault.name)
		heal := fault.begin(k, r)
		d := time.Duration(r.Int64N(int64(2 * maxPause)))
		if heal != nil {
			k.world.Go(func() {
				k.world.Sleep(d)
				heal()
				k.recorder.note("fault ends", "name", fault.name)
			})
		}
		for range r.IntN(3) {
			s := spec(ref(n), []string{"wide", "tight", "other"}[r.IntN(3)], func(s *wire.Spec) {
				s.Tasks = 1 + r.IntN(3)
				s.Priority = []string{"low", "normal", "urgent", "prod"}[r.IntN(4)]
				s.Spot = r.IntN(3) == 0
				switch r.IntN(6) {
				case 0:
					gang(2)(s)
				case 1:
					s.Kind, s.Spread, s.CheckpointS = wire.Service, true, 0
				case 2:
					s.OneZone = true
				case 3:
					if n > firstFreeJob+2 {
						s.DependsOn = []string{ref(limitJob + 1 + r.IntN(n-firstFreeJob))}
					}
				}
			})
			if len(s.DependsOn) > 0 && (k.world.LastState(s.DependsOn[0]) == "" || k.world.IsService(s.DependsOn[0])) {
				s.DependsOn = nil // a dependency has been accepted and is not a service
			}
			k.submitInBackground(s, testkit.JobDurations{Run: time.Duration(2+r.IntN(40)) * time.Second, Fetch: time.Duration(r.IntN(6000)) * time.Millisecond})
			if r.IntN(3) == 0 {
				wait, name := time.Duration(r.Int64N(int64(10*time.Second))), s.Ref
				k.world.Go(func() {
					k.world.Sleep(wait)
					k.cancel(name)
				})
			}
			n++
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
	}
	k.scriptLog = scriptLog
}
