package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// cluster runs several complete controllers against a simulated state service, cloud, network,
// machines and users, in the fake time of a synctest bubble.
type cluster struct {
	t       *testing.T
	world   *testkit.World
	checker *testkit.Checker
	labels  []string
	zoneOf  map[string]string // zone of each controller, by label
	params  config.Params
	timing  testkit.Timing

	mu         sync.Mutex
	processes  map[string]*process // the running ones, by label
	refs       []string            // jobs that were submitted
	scriptLog  []string            // what a script did, logged if the test fails
	recorder   *recorder           // nil unless CLUSTER_RECORD is set
	allEndedAt time.Time           // when crashAll was first called
	// jobsCancelled is set once a job was cancelled: the stops of cancelled jobs are exempt from
	// the rate limit of commands.
	jobsCancelled atomic.Bool
	// losesData is set by tests in which the state service loses data. In all others no controller
	// may ever suspect data loss.
	losesData bool
	// prepare is called with each new controller before it starts; nil does nothing.
	prepare func(label string, c *Controller)
}

// layout is the size, the zones, the timing and the seed of a cluster.
type layout struct {
	controllers  int
	zones        []string
	timing       testkit.Timing
	seed         uint64
	shardsByHash bool // no teams: jobs are spread over the shards by their names
}

// near is like the smaller deployment, whose workers report often: starts are sent in the answers
// to heartbeats.
func near(seed uint64) layout {
	return layout{3, []string{"a", "b"}, testkit.Timing{Report: 1500 * time.Millisecond, Lease: 12 * time.Second,
		GangWait: 45 * time.Second, GangPeer: 4 * time.Second, Cancel: 32 * time.Second}, seed, false}
}

// far is like the larger deployment: starts are sent to the workers as direct commands.
func far(seed uint64) layout {
	return layout{3, []string{"a", "b", "c"}, testkit.Timing{Report: 8 * time.Second, Lease: 34 * time.Second,
		GangWait: 45 * time.Second, GangPeer: 4 * time.Second, Cancel: 64 * time.Second}, seed, false}
}

var layouts = map[string]func(uint64) layout{"near": near, "far": far}

// teamLimit is how many GPUs team "tight" may use; team "wide" has no limit.
const teamLimit = 4

// runScript runs a script on a cluster in a synctest bubble. When the script begins, there is a
// leader and every shard has an owner. After it all faults are healed, and every job is followed
// to its end or for long enough to show that it is not forgotten. The test fails for each
// violation that the checker found.
func runScript(t *testing.T, l layout, script func(k *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t, l)
		defer k.stop()
		for _, label := range k.labels {
			k.start(label)
		}
		k.await(30*time.Second, "a leader and an owner of every shard", func() bool { return k.leader() != "" && k.allShardsOwned() })
		script(k)
		k.settle()
	})
}

func newCluster(t *testing.T, l layout) *cluster {
	k := &cluster{t: t, timing: l.timing, zoneOf: map[string]string{}, processes: map[string]*process{}}
	types := []wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, CacheGB: 100, FetchGBps: 1, Price: 5, SpotPrice: 2, BootS: 10, Zones: l.zones}}
	for i := range l.controllers {
		label := fmt.Sprintf("c-%d", i)
		k.labels = append(k.labels, label)
		k.zoneOf[label] = l.zones[i%len(l.zones)]
	}
	k.params = config.Params{
		Count: l.controllers, Zones: l.zones, Teams: []config.Team{{Name: "tight", GPUsMax: teamLimit}, {Name: "wide"}, {Name: "other"}},
		Workers: config.Workers{HeartbeatS: l.timing.Report.Seconds(), LeaseS: l.timing.Lease.Seconds(), GangWaitS: l.timing.GangWait.Seconds(),
			GangPeerS: l.timing.GangPeer.Seconds(), CancelS: l.timing.Cancel.Seconds()},
		State: config.State{RPS: 200, WriteRPS: 50, ValueKB: 16, TxnOps: 16}, Cloud: config.Cloud{RPS: 4, ListLagS: 10},
		Resources: config.Resources{CPUShare: 0.2, MemoryMB: 200, MaxSockets: 2000},
	}
	limits := map[string]float64{"tight": teamLimit}
	if l.shardsByHash {
		k.params.Teams, limits = nil, nil
	}
	k.checker = testkit.NewChecker(limits, l.timing.Cancel)
	k.world = testkit.NewWorld(k.labels, types, l.timing, k.checker, l.seed)
	k.recorder = newRecorder()
	k.world.Observe(k.recorder.observer())
	return k
}

// stop saves the recording of a schedule that failed, and ends all controllers and simulated
// peers, so that the bubble can end.
func (k *cluster) stop() {
	k.recorder.save(k.t)
	for _, label := range k.labels {
		k.crash(label)
	}
	k.world.Net.Heal()
	k.world.Stop()
	time.Sleep(pendingCallsTimeout)
}

// pendingCallsTimeout is how long calls in flight may take to give up.
const pendingCallsTimeout = 30 * time.Second

// leader returns the label of the recorded leader, or "" if there is none or its process does not
// run.
func (k *cluster) leader() string {
	e, ok := k.world.State.Entry(record.LeaderKey)
	var leader record.Leader
	if !ok || json.Unmarshal(e.Value, &leader) != nil || k.process(leader.Label) == nil {
		return ""
	}
	return leader.Label
}

// owner returns the label of the recorded owner of a shard, or "" if there is none.
func (k *cluster) owner(shard int) string {
	e, ok := k.world.State.Entry(record.ShardKey(shard))
	var r record.Shard
	if !ok || json.Unmarshal(e.Value, &r) != nil {
		return ""
	}
	return r.Owner
}

// ownerOfTeam returns the label of the recorded owner of the shard of a team.
func (k *cluster) ownerOfTeam(team string) string {
	return k.owner(k.shardOfTeam(team))
}

// shardOfTeam returns the shard that the jobs of a team belong to.
func (k *cluster) shardOfTeam(team string) int {
	var teams []string
	for _, t := range k.params.Teams {
		teams = append(teams, t.Name)
	}
	slices.Sort(teams)
	return record.ShardForJob(teams, team, "", k.params.Count)
}

// labelsExcept returns the labels of all controllers but the given ones.
func (k *cluster) labelsExcept(labels ...string) []string {
	return slices.DeleteFunc(slices.Clone(k.labels), func(l string) bool { return slices.Contains(labels, l) })
}

// allShardsOwned reports whether the recorded owner of every shard runs and holds the shard.
func (k *cluster) allShardsOwned() bool {
	for shard := range k.params.Count {
		p := k.process(k.owner(shard))
		if p == nil {
			return false
		}
		p.c.mu.Lock()
		held := p.c.shards.GetLocked(shard) != nil
		p.c.mu.Unlock()
		if !held {
			return false
		}
	}
	return true
}

// await waits until holds returns true, and fails the test if that takes longer than d. what names
// the awaited condition in the message.
func (k *cluster) await(d time.Duration, what string, holds func() bool) {
	k.t.Helper()
	for end := time.Now().Add(d); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			k.t.Fatalf("%s: not seen within %v", what, d)
		}
	}
}

// settleFor is how long a cluster is watched after all faults are healed: longer than any job may
// wait and any poll may stay unanswered.
const settleFor = 130 * time.Second

// settle heals all faults, watches the cluster for settleFor, and fails the test if a controller
// does not answer for a job or the checker found a violation.
func (k *cluster) settle() {
	k.t.Helper()
	k.world.ClearFaults()
	k.startMissing()
	k.checker.SetFaultFree(true)
	time.Sleep(settleFor)
	for _, r := range k.refs {
		for _, label := range k.labels {
			if status, _ := k.world.Ask(testkit.Poll, label, r, nil); status != 200 {
				k.t.Errorf("status query for %s at %s after all faults are healed: status %d, want 200", r, label, status)
			}
		}
	}
	k.reportViolations()
}

// reportViolations fails the test for each violation that the checker found, and for each
// controller that has suspected data loss where there was none.
func (k *cluster) reportViolations() {
	k.t.Helper()
	for _, label := range k.labels {
		if p := k.process(label); p != nil && !k.losesData && p.c.everInSafeMode() {
			k.t.Errorf("%s has suspected data loss, but the state service lost no data", label)
		}
	}
	for _, violation := range k.checker.Violations() {
		k.t.Error(violation)
	}
	if k.t.Failed() && len(k.scriptLog) > 0 {
		k.t.Log(strings.Join(k.scriptLog, "; "))
	}
}

// runOnAllLayouts runs a script on each layout with the seeds from 1 to seedsPerLayout.
func runOnAllLayouts(t *testing.T, script func(k *cluster)) {
	t.Helper()
	for name, l := range layouts {
		for seed := range uint64(seedsPerLayout) {
			t.Run(fmt.Sprintf("%s-%d", name, seed+1), func(t *testing.T) {
				t.Parallel()
				runScript(t, l(seed+1), script)
			})
		}
	}
}

// seedsPerLayout is how many seeds runOnAllLayouts uses on each layout.
const seedsPerLayout = 3

// requireOccurred fails the test if the condition that it is about did not occur.
func (k *cluster) requireOccurred(ok bool, what string) {
	k.t.Helper()
	if !ok {
		k.t.Errorf("the condition under test did not occur: %s", what)
	}
}
