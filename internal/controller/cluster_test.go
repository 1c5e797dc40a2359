package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// cluster is several whole controllers among scripted peers, in bubble time.
type cluster struct {
	t      *testing.T
	world  *testkit.World
	check  *testkit.Checker
	labels []string
	zones  map[string]string // of controllers
	params config.Params
	timing testkit.Timing

	mu    sync.Mutex
	procs map[string]*process
	refs  []string
	said  []string // what a script did, told if it fails
}

// process is one life of a controller. It implements testkit.Node.
type process struct {
	c    *Controller
	life context.Context
	end  context.CancelFunc
}

// Handle implements testkit.Node.
func (p *process) Handle(method, path string, body []byte) (int, []byte, error) {
	got := make(chan reply, 1)
	if r, now := p.c.handle(httpwire.Request{Method: method, Path: path, Body: body}, func(r reply) { got <- r }); now {
		got <- r
	}
	select {
	case <-p.life.Done():
		return 0, nil, testkit.ErrLost
	case r := <-got:
		if p.life.Err() != nil {
			return 0, nil, testkit.ErrLost
		}
		if r.body == nil {
			return r.status, nil, nil
		}
		return r.status, record.Encode(r.body), nil
	}
}

// peerLink is how one process calls another controller.
type peerLink struct {
	k        *cluster
	from, to string
	life     context.Context
}

// Call implements peer.Caller.
func (l *peerLink) Call(method string, args, result any, timeout time.Duration) error {
	take, err := testkit.Call(l.k.world.Net, l.from, l.to, timeout, func() (func(), error) {
		p := l.k.process(l.to)
		if p == nil {
			return nil, testkit.ErrRefused
		}
		take, err := serve(p.c, method, args, result)
		if p.life.Err() != nil {
			return nil, testkit.ErrLost
		}
		return take, err
	})
	switch {
	case l.life.Err() != nil:
		return l.life.Err()
	case errors.Is(err, testkit.ErrLost):
		return peer.ErrTimeout
	case err != nil:
		return err
	}
	take()
	return nil
}

// serve calls a method and returns what hands its result over.
func serve(h peer.Handler, method string, args, result any) (take func(), err error) {
	if err := h.Check(args); err != nil {
		return nil, err
	}
	switch method {
	case "Sync":
		r := h.Sync(args.(peer.SyncArgs))
		return func() { *result.(*peer.SyncReply) = r }, nil
	case "Nudge":
		h.Nudge(args.(peer.NudgeArgs))
		return func() {}, nil
	case "Report":
		r := h.Report(args.(wire.Report))
		return func() { *result.(*peer.ReportReply) = r }, nil
	case "User":
		r := h.User(args.(peer.UserArgs))
		return func() { *result.(*peer.UserReply) = r }, nil
	case "Ping":
		r := h.Ping()
		return func() { *result.(*bool) = r }, nil
	case "Format":
		r := h.Format()
		return func() { *result.(*int) = r }, nil
	case "Status":
		r, ok := h.Status(args.(string))
		if !ok {
			return nil, peer.ErrNotHere
		}
		return func() { *result.(*wire.Status) = r }, nil
	}
	return nil, fmt.Errorf("no method %s", method)
}

// layout is what differs between clusters.
type layout struct {
	controllers int
	zones       []string
	timing      testkit.Timing
	seed        uint64
}

// near is like the smaller deployment, whose workers report often: starts ride on
// answers to reports. far is like the larger: starts go straight to the workers.
func near(seed uint64) layout {
	return layout{3, []string{"a", "b"}, testkit.Timing{Report: 1500 * time.Millisecond, Lease: 12 * time.Second,
		GangWait: 45 * time.Second, GangPeer: 4 * time.Second, Cancel: 32 * time.Second}, seed}
}

func far(seed uint64) layout {
	return layout{3, []string{"a", "b", "c"}, testkit.Timing{Report: 8 * time.Second, Lease: 34 * time.Second,
		GangWait: 45 * time.Second, GangPeer: 4 * time.Second, Cancel: 64 * time.Second}, seed}
}

var layouts = map[string]func(uint64) layout{"near": near, "far": far}

// teamLimit is the cards that team "tight" may use; "wide" has no limit.
const teamLimit = 4

// play runs a script on a cluster in a bubble: the cluster is up and has its leader
// and its parts when the script begins. After it all troubles end, every job is
// followed to its end or long enough to tell that it is not forgotten, and nothing
// that the checker knows may have happened.
func play(t *testing.T, l layout, script func(k *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t, l)
		defer k.stop()
		for _, label := range k.labels {
			k.start(label)
		}
		k.await(30*time.Second, "a leader and all parts", func() bool { return k.leader() != "" && k.owned() })
		script(k)
		k.settle()
	})
}

func newCluster(t *testing.T, l layout) *cluster {
	k := &cluster{t: t, timing: l.timing, zones: map[string]string{}, procs: map[string]*process{}}
	types := []wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, CacheGB: 100, FetchGBps: 1, Price: 5, SpotPrice: 2, BootS: 10, Zones: l.zones}}
	for i := range l.controllers {
		label := fmt.Sprintf("c-%d", i)
		k.labels = append(k.labels, label)
		k.zones[label] = l.zones[i%len(l.zones)]
	}
	k.params = config.Params{
		Count: l.controllers, Zones: l.zones, Teams: []config.Team{{Name: "tight", GPUsMax: teamLimit}, {Name: "wide"}, {Name: "other"}},
		Workers: config.Workers{ReportS: l.timing.Report.Seconds(), LeaseS: l.timing.Lease.Seconds(), GangWaitS: l.timing.GangWait.Seconds(),
			GangPeerS: l.timing.GangPeer.Seconds(), CancelS: l.timing.Cancel.Seconds()},
		State: config.State{RPS: 200, WriteRPS: 50, ValueKB: 16, TxnOps: 16}, Cloud: config.Cloud{RPS: 4, ListLagS: 10},
		Resources: config.Resources{CPUShare: 0.2, MemoryMB: 200, MaxSockets: 2000},
	}
	k.check = testkit.NewChecker(map[string]float64{"tight": teamLimit}, l.timing.Cancel)
	k.world = testkit.NewWorld(k.labels, types, l.timing, k.check, l.seed)
	return k
}

// start begins a process of a controller.
func (k *cluster) start(label string) {
	k.t.Helper()
	cfg := &config.Settings{Label: label, Zone: k.zones[label], Params: k.params}
	for _, l := range k.labels {
		if l != label {
			cfg.Peers = append(cfg.Peers, config.Peer{Label: l, Zone: k.zones[l]})
		}
	}
	pol, err := policy.Load("")
	if err != nil {
		k.t.Fatal(err)
	}
	life, end := context.WithCancel(context.Background())
	c := &Controller{cfg: cfg, policy: pol, log: k.logger(label), life: life, store: k.world.State.Link(life, label),
		cloud: k.world.Rentals(life, label), agents: k.world.Direct(life, label)}
	c.init()
	for _, q := range cfg.Peers {
		c.peers[q.Label] = &peerLink{k, label, q.Label, life}
	}
	p := &process{c, life, end}
	k.mu.Lock()
	k.procs[label] = p
	k.mu.Unlock()
	k.world.SetNode(label, p)
	c.start()
}

// logger writes to standard error where CLUSTER_LOG names a level.
func (k *cluster) logger(label string) *slog.Logger {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv("CLUSTER_LOG"))) != nil {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("at", label)
}

func (k *cluster) process(label string) *process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.procs[label]
}

// crash ends a controller's process without a word.
func (k *cluster) crash(label string) {
	p := k.process(label)
	if p == nil {
		return
	}
	p.end()
	k.world.SetNode(label, nil)
	k.mu.Lock()
	delete(k.procs, label)
	k.mu.Unlock()
}

// restart ends a process and begins the next after d.
func (k *cluster) restart(label string, d time.Duration) {
	k.crash(label)
	time.Sleep(d)
	k.start(label)
}

// stop ends everything, so that the bubble can end.
func (k *cluster) stop() {
	for _, label := range k.labels {
		k.crash(label)
	}
	k.world.Net.Heal()
	k.world.Stop()
	time.Sleep(lastCalls)
}

// lastCalls is how long calls under way may take to give up.
const lastCalls = 30 * time.Second

// leader returns the label of the leader on record, if its process lives.
func (k *cluster) leader() string {
	e, ok := k.world.State.Entry(record.Leader)
	var h record.Head
	if !ok || decode(e.Value, &h) != nil || k.process(h.Label) == nil {
		return ""
	}
	return h.Label
}

// owner returns who owns a part on record.
func (k *cluster) owner(part int) string {
	e, ok := k.world.State.Entry(record.PartKey(part))
	var r record.Part
	if !ok || decode(e.Value, &r) != nil {
		return ""
	}
	return r.Owner
}

// ownerOf returns who owns the part of a team.
func (k *cluster) ownerOf(team string) string {
	return k.owner(k.part(team))
}

func (k *cluster) part(team string) int {
	var teams []string
	for _, t := range k.params.Teams {
		teams = append(teams, t.Name)
	}
	slices.Sort(teams)
	return record.PartOf(teams, team, "", k.params.Count)
}

// others returns the labels of the controllers but those named.
func (k *cluster) others(labels ...string) []string {
	return slices.DeleteFunc(slices.Clone(k.labels), func(l string) bool { return slices.Contains(labels, l) })
}

// owned reports whether every part is held by a process that lives.
func (k *cluster) owned() bool {
	for part := range k.params.Count {
		p := k.process(k.owner(part))
		if p == nil {
			return false
		}
		p.c.mu.Lock()
		held := p.c.parts[part] != nil
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

// spec returns an ordinary job's specification, changed as wished.
func spec(ref, team string, change func(*wire.Spec)) wire.Spec {
	s := wire.Spec{Ref: ref, Class: "class-" + team, Team: team, Kind: wire.Array, Priority: "normal", Tasks: 1, CPUs: 6, GPUs: 1, MemoryGB: 24,
		Image: "img-" + team, ImageGB: 4, EstimateS: 30, CheckpointS: 15, SaveS: 2}
	if change != nil {
		change(&s)
	}
	return s
}

// ref names the n-th job of a test.
func ref(n int) string { return fmt.Sprintf("run-%06d", n) }

// quick is how long jobs take where nothing else is said, and long for those that
// are to outlive what happens.
var (
	quick = testkit.Length{Run: 20 * time.Second, Fetch: 2 * time.Second}
	long  = testkit.Length{Run: 10 * time.Minute, Fetch: 2 * time.Second}
)

// submit submits a job, again if need be, and follows it as its user does.
func (k *cluster) submit(s wire.Spec, l testkit.Length) {
	k.t.Helper()
	k.mu.Lock()
	k.refs = append(k.refs, s.Ref)
	k.mu.Unlock()
	k.world.Submit(k.labels[0], s, l)
	if _, ok := k.world.Until(testkit.Submission, s.Ref, encode(s), time.Minute); !ok {
		k.t.Fatalf("%s was not accepted", s.Ref)
	}
	k.world.Follow(s.Ref)
}

func encode(s wire.Spec) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// cancel asks for a job's end until that is confirmed, beside the test.
func (k *cluster) cancel(ref string) (confirmed func() bool) {
	var mu sync.Mutex
	var ok bool
	k.world.Go(func() {
		_, done := k.world.Until(testkit.Cancellation, ref, nil, 5*time.Minute)
		mu.Lock()
		defer mu.Unlock()
		ok = done
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return ok
	}
}

// running waits until all tasks of a job are on machines, and returns these.
func (k *cluster) running(ref string, n int) []*testkit.Agent {
	k.t.Helper()
	k.await(2*time.Minute, ref+" running", func() bool {
		seen := 0
		for _, m := range k.world.On(ref) {
			for _, task := range m.Tasks() {
				if strings.HasPrefix(task, ref+"/") {
					seen++
				}
			}
		}
		return seen == n
	})
	return k.world.On(ref)
}

// settleFor is how long things are watched after all troubles: longer than any job
// may wait and any poll stay unanswered.
const settleFor = 130 * time.Second

// settle ends all troubles and watches until what must happen has.
func (k *cluster) settle() {
	k.t.Helper()
	k.world.Mend()
	k.restartMissing()
	k.check.Calm(true)
	time.Sleep(settleFor)
	for _, r := range k.refs {
		for _, label := range k.labels {
			if status, _ := k.world.Ask(testkit.Poll, label, r, nil); status != 200 {
				k.t.Errorf("%s at %s after all troubles: status %d", r, label, status)
			}
		}
	}
	k.verdict()
}

// verdict fails the test for all that the checker found.
func (k *cluster) verdict() {
	k.t.Helper()
	for _, b := range k.check.Broken() {
		k.t.Error(b)
	}
	if k.t.Failed() && len(k.said) > 0 {
		k.t.Log(strings.Join(k.said, "; "))
	}
}

// meet plays a script on both layouts with a fixed list of seeds.
func meet(t *testing.T, script func(k *cluster)) {
	t.Helper()
	for name, l := range layouts {
		for seed := range uint64(meetSeeds) {
			t.Run(fmt.Sprintf("%s-%d", name, seed+1), func(t *testing.T) {
				t.Parallel()
				play(t, l(seed+1), script)
			})
		}
	}
}

// meetSeeds is how many seeds a script is played with on each layout.
const meetSeeds = 3

// happened fails the test if what it is about did not come to pass.
func (k *cluster) happened(ok bool, what string) {
	k.t.Helper()
	if !ok {
		k.t.Errorf("the test's trouble did not come about: %s", what)
	}
}

// The jobs that load submits: an array, a gang and a service that run on, and an
// array of which only a part fits in its team's limit.
const (
	arrayJob = iota + 1
	gangJob
	serviceJob
	limitJob
	firstOwn // the first number free for a test's own jobs
)

// teams of the jobs of load, by number.
var teamOf = map[int]string{arrayJob: "wide", gangJob: "wide", serviceJob: "other", limitJob: "tight"}

// load submits jobs of every kind and waits until they run.
func (k *cluster) load() {
	k.t.Helper()
	k.submit(spec(ref(arrayJob), teamOf[arrayJob], func(s *wire.Spec) { s.Tasks = 4 }), long)
	k.submit(spec(ref(gangJob), teamOf[gangJob], gang(2)), long)
	k.submit(spec(ref(serviceJob), teamOf[serviceJob], func(s *wire.Spec) {
		s.Kind, s.Tasks, s.Spread, s.Priority, s.CheckpointS = wire.Service, 2, true, "prod", 0
	}), long)
	k.submit(spec(ref(limitJob), teamOf[limitJob], func(s *wire.Spec) { s.Tasks = teamLimit + 2 }), long)
	k.running(ref(arrayJob), 4)
	k.running(ref(gangJob), 2)
	k.running(ref(serviceJob), 2)
	k.running(ref(limitJob), teamLimit)
}

// gang makes a specification one of a gang of whole machines in one zone.
func gang(n int) func(*wire.Spec) {
	return func(s *wire.Spec) {
		s.Kind, s.Tasks, s.CPUs, s.GPUs, s.MemoryGB, s.OneZone, s.Priority = wire.Gang, n, 14, 2, 51, true, "urgent"
	}
}

// cancelAll asks for the end of jobs and returns whether all are confirmed.
func (k *cluster) cancelAll(numbers ...int) (confirmed func() bool) {
	var all []func() bool
	for _, n := range numbers {
		all = append(all, k.cancel(ref(n)))
	}
	return func() bool {
		return !slices.ContainsFunc(all, func(ok func() bool) bool { return !ok() })
	}
}

// in is the group of all controllers and machines of a zone.
func (k *cluster) in(zone string) func(string) bool {
	return func(name string) bool { return k.zones[name] == zone || k.world.Zone(name) == zone }
}

func not(group func(string) bool) func(string) bool {
	return func(name string) bool { return !group(name) }
}

// controllers is the group of all controllers, machines that of all machines.
func (k *cluster) controllers(name string) bool { return k.zones[name] != "" }
func (k *cluster) machines(name string) bool    { return k.world.Zone(name) != "" }

// cutZone cuts a zone off from everything and returns what ends that.
func (k *cluster) cutZone(zone string, hold bool) (heal func()) {
	inside := k.in(zone)
	over := k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(inside, not(inside)), Hold: hold})
	for _, l := range k.labels {
		if k.zones[l] == zone {
			k.world.State.Cut(l, true)
		}
	}
	return func() {
		for _, l := range k.labels {
			k.world.State.Cut(l, false)
		}
		over()
	}
}

// isolate cuts a controller off from the state service and the other controllers,
// not from workers and users.
func (k *cluster) isolate(label string) (heal func()) {
	over := k.world.Net.Cut(&testkit.Cut{Match: testkit.Between(testkit.Named(label), k.controllers)})
	k.world.State.Cut(label, true)
	return func() {
		k.world.State.Cut(label, false)
		over()
	}
}

// mute keeps machines from opening connections to controllers, while direct
// commands reach them: a call's answer goes where its request came from.
func (k *cluster) mute(ids func(string) bool) (heal func()) { return k.world.Mute(ids) }

// deaf loses what is said to machines, answers and commands, while reports arrive.
func (k *cluster) deaf(ids func(string) bool) (heal func()) {
	return k.world.Net.Cut(&testkit.Cut{Match: func(from, to string) bool { return k.controllers(from) && ids(to) }})
}

// reports returns copies of the latest reports of all machines, the oldest first.
func (k *cluster) reports() []wire.Report {
	var out []wire.Report
	for _, m := range k.world.Machines() {
		out = append(out, m.Reports()...)
	}
	return out
}

// replay brings copies of reports to every controller that lives.
func (k *cluster) replay(reports []wire.Report) {
	for _, l := range k.labels {
		if k.process(l) == nil {
			continue
		}
		for _, r := range reports {
			k.world.Go(func() { k.world.Replay(l, r) })
		}
	}
}

// successor waits until another process than before owns the part of a team and
// holds it.
func (k *cluster) successor(team, before string) string {
	k.t.Helper()
	k.await(40*time.Second, "another owner for "+team, func() bool {
		o := k.ownerOf(team)
		p := k.process(o)
		if p == nil || o == before {
			return false
		}
		p.c.mu.Lock()
		defer p.c.mu.Unlock()
		return p.c.parts[k.part(team)] != nil
	})
	return k.ownerOf(team)
}

func ids(ms []*testkit.Agent) func(string) bool {
	var names []string
	for _, m := range ms {
		names = append(names, m.ID)
	}
	return testkit.Named(names...)
}
