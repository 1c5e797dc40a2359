package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net"
	"runtime"
	"testing"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/config"
	"bramblespur/internal/fleet"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// newTest returns a controller on scripted peers, without loops or sockets.
func newTest(t testing.TB, state *testkit.State) *Controller {
	t.Helper()
	cfg := &config.Settings{Label: "c-0", Params: config.Params{
		Count: 1, Zones: []string{"z"}, Teams: []config.Team{{Name: "a", GPUsMax: 4}},
		Workers: config.Workers{ReportS: 2, LeaseS: 20, CancelS: 40},
		State:   config.State{ValueKB: 16, TxnOps: 16},
	}}
	pol, err := policy.Load("")
	if err != nil {
		t.Fatal(err)
	}
	c := &Controller{cfg: cfg, policy: pol, log: slog.New(slog.DiscardHandler), life: context.Background(), store: state, agents: agent.Client{}}
	c.init()
	c.setTypes([]wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, Zones: []string{"z"}}})
	c.lease, c.leaseAt = 1, time.Now()
	return c
}

func body(t *testing.T, change func(map[string]any)) []byte {
	t.Helper()
	m := map[string]any{}
	text := `{"ref":"run-000412","thicket":"train","keeper":"a","habit":"batch","rank":"normal","berries":2,
	 "cores":8.0,"cards":1.0,"ram_gb":16.0,"seedling":"img","pull_gb":6.2,"stocks":null,"patch":null,
	 "same_place":false,"scatter":false,"windfall":true,"ripen_s":240.0,"graft_s":30.0,"press_s":4.0,"harvest_s":null}`
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(m)
	}
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func set(k string, v any) func(map[string]any) { return func(m map[string]any) { m[k] = v } }

func drop(k string) func(map[string]any) { return func(m map[string]any) { delete(m, k) } }

func TestSubmissions(t *testing.T) {
	c := newTest(t, testkit.NewState())
	for name, x := range map[string]struct {
		body []byte
		want int
	}{
		"not JSON":        {[]byte("{"), 400},
		"not an object":   {[]byte("[]"), 400},
		"null":            {[]byte("null"), 400},
		"field missing":   {body(t, drop("rank")), 400},
		"field null":      {body(t, set("berries", nil)), 400},
		"wrong type":      {body(t, set("cores", "8")), 400},
		"unknown kind":    {body(t, set("habit", "x")), 400},
		"bad id":          {body(t, set("ref", "job-1")), 400},
		"no tasks":        {body(t, set("berries", 0)), 400},
		"too many tasks":  {body(t, set("berries", 100001)), 400},
		"negative amount": {body(t, set("cards", -1)), 400},
		"unknown team":    {body(t, set("keeper", "zz")), 422},
		"fits no machine": {body(t, set("cores", 17)), 422},
		"unknown type":    {body(t, set("stocks", []string{"x"})), 422},
		"above the limit": {body(t, func(m map[string]any) { m["habit"], m["berries"] = "ensemble", 5 }), 422},
		"null may be missing": {body(t, func(m map[string]any) {
			delete(m, "stocks")
			m["ref"] = "run-000001"
		}), 201},
	} {
		if got := c.submit(x.body); got.status != x.want {
			t.Errorf("%s: status %d, want %d", name, got.status, x.want)
		}
	}
	if got := c.submit(body(t, nil)); got.status != 201 {
		t.Errorf("new: status %d, want 201", got.status)
	}
	if got := c.submit(body(t, nil)); got.status != 200 {
		t.Errorf("repeat: status %d, want 200", got.status)
	}
	// A known job's repeat is never refused, whatever the settings say by now.
	c.cfg.Params.Teams[0].GPUsMax = 0.5
	if got := c.submit(body(t, nil)); got.status != 200 {
		t.Errorf("repeat under new limits: status %d, want 200", got.status)
	}
}

func TestSubmissionOutcomes(t *testing.T) {
	state := testkit.NewState()
	c := newTest(t, state)
	state.Down = true
	if got := c.submit(body(t, nil)); got.status != 503 || got.retryAfter == 0 {
		t.Fatalf("in an outage: %+v, want 503 with a time to come back", got)
	}
	state.Down = false
	state.LoseAnswers = 1
	if got := c.submit(body(t, nil)); got.status != 503 {
		t.Fatalf("without the state service's answer: %+v, want 503", got)
	}
	if got := c.submit(body(t, nil)); got.status != 200 {
		t.Fatalf("repeat: %+v, want 200", got)
	}
	c.leaseAt = time.Now().Add(-time.Minute)
	if got := c.submit(body(t, set("ref", "run-000777"))); got.status != 503 {
		t.Fatalf("long without the state service: %+v, want 503 at once", got)
	}
}

// A repeated submission of a job that the view holds as open changes nothing: it
// must not use the budget of changes, which acceptances and starts share.
func TestRepeatedSubmissionWritesNothing(t *testing.T) {
	state := testkit.NewState()
	c, other := newTest(t, state), newTest(t, state)
	if got := c.submit(body(t, nil)); got.status != 201 {
		t.Fatalf("new: %+v, want 201", got)
	}
	e, err := state.Get(context.Background(), statestore.Urgent("test"), record.OpenKey("run-000412"))
	if err != nil {
		t.Fatal(err)
	}
	other.changeOpen(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, time.Now())
	state.HoldTxns = 2 // none may be asked for
	for name, at := range map[string]*Controller{"where it was accepted": c, "elsewhere": other} {
		if got := at.submit(body(t, nil)); got.status != 200 || got.body.(wire.Brief).State != wire.Pending {
			t.Errorf("repeat %s: %+v, want 200 and pending", name, got)
		}
	}
	if state.HoldTxns != 2 {
		t.Errorf("repeats asked for %d transactions, want none", 2-state.HoldTxns)
	}
	state.HoldTxns = 0
	// A view that is behind tells nothing older than the records do.
	endRec := record.Encode(record.Job{State: wire.Done, Tasks: 2})
	if _, err := state.Txn(context.Background(), statestore.Urgent("test"), wire.Txn{
		Then: []wire.Op{{Put: record.JobKey("run-000412"), Value: endRec}, {Delete: e.Key}},
	}); err != nil {
		t.Fatal(err)
	}
	if got := other.submit(body(t, nil)); got.status != 200 || got.body.(wire.Brief).State != wire.Done {
		t.Errorf("repeat after the end: %+v, want 200 and done", got)
	}
}

func TestPollAndCancel(t *testing.T) {
	state := testkit.NewState()
	c, other := newTest(t, state), newTest(t, state)
	if got := c.poll("run-000412"); got.status != 404 {
		t.Fatalf("unknown job: %+v", got)
	}
	if got := c.cancel("run-000412"); got.status != 404 {
		t.Fatalf("cancel of an unknown job: %+v", got)
	}
	c.submit(body(t, nil))
	if got := other.poll("run-000412"); got.status != 200 || got.body.(wire.Status).State != wire.Pending {
		t.Fatalf("accepted job elsewhere: %+v", got)
	}
	if got := owned(state, c, func() reply { return c.cancel("run-000412") }); got.status != 200 || got.body.(wire.Brief).State != wire.Cancelled {
		t.Fatalf("cancel: %+v", got)
	}
	// No controller says anything older from now on.
	if got := other.poll("run-000412"); got.body.(wire.Status).State != wire.Cancelled {
		t.Fatalf("poll elsewhere after the cancellation: %+v", got)
	}
	if got := other.submit(body(t, nil)); got.status != 200 || got.body.(wire.Brief).State != wire.Cancelled {
		t.Fatalf("repeat after the cancellation: %+v", got)
	}
	state.Down = true
	if got := other.poll("run-000412"); got.status != 200 {
		t.Fatalf("final states are kept: %+v", got)
	}
}

// owned plays the owner while a user's request is served: of jobs that are
// cancelled it proves all tasks gone and records the end.
func owned(state *testkit.State, c *Controller, serve func() reply) reply {
	got := make(chan reply, 1)
	go func() { got <- serve() }()
	for {
		select {
		case r := <-got:
			return r
		default:
			endCancelled(state, c)
			runtime.Gosched()
		}
	}
}

func endCancelled(state *testkit.State, c *Controller) {
	open, _, _ := state.List(context.Background(), statestore.Urgent("test"), record.OpenPrefix)
	for _, e := range open {
		var o record.Open
		if decode(e.Value, &o) != nil || !o.Cancelled {
			continue
		}
		rev, err := state.Txn(context.Background(), statestore.Urgent("test"), wire.Txn{
			If: []wire.Cond{{Key: e.Key, Version: e.Version}},
			Then: []wire.Op{{Put: record.JobKey(record.Last(e.Key)), Value: record.Encode(record.Job{State: wire.Cancelled})},
				{Delete: e.Key}},
		})
		if err == nil {
			c.changeOpen(wire.Change{Delete: e.Key, Version: rev}, time.Now())
		}
	}
}

// A user is told of a cancellation only once every task is proven gone: what is
// cut off keeps its lease, and may run on for as long as the cut lasts.
func TestCancelledWhenGone(t *testing.T) {
	state := testkit.NewState()
	c, other := newTest(t, state), newTest(t, state)
	c.submit(body(t, nil))
	e, err := state.Get(context.Background(), statestore.Urgent("test"), record.OpenKey("run-000412"))
	if err != nil {
		t.Fatal(err)
	}
	var o record.Open
	if err := decode(e.Value, &o); err != nil {
		t.Fatal(err)
	}
	o.Cancelled = true
	e = state.Put(e.Key, o) // asked for by a user; the tasks still run
	c.changeOpen(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, time.Now())
	for name, x := range map[string]*Controller{"owner": c, "other": other} {
		if got := x.poll("run-000412"); got.status != 200 || got.body.(wire.Status).State != wire.Pending {
			t.Errorf("%s: poll answers %+v", name, got)
		}
		if got := x.submit(body(t, nil)); got.status != 200 || got.body.(wire.Brief).State != wire.Pending {
			t.Errorf("%s: a repeated submission answers %+v", name, got)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if c.ended(ctx, "run-000412") {
		t.Error("over though tasks still run")
	}
	if got := owned(state, c, func() reply { return c.cancel("run-000412") }); got.status != 200 || got.body.(wire.Brief).State != wire.Cancelled {
		t.Errorf("cancel: %+v", got)
	}
}

// A done job stays done: its cancellation answers so and changes nothing.
func TestCancelOfDone(t *testing.T) {
	state := testkit.NewState()
	c := newTest(t, state)
	state.Put(record.JobKey("run-000009"), record.Job{State: wire.Done, Tasks: 2})
	if got := c.cancel("run-000009"); got.body.(wire.Brief).State != wire.Done {
		t.Fatalf("got %+v", got)
	}
}

// A controller that has lost the state service sends workers to one that has not;
// one that reaches nobody else lets each look for another once, and keeps those
// that come back. In an outage for all, and in a zone cut off with several
// controllers, they stay.
func TestElsewhere(t *testing.T) {
	type peers map[string]string // how each is heard: "" not at all
	for name, x := range map[string]struct {
		peers peers
		sure  bool // the lease stands
		want  string
		look  bool
	}{
		"watch late, lease stands":  {peers{"near": "well", "far": "well"}, true, "", false},
		"refused alone":             {peers{"near": "", "far": "well"}, false, "far", true},
		"outage for all":            {peers{"near": "refused", "far": "refused"}, false, "", false},
		"zone cut off":              {peers{"near": "refused", "far": ""}, false, "", false},
		"reaches workers alone":     {peers{"near": "", "far": ""}, false, "near", true},
		"alone in its zone":         {peers{"far": "", "far2": ""}, false, "", true},
		"alone, search is too long": {peers{"far": "", "far2": "", "far3": "", "far4": ""}, false, "", false},
	} {
		c := newTest(t, testkit.NewState())
		now := time.Now()
		c.jobsAt = now.Add(-time.Hour)
		if !x.sure {
			c.leaseAt = c.jobsAt
		}
		c.cfg.Zone = "z"
		for label, heard := range x.peers {
			zone := "z"
			if label != "near" {
				zone = "y"
			}
			c.cfg.Peers = append(c.cfg.Peers, config.Peer{Label: label, Zone: zone})
			c.peers[label] = peer.NewClient("127.0.0.1:1")
			if heard != "" {
				c.peerOK[label] = now
			}
			if heard == "well" {
				c.peerState[label] = now
			}
		}
		if to, look := c.elsewhere("m", now); look && to != "far" {
			t.Errorf("%s: sent to %q though its lease may be nearly over", name, to)
		}
		now = now.Add(time.Second) // it was answered and is back
		if to, look := c.elsewhere("m", now); to != x.want || look != x.look {
			t.Errorf("%s: sent to %q %t, want %q %t", name, to, look, x.want, x.look)
		}
		if _, look := c.elsewhere("m", now.Add(time.Second)); look && x.want != "far" {
			t.Errorf("%s: sent away again though it came back", name)
		}
	}
}

// Refused by the state service alone, or cut off from everybody but its
// workers, a controller sends users elsewhere; when all are refused, it stays.
func TestServes(t *testing.T) {
	c := newTest(t, testkit.NewState())
	now := time.Now()
	c.jobsAt = now
	if !c.serves(now) {
		t.Fatal("not ready in good times")
	}
	c.leaseAt = now.Add(-time.Minute)
	if !c.serves(now) {
		t.Fatal("unready alone, with nobody better")
	}
	c.peers["c-1"] = peer.NewClient("127.0.0.1:1")
	if c.serves(now) {
		t.Fatal("ready without the state service and the other controllers")
	}
	c.answered("c-1", nil, false)
	if !c.serves(now) {
		t.Fatal("unready in an outage for all")
	}
	c.answered("c-1", nil, true)
	if c.serves(now) {
		t.Fatal("ready though refused alone")
	}
}

// Readiness does not flap: the load balancer would keep the controller out for
// up to a minute.
func TestReadinessHasHysteresis(t *testing.T) {
	var r readiness
	clock := testkit.NewClock()
	step := func(good bool, d time.Duration) bool {
		clock.Advance(d)
		return r.update(good, clock.Now())
	}
	step(true, 0)
	if !step(true, time.Second) {
		t.Fatal("not ready after a second of good times")
	}
	for range 10 { // short troubles
		step(false, time.Second)
		if !step(false, time.Second) || !step(true, time.Second) {
			t.Fatal("unready for a trouble of a second")
		}
	}
	step(false, 0)
	if step(false, unreadyAfter) {
		t.Fatal("ready in a lasting trouble")
	}
	step(true, 0)
	if !step(true, time.Second) {
		t.Fatal("not ready again after it")
	}
}

// A controller answers for an owner that can't be reached, under the same token
// and without commands: also without the state service, since a user is told of a
// cancellation only once nothing runs. While all is seen, no task of a job that is
// over lives on by it.
func TestKeepAlive(t *testing.T) {
	c := newTest(t, testkit.NewState())
	seen := func(ago time.Duration) {
		c.viewAt = time.Now().Add(-ago)
		c.jobsAt, c.fleetAt = c.viewAt, c.viewAt
	}
	long := func() {
		k := c.kept["m"]
		k.since = time.Now().Add(-time.Hour)
		c.kept["m"] = k
	}
	c.open["run-000001"] = openJob{version: 1}
	r := &wire.Report{Machine: "m", Token: 5, Tasks: []wire.ReportTask{{Task: "run-000001/0", State: wire.Running}}}
	answered := func(r *wire.Report, known, want uint64, what string) {
		t.Helper()
		got := c.keepAlive(r, known)
		o, ok := got.body.(wire.Orders)
		if (got.status == 200) != (want > 0) || (want > 0 && (!ok || o.Token != want || len(o.Commands) > 0)) {
			t.Errorf("%s: %+v", what, got)
		}
	}
	seen(0)
	answered(r, 7, 7, "owner out of reach")
	long()
	answered(r, 7, 7, "a live job, for long")
	answered(&wire.Report{Machine: "n", Token: 9}, 7, 0, "a worker that has seen a higher token")
	answered(&wire.Report{Machine: "n", Token: 9}, 0, 0, "a machine that nobody knows")
	c.open["run-000001"] = openJob{version: 2, cancelled: true}
	answered(r, 7, 7, "a cancelled job, at first")
	long()
	answered(r, 7, 0, "a cancelled job, for long")
	c.leaseAt = time.Now().Add(-time.Minute) // cut off from the state service
	seen(time.Hour)
	answered(r, 7, 7, "cut off")
	answered(&wire.Report{Machine: "n", Token: 9}, 7, 9, "cut off, with a newer owner")
	answered(&wire.Report{Machine: "n", Token: 9}, 0, 9, "restarted while cut off")
	answered(&wire.Report{Machine: "n"}, 0, 0, "a machine that has never been told anything")
}

// Who claims what: a restarted controller its own part at once, even while its
// earlier lease stands; a dead owner's part the live one; nobody a live owner's.
func TestWhoClaims(t *testing.T) {
	for name, x := range map[string]struct {
		rec     record.Part
		members []string
		want    bool
	}{
		"own part after a restart": {record.Part{Owner: "c-0", Inc: 1}, []string{"c-0"}, true},
		"live owner":               {record.Part{Owner: "c-1", Inc: 1}, []string{"c-0", "c-1"}, false},
		"dead owner":               {record.Part{Owner: "c-1", Inc: 1}, []string{"c-0"}, true},
		"offered":                  {record.Part{To: "c-0"}, []string{"c-0", "c-1"}, true},
	} {
		c := newTest(t, testkit.NewState())
		now := time.Now()
		c.inc, c.viewAt = 2, now
		c.partRecs[0] = versioned[record.Part]{x.rec, 5}
		for _, m := range x.members {
			c.members[m] = record.Member{Inc: 1}
		}
		c.mu.Lock()
		c.considerClaims(context.Background(), now)
		got := c.claiming[0]
		c.mu.Unlock()
		if got != x.want {
			t.Errorf("%s: claims %v, want %v", name, got, x.want)
		}
	}
	// Without a lease that certainly stands, nothing is claimed.
	c := newTest(t, testkit.NewState())
	c.viewAt, c.leaseAt = time.Now(), time.Now().Add(-time.Minute)
	c.partRecs[0] = versioned[record.Part]{record.Part{Owner: "c-0"}, 5}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.considerClaims(context.Background(), time.Now()); c.claiming[0] {
		t.Error("claims without a lease")
	}
}

// A claim makes this controller the owner under a new token; a claim by
// somebody else ends that.
func TestClaimAndLoss(t *testing.T) {
	state := testkit.NewState()
	c := newTest(t, state)
	c.submit(body(t, nil))
	if err := c.takeOver(context.Background(), 0, versioned[record.Part]{}, 1); err != nil {
		t.Fatal(err)
	}
	p := c.parts[0]
	if p == nil || !p.HasJob("run-000412") {
		t.Fatal("part not loaded")
	}
	e := state.Put(record.PartKey(0), record.Part{Owner: "c-1"})
	c.changeCluster(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, time.Now())
	if c.parts[0] != nil {
		t.Fatal("still owner after another's claim")
	}
	// A claim on an outdated view fails.
	if err := c.takeOver(context.Background(), 0, versioned[record.Part]{}, 1); err == nil {
		t.Fatal("claimed under a version that is gone")
	}
	if got, err := state.Get(context.Background(), statestore.Urgent("test"), record.PartKey(0)); err != nil || got.Version != e.Version {
		t.Fatalf("record %+v, %v", got, err)
	}
}

// A request that can't be served here for want of the state service is served
// by a controller that reaches it, and no further.
func TestRequestIsPassedOn(t *testing.T) {
	state := testkit.NewState()
	far := newTest(t, state)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go peer.Serve(ln, far, 2)
	down := testkit.NewState()
	down.Down = true
	c := newTest(t, down)
	c.peers["c-1"] = peer.NewClient(ln.Addr().String())
	req := httpwire.Request{Method: "POST", Path: wire.JobsPath, Body: body(t, nil)}
	if got := c.serveUser(req); got.status != 503 {
		t.Fatalf("with nobody known to reach the state service: %+v", got)
	}
	c.answered("c-1", nil, true)
	if got := c.serveUser(req); got.status != 201 {
		t.Fatalf("passed on: %+v", got)
	}
	far.resetOpen(nil, math.MaxUint64, time.Now()) // no watched copy: the record is read
	poll := httpwire.Request{Method: "GET", Path: wire.JobsPath + "/run-000412"}
	if got := c.serveUser(poll); got.status != 200 {
		t.Fatalf("poll passed on: %+v", got)
	}
	poll.Path = wire.JobsPath + "/run-999999"
	if got := c.serveUser(poll); got.status != 404 {
		t.Fatalf("poll of an unknown job passed on: %+v", got)
	}
	far.leaseAt = time.Now().Add(-time.Minute)
	if got := far.User(peer.UserArgs{Method: "GET", Path: poll.Path}); got.Status != 503 {
		t.Fatalf("served by one that is cut off itself: %+v", got)
	}
}

// Leaders stand aside only when others hear each other.
func TestOthersMeet(t *testing.T) {
	c := newTest(t, testkit.NewState())
	c.members = map[string]record.Member{"c-0": {Inc: 1}, "c-1": {Inc: 2, Alone: true}, "c-2": {Inc: 3, Alone: true}}
	if c.othersMeet() {
		t.Error("would stand aside though everybody is alone")
	}
	c.members["c-1"], c.members["c-2"] = record.Member{Inc: 2}, record.Member{Inc: 3}
	if !c.othersMeet() {
		t.Error("keeps the lead though others hear each other")
	}
}

// A machine reports to a controller of its zone, the owner if that is one, so
// that a cut between zones does not part them.
func TestReportsTo(t *testing.T) {
	c := newTest(t, testkit.NewState())
	now := time.Now()
	c.cfg.Zone = "z"
	if got := c.reportsTo("y", "m", "c-0", now); got != "c-0" {
		t.Errorf("where leases outlast a search for another controller it reports to %s, want the owner", got)
	}
	c.cfg.Params.Count = 5
	c.cfg.Peers = []config.Peer{{Label: "c-1", Zone: "y"}, {Label: "c-2", Zone: "y"}, {Label: "c-3", Zone: "x"}}
	for _, l := range []string{"c-0", "c-1", "c-2", "c-3"} {
		c.members[l] = record.Member{Inc: 1}
		c.peerOK[l] = now
	}
	for _, x := range []struct{ zone, owner, want string }{
		{"z", "c-1", "c-0"}, {"y", "c-2", "c-2"}, {"x", "c-0", "c-3"}, {"w", "c-1", "c-1"},
	} {
		if got := c.reportsTo(x.zone, "m", x.owner, now); got != x.want {
			t.Errorf("zone %s, owner %s: reports to %s, want %s", x.zone, x.owner, got, x.want)
		}
	}
	c.peerRefused["c-1"] = now
	if got := c.reportsTo("z", "m", "c-1", now); got != "c-1" {
		t.Errorf("with the owner refusing connections from here the machine reports to %s, want the owner", got)
	}
	delete(c.peerRefused, "c-1")
	delete(c.members, "c-3")
	if got := c.reportsTo("x", "m", "c-0", now); got != "c-0" {
		t.Errorf("without a live controller in its zone it reports to %s, want the owner", got)
	}
	if to := c.sendOn("y", "m", "c-0", now); to != "c-1" && to != "c-2" {
		t.Errorf("sent on to %q", to)
	}
	if to := c.sendOn("y", "m", "c-0", now); to != "" {
		t.Errorf("sent on to %q again after it came back", to)
	}
}

// An owner that the leader does not reach records what it would rent; the
// leader carries that out under the recorded name, and the machines are the
// owner's.
func TestRentalsOfAnOwnerAlone(t *testing.T) {
	ctx := context.Background()
	state, cl := testkit.NewState(), &testkit.Cloud{}
	c, leader := newTest(t, state), newTest(t, state)
	c.cloud, leader.cloud = cl, cl
	c.submit(body(t, nil))
	if err := c.takeOver(ctx, 0, versioned[record.Part]{}, 1); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	c.planAlone(ctx, now)
	if c.own != nil {
		t.Fatal("plans for itself though the leader asked a moment ago")
	}
	c.syncedAt = now.Add(-time.Minute)
	c.planAlone(ctx, now)
	c.planAlone(ctx, now)
	var name string
	for range 1000 { // the write is another goroutine's
		entries, _, err := state.List(ctx, statestore.Urgent("test"), record.RentalPrefix)
		if err != nil {
			t.Fatal(err)
		}
		if len(entries) > 0 {
			name = record.Last(entries[0].Key)
			leader.resetFleet(entries, math.MaxUint64, now)
			break
		}
		runtime.Gosched()
	}
	if name == "" {
		t.Fatal("no rental recorded")
	}
	l := &leading{plan: fleet.NewLeader(leader.fleetConfig()), rentals: map[string]record.Rental{}}
	r := leader.fleet.Unfinished()[name]
	leader.finishRental(ctx, l, name, r.Rec, r.Version)
	if len(cl.Rentals[name]) == 0 {
		t.Fatalf("rentals %v, want %s", cl.Rentals, name)
	}
	if v, ok := leader.fleet.Machine(cl.Rentals[name][0]); !ok || v.Part != 0 {
		t.Fatalf("machine %+v, want it in the owner's part", v)
	}
	leader.mu.Lock()
	leader.takeUp(ctx, l)
	leader.mu.Unlock()
	if len(cl.Rentals) != 1 {
		t.Fatalf("rentals %v, want one only", cl.Rentals)
	}
}

// A leader is one incarnation: after a restart the label alone does not lead,
// and what the earlier life asks late fails.
func TestLeaderIsAnIncarnation(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	before, after := newTest(t, state), newTest(t, state)
	before.inc, after.inc = 1, 2
	before.stand(ctx, versioned[record.Head]{})
	now := time.Now()
	if !before.leads(now) {
		t.Fatal("does not lead")
	}
	after.leader = before.leader // as the watch tells the next life
	if after.leads(now) {
		t.Fatal("leads by its label")
	}
	after.stand(ctx, after.leader)
	if !after.leads(now) {
		t.Fatal("the next life can't lead")
	}
	stale := before.leader
	before.stand(ctx, stale) // late
	if e, err := state.Get(ctx, statestore.Urgent("test"), record.Leader); err != nil || e.Version != after.leader.version {
		t.Fatalf("record %+v, %v: the earlier life took the lead back", e, err)
	}
	if _, err := state.Txn(ctx, statestore.Urgent("test"), wire.Txn{
		If:   []wire.Cond{{Key: record.RentalKey("x")}, {Key: record.Leader, Version: stale.version}},
		Then: []wire.Op{{Put: record.RentalKey("x"), Value: record.Encode(record.Rental{})}},
	}); err == nil {
		t.Fatal("a rental decided under the earlier lead was recorded")
	}
}

// Whatever the order of outages, restarts, take-overs and views read anew,
// every accepted job answers once they are over, with nothing older than what
// was told before.
func TestKnownAgain(t *testing.T) {
	ctx := context.Background()
	events := map[string]func(*testkit.State, *Controller) *Controller{
		"outage": func(s *testkit.State, c *Controller) *Controller {
			s.Outage(true)
			c.resetOpen(nil, math.MaxUint64, time.Now())
			if got := c.poll("run-000001"); got.status == 404 {
				t.Error("forgotten in an outage")
			}
			s.Outage(false)
			return c
		},
		"restart": func(s *testkit.State, c *Controller) *Controller { return newTest(t, s) },
		"take over": func(s *testkit.State, c *Controller) *Controller {
			if err := c.takeOver(ctx, 0, c.partRecs[0], 2); err != nil {
				t.Error(err)
			}
			return c
		},
		"views lost": func(s *testkit.State, c *Controller) *Controller {
			c.resetOpen(nil, math.MaxUint64, time.Now())
			return c
		},
		"views read anew": func(s *testkit.State, c *Controller) *Controller {
			open, _, err := s.List(ctx, statestore.Urgent("test"), record.OpenPrefix)
			if err != nil {
				t.Fatal(err)
			}
			c.resetOpen(open, math.MaxUint64, time.Now())
			return c
		},
	}
	for a, first := range events {
		for b, second := range events {
			state := testkit.NewState()
			c := newTest(t, state)
			for i, ref := range []string{"run-000001", "run-000002", "run-000003"} {
				if got := c.submit(body(t, set("ref", ref))); got.status != 201 {
					t.Fatalf("%s: %+v", ref, got)
				}
				if i == 1 {
					owned(state, c, func() reply { return c.cancel(ref) })
				}
			}
			c = second(state, first(state, c))
			c.resetOpen(nil, math.MaxUint64, time.Now()) // without watched copies the records are read
			for ref, want := range map[string]string{"run-000001": wire.Pending, "run-000002": wire.Cancelled, "run-000003": wire.Pending} {
				got := c.poll(ref)
				if st, ok := got.body.(wire.Status); got.status != 200 || !ok || st.State != want {
					t.Errorf("%s then %s: %s answers %+v, want %s", a, b, ref, got, want)
				}
			}
		}
	}
}

// Polls that wait are answered by one comparison; what has changed since the
// copy was watched is not confirmed.
func TestPollsAreConfirmedTogether(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	c, other := newTest(t, state), newTest(t, state)
	var batch []*confirmation
	for _, ref := range []string{"run-000001", "run-000002", "run-000003"} {
		c.submit(body(t, set("ref", ref)))
		batch = append(batch, &confirmation{wire.Cond{Key: record.OpenKey(ref), Version: c.open[ref].version}, make(chan bool, 1)})
	}
	owned(state, other, func() reply { return other.cancel("run-000002") })
	c.confirm(ctx, batch)
	for i, want := range []bool{true, false, true} {
		if got := <-batch[i].done; got != want {
			t.Errorf("poll %d confirmed %t, want %t", i, got, want)
		}
	}
	state.Down = true
	c.confirm(ctx, batch[:1])
	if <-batch[0].done {
		t.Error("confirmed without the state service")
	}
}

// When changes were missed, the views are read anew: what is gone is dropped.
func TestViewsReadAnew(t *testing.T) {
	state := testkit.NewState()
	c := newTest(t, state)
	now := time.Now()
	c.submit(body(t, nil))
	e := state.Put(record.RentalKey("r"), record.Rental{Type: "big", Zone: "z", Parts: []int{0}, IDs: []string{"m"}})
	c.resetFleet([]wire.Entry{e}, e.Version, now)
	if _, ok := c.fleet.Machine("m"); !ok || len(c.open) != 1 {
		t.Fatal("views are empty")
	}
	c.resetFleet(nil, math.MaxUint64, now)
	c.resetOpen(nil, math.MaxUint64, now)
	if _, ok := c.fleet.Machine("m"); ok || len(c.open) != 0 {
		t.Fatal("views keep what is gone")
	}
	c.resetFleet([]wire.Entry{state.Put(record.RentalKey("r"), record.Rental{Type: "big", Zone: "z", Parts: []int{0}, IDs: []string{"m"}})}, math.MaxUint64, now)
	if _, ok := c.fleet.Machine("m"); !ok {
		t.Fatal("what comes again is not taken in")
	}
}

// A part may be taken over before the views are there. Read anew, they must not
// make its machines gone: not while a machine's own record is known and its
// rental is not yet, nor for a rental recorded after the list was read.
func TestViewsReadAnewKeepMachines(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	c := newTest(t, state)
	now := time.Now()
	rental := func(name, id string) wire.Entry {
		return state.Put(record.RentalKey(name), record.Rental{Type: "big", Zone: "z", Parts: []int{0}, IDs: []string{id}})
	}
	rental("r", "m")
	state.Put(record.OwnKey("m"), record.Machine{Type: "big", Zone: "z"})
	state.Put(record.BackKey(9, 9, 9), record.Back{IDs: []string{"x"}})
	if err := c.takeOver(ctx, 0, versioned[record.Part]{}, 1); err != nil {
		t.Fatal(err)
	}
	entries, rev, err := state.List(ctx, statestore.Urgent("test"), record.FleetPrefix)
	if err != nil {
		t.Fatal(err)
	}
	// Recorded here after the list was read.
	e := rental("s", "n")
	c.changeFleet(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, now)
	for _, e := range entries { // one by one, as a watch could tell them
		c.changeFleet(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, now)
		if p := c.parts[0]; !p.HasMachine("m") || !p.HasMachine("n") {
			t.Fatalf("a machine is gone after %s", e.Key)
		}
	}
	c.resetFleet(entries, rev, now)
	if p := c.parts[0]; !p.HasMachine("m") || !p.HasMachine("n") {
		t.Fatal("a machine is gone after the views were read anew")
	}
}

// forgetful is a state service that has forgotten the changes a watch asks for,
// so many times.
type forgetful struct {
	*testkit.State
	times int
}

func (f *forgetful) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	if f.times--; f.times >= 0 {
		return wire.Changes{}, statestore.ErrTooOld
	}
	<-ctx.Done()
	return wire.Changes{}, ctx.Err()
}

// A watch that asks for changes no longer kept leads to reading all anew.
func TestMissedChangesAreReadAnew(t *testing.T) {
	state := testkit.NewState()
	c := newTest(t, state)
	c.store = &forgetful{state, 2}
	state.Put(record.RentalKey("r"), record.Rental{Type: "big", Zone: "z", Parts: []int{0}, IDs: []string{"m"}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resets := make(chan int)
	gone := wire.Txn{Then: []wire.Op{{Delete: record.RentalKey("r")}}}
	go c.watchLoop(ctx, record.FleetPrefix, func(entries []wire.Entry, rev uint64, at time.Time) {
		c.resetFleet(entries, rev, at)
		if _, err := state.Txn(ctx, statestore.Urgent("test"), gone); err != nil { // unseen
			t.Error(err)
		}
		select {
		case resets <- len(entries):
		case <-ctx.Done():
		}
	}, c.changeFleet)
	for i, want := range []int{1, 0, 0} {
		if got := <-resets; got != want {
			t.Fatalf("reading %d: %d records, want %d", i, got, want)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.fleet.Machine("m"); ok {
		t.Fatal("the view keeps what went while it missed changes")
	}
}

// A controller that stood still while its clocks ran on sends nothing that was
// recorded before: it looks at what it still is before it answers, though none of
// its loops has run again.
func TestStandingStillStartsNothing(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	c := newTest(t, state)
	c.viewAt, c.jobsAt, c.fleetAt = time.Now(), time.Now(), time.Now()
	if err := c.takeOver(ctx, 0, versioned[record.Part]{}, 1); err != nil {
		t.Fatal(err)
	}
	e := state.Put(record.RentalKey("r"), record.Rental{Type: "big", Zone: "z", Parts: []int{0}, IDs: []string{"m"}})
	c.changeFleet(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}, time.Now())
	w := testkit.NewWorker("m", "big", "z", false)
	r := w.Report()
	r.Addr = "" // nothing is sent straight to it
	c.mu.Lock()
	c.ownReport(c.parts[0], &r, time.Now())
	c.mu.Unlock()
	// held is an answer kept back that is due after the lease's last renewal.
	held := func(renewed time.Time) (starts int) {
		got := make(chan reply, 1)
		c.mu.Lock()
		c.leaseAt = renewed
		c.hold(c.parts[0], "m", time.Hour, func(r reply) { got <- r })
		c.release("m", time.Now())
		c.mu.Unlock()
		o, _ := (<-got).body.(wire.Orders)
		return len(o.Commands)
	}
	if got := c.submit(body(t, func(m map[string]any) { m["berries"] = 1 })); got.status != 201 {
		t.Fatalf("submission: %+v", got)
	}
	for held(time.Now()) == 0 { // until the start is recorded
		runtime.Gosched()
	}
	if held(time.Now().Add(-30*time.Second)) > 0 {
		t.Fatal("starts what it recorded before it stood still")
	}
	if held(time.Now()) == 0 {
		t.Fatal("the start is lost")
	}
}
