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

// cluster is several whole controllers among scripted peers, in bubble time.
type cluster struct {
	t       *testing.T
	world   *testkit.World
	checker *testkit.Checker
	labels  []string
	zoneOf  map[string]string // of controllers
	params  config.Params
	timing  testkit.Timing

	mu         sync.Mutex
	processes  map[string]*process
	refs       []string
	scriptLog  []string  // what a script did, told if it fails
	recorder   *recorder // nil unless one is asked for
	allEndedAt time.Time // when all controllers first ended
	// jobsCancelled says that jobs were cancelled: their stops are never held back.
	jobsCancelled atomic.Bool
	// losesData says that the test's state service losesData data: else nobody may ever believe so.
	losesData bool
	// prepare is called with each new process before it starts, nil for nothing.
	prepare func(label string, c *Controller)
}

// layout is what differs between clusters.
type layout struct {
	controllers  int
	zones        []string
	timing       testkit.Timing
	seed         uint64
	shardsByHash bool // no teams: jobs are parted among the controllers by their names
}

// near is like the smaller deployment, whose workers report often: starts ride on
// answers to reports. far is like the larger: starts go straight to the workers.
func near(seed uint64) layout {
	return layout{3, []string{"a", "b"}, testkit.Timing{Report: 1500 * time.Millisecond, Lease: 12 * time.Second,
		GangWait: 45 * time.Second, GangPeer: 4 * time.Second, Cancel: 32 * time.Second}, seed, false}
}

func far(seed uint64) layout {
	return layout{3, []string{"a", "b", "c"}, testkit.Timing{Report: 8 * time.Second, Lease: 34 * time.Second,
		GangWait: 45 * time.Second, GangPeer: 4 * time.Second, Cancel: 64 * time.Second}, seed, false}
}

var layouts = map[string]func(uint64) layout{"near": near, "far": far}

// teamLimit is the cards that team "tight" may use; "wide" has no limit.
const teamLimit = 4

// runScript runs a script on a cluster in a bubble: the cluster is up and has its leader
// and its parts when the script begins. After it all troubles end, every job is
// followed to its end or long enough to tell that it is not forgotten, and nothing
// that the checker knows may have happened.
func runScript(t *testing.T, l layout, script func(k *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t, l)
		defer k.stop()
		for _, label := range k.labels {
			k.start(label)
		}
		k.await(30*time.Second, "a leader and all parts", func() bool { return k.leader() != "" && k.allShardsOwned() })
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
		Workers: config.Workers{ReportS: l.timing.Report.Seconds(), LeaseS: l.timing.Lease.Seconds(), GangWaitS: l.timing.GangWait.Seconds(),
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

// stop saves the record of a schedule that failed, and ends everything, so that the bubble can end.
func (k *cluster) stop() {
	k.recorder.save(k.t)
	for _, label := range k.labels {
		k.crash(label)
	}
	k.world.Net.Heal()
	k.world.Stop()
	time.Sleep(pendingCallsTimeout)
}

// pendingCallsTimeout is how long calls under way may take to give up.
const pendingCallsTimeout = 30 * time.Second

// leader returns the label of the leader on record, if its process lives.
func (k *cluster) leader() string {
	e, ok := k.world.State.Entry(record.LeaderKey)
	var h record.Leader
	if !ok || json.Unmarshal(e.Value, &h) != nil || k.process(h.Label) == nil {
		return ""
	}
	return h.Label
}

// owner returns who owns a part on record.
func (k *cluster) owner(part int) string {
	e, ok := k.world.State.Entry(record.ShardKey(part))
	var r record.Shard
	if !ok || json.Unmarshal(e.Value, &r) != nil {
		return ""
	}
	return r.Owner
}

// ownerOfTeam returns who owns the part of a team.
func (k *cluster) ownerOfTeam(team string) string {
	return k.owner(k.shardOfTeam(team))
}

func (k *cluster) shardOfTeam(team string) int {
	var teams []string
	for _, t := range k.params.Teams {
		teams = append(teams, t.Name)
	}
	slices.Sort(teams)
	return record.ShardForJob(teams, team, "", k.params.Count)
}

// labelsExcept returns the labels of the controllers but those named.
func (k *cluster) labelsExcept(labels ...string) []string {
	return slices.DeleteFunc(slices.Clone(k.labels), func(l string) bool { return slices.Contains(labels, l) })
}

// allShardsOwned reports whether every part is held by a process that lives.
func (k *cluster) allShardsOwned() bool {
	for part := range k.params.Count {
		p := k.process(k.owner(part))
		if p == nil {
			return false
		}
		p.c.mu.Lock()
		held := p.c.shards.GetLocked(part) != nil
		p.c.mu.Unlock()
		if !held {
			return false
		}
	}
	return true
}

// await waits until something holds; that it doesn't within d fails the test.
func (k *cluster) await(d time.Duration, what string, holds func() bool) {
	k.t.Helper()
	for end := time.Now().Add(d); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			k.t.Fatalf("%s: not within %v", what, d)
		}
	}
}

// settleFor is how long things are watched after all troubles: longer than any job
// may wait and any poll stay unanswered.
const settleFor = 130 * time.Second

// settle ends all troubles and watches until what must happen has.
func (k *cluster) settle() {
	k.t.Helper()
	k.world.Mend()
	k.startMissing()
	k.checker.Calm(true)
	time.Sleep(settleFor)
	for _, r := range k.refs {
		for _, label := range k.labels {
			if status, _ := k.world.Ask(testkit.Poll, label, r, nil); status != 200 {
				k.t.Errorf("%s at %s after all troubles: status %d", r, label, status)
			}
		}
	}
	k.reportViolations()
}

// reportViolations fails the test for all that the checker found.
func (k *cluster) reportViolations() {
	k.t.Helper()
	for _, label := range k.labels {
		if p := k.process(label); p != nil && !k.losesData && p.c.everInSafeMode() {
			k.t.Errorf("%s believes that the state service has lost data", label)
		}
	}
	for _, b := range k.checker.Broken() {
		k.t.Error(b)
	}
	if k.t.Failed() && len(k.scriptLog) > 0 {
		k.t.Log(strings.Join(k.scriptLog, "; "))
	}
}

// runOnAllLayouts plays a script on both layouts with a fixed list of seeds.
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

// seedsPerLayout is how many seeds a script is played with on each layout.
const seedsPerLayout = 3

// requireOccurred fails the test if what it is about did not come to pass.
func (k *cluster) requireOccurred(ok bool, what string) {
	k.t.Helper()
	if !ok {
		k.t.Errorf("the test's trouble did not come about: %s", what)
	}
}
