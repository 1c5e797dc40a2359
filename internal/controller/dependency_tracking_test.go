package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/rpc"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/leader"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// dependentBody is a submission of a job that names others.
func dependentBody(t *testing.T, ref string, roots any) []byte {
	t.Helper()
	return jobBody(t, func(m map[string]any) { m["ref"], m["roots"] = ref, roots })
}

// In a bubble, since requests give up after a time that a busy machine may take for the
// real work: a refusal for that reason looked like a wrong answer.
func TestDependentSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := testkit.NewState()
		other := newTestController(t, state) // accepted what c has not heard of
		if got := other.submit(jobBody(t, withField("ref", "run-000001"))); got.Status != 201 {
			t.Fatal(got)
		}
		if got := other.submit(jobBody(t, func(m map[string]any) { m["ref"], m["habit"] = "run-000002", "standing" })); got.Status != 201 {
			t.Fatal(got)
		}
		state.Put(record.FinishedJobKey("run-000003"), record.FinishedJob{State: wire.Done, Tasks: 2})
		state.Put(record.FinishedJobKey("run-000004"), record.FinishedJob{State: wire.Cancelled})
		var many []string
		for i := range 400 {
			ref := fmt.Sprintf("run-9%05d", i)
			state.Put(record.FinishedJobKey(ref), record.FinishedJob{State: wire.Done})
			many = append(many, ref)
		}
		for name, x := range map[string]struct {
			roots any
			want  int
		}{
			"null":                {nil, 201},
			"none":                {[]string{}, 201},
			"open":                {[]string{"run-000001"}, 201},
			"done, named twice":   {[]string{"run-000003", "run-000003"}, 201},
			"cancelled":           {[]string{"run-000004"}, 201},
			"several":             {[]string{"run-000003", "run-000001"}, 201},
			"many":                {many[:40], 201},
			"more than a record":  {many, 422},
			"never accepted":      {[]string{"run-000001", "run-000009"}, 422},
			"itself":              {[]string{"run-000500"}, 422},
			"a service":           {[]string{"run-000002"}, 422},
			"no list":             {"run-000001", 400},
			"numbers":             {[]int{1}, 400},
			"an object":           {map[string]string{}, 400},
			"null in the list":    {[]any{nil}, 400},
			"malformed reference": {[]string{"run-1"}, 400},
			"a pipeline":          {[]string{"pipe-000001"}, 400},
		} {
			c := newTestController(t, state)
			c.cfg.Params.State.Next.ValueKB = new(2.0)
			if got := c.submit(dependentBody(t, "run-000500", x.roots)); got.Status != x.want {
				t.Errorf("%s: status %d, want %d", name, got.Status, x.want)
			}
			e, err := state.Get(context.Background(), statestore.Urgent("test"), record.ActiveJobKey("run-000500"))
			if (err == nil) != (x.want == 201) {
				t.Errorf("%s: recorded: %v", name, err)
			}
			if err != nil {
				continue
			}
			var o record.ActiveJob
			if err := json.Unmarshal(e.Value, &o); err != nil || o.AwaitsDependencies != (len(o.Spec.DependsOn) > 0) {
				t.Errorf("%s: held %t with roots %v, %v", name, o.AwaitsDependencies, o.Spec.DependsOn, err)
			}
			// A known job is never refused, whatever it names now, and whatever the
			// limits have become.
			c.cfg.Params.State.Next.ValueKB = new(0.1)
			if got := newTestController(t, state).submit(dependentBody(t, "run-000500", []string{"run-000009"})); got.Status != 200 {
				t.Errorf("%s: repeat: status %d, want 200", name, got.Status)
			}
			if got := c.submit(dependentBody(t, "run-000500", x.roots)); got.Status != 200 {
				t.Errorf("%s: repeat under tighter limits: status %d, want 200", name, got.Status)
			}
			if _, err := state.Txn(context.Background(), statestore.Urgent("test"), wire.Txn{Then: []wire.Op{{Delete: e.Key}}}); err != nil {
				t.Fatal(err)
			}
		}
		c := newTestController(t, state)
		state.Down = true
		if got := c.submit(dependentBody(t, "run-000501", []string{"run-000009"})); got.Status != 503 {
			t.Errorf("unknown while the state service can't be asked: status %d, want 503", got.Status)
		}
	})
}

// ending is a record of a job's end as some owner writes it.
func recordEnd(t *testing.T, state *testkit.State, ref, how string) {
	t.Helper()
	_, err := state.Txn(context.Background(), statestore.Urgent("test"), wire.Txn{Then: []wire.Op{
		{Put: record.FinishedJobKey(ref), Value: record.Encode(record.FinishedJob{State: how})}, {Delete: record.ActiveJobKey(ref)}}})
	if err != nil {
		t.Fatal(err)
	}
}

// loadActiveJobsView brings a controller's loadActiveJobsView of open jobs up to date.
func loadActiveJobsView(t *testing.T, state *testkit.State, c *Controller) {
	t.Helper()
	open, rev, err := state.List(context.Background(), statestore.Urgent("test"), record.ActiveJobPrefix)
	if err != nil {
		t.Fatal(err)
	}
	c.resetActiveJobs(open, rev, time.Now())
}

func finalState(t *testing.T, state *testkit.State, ref string) string {
	t.Helper()
	e, err := state.Get(context.Background(), statestore.Urgent("test"), record.FinishedJobKey(ref))
	if err != nil {
		return ""
	}
	var j record.FinishedJob
	if err := json.Unmarshal(e.Value, &j); err != nil {
		t.Fatal(err)
	}
	return j.State
}

// The owner lets a job start once it reads the ends of all that it names, whether
// it was told of them or not; and it says pending until then.
func TestOwnerLearnsOfEndedDependencies(t *testing.T) {
	state := testkit.NewState()
	c, other := newTestController(t, state), newTestController(t, state)
	shard := scheduler.New(c.shards.SchedulerConfigLocked(), 0, 1)
	c.shards.ServeLocked(shard)
	for _, ref := range []string{"run-000001", "run-000002"} {
		other.submit(jobBody(t, withField("ref", ref)))
	}
	loadActiveJobsView(t, state, c)
	c.submit(dependentBody(t, "run-000003", []string{"run-000001", "run-000002"}))
	if got := shard.Dependencies(); len(got) != 2 {
		t.Fatalf("waits for %v, want both", got)
	}
	if got := c.submit(dependentBody(t, "run-000003", []string{"run-000001", "run-000002"})); got.Status != 200 || got.Body.(wire.JobState).State != wire.Pending {
		t.Fatalf("repeated submission: %+v, want pending", got)
	}
	// One end is told by its owner, the other only by the state service.
	recordEnd(t, state, "run-000001", wire.Done)
	c.ReceiveJobRecord(peer.NotifyArgs{Key: record.FinishedJobKey("run-000001"), Value: record.Encode(record.FinishedJob{State: wire.Done})})
	if got := shard.Dependencies(); len(got) != 1 || got[0] != "run-000002" {
		t.Fatalf("waits for %v after it was told of the first", got)
	}
	recordEnd(t, state, "run-000002", wire.Done)
	loadActiveJobsView(t, state, c)
	c.lookUpDependency(context.Background(), "run-000002", nil) // as its loops do
	if got := shard.Dependencies(); len(got) != 0 {
		t.Fatalf("still waits for %v", got)
	}
	// What is not known yet is asked for again, not taken for done.
	other.submit(jobBody(t, withField("ref", "run-000004")))
	c.ReceiveJobRecord(peer.NotifyArgs{Key: record.ActiveJobKey("run-000005"), Version: 99,
		Value: record.Encode(record.ActiveJob{Spec: wire.Spec{Ref: "run-000005", Tasks: 1, DependsOn: []string{"run-000004"}}, AwaitsDependencies: true})})
	c.lookUpDependency(context.Background(), "run-000004", nil)
	if got := shard.Dependencies(); len(got) != 1 {
		t.Fatalf("waits for %v, want the one that the view lacks", got)
	}
}

// Whoever finds a root cancelled ends what needs it, through any depth, also while
// the owners are gone, and says so only once it is recorded.
func TestDependentsOfCancelledJobEndWithoutTheirOwners(t *testing.T) {
	state := testkit.NewState()
	c := newTestController(t, state)
	for i := range 12 {
		roots := []string{"run-000001"}
		if i > 0 {
			roots = []string{fmt.Sprintf("run-1%05d", i-1)} // a chain, and branches from its head
		}
		if i == 0 {
			c.submit(jobBody(t, withField("ref", "run-000001")))
		}
		c.submit(dependentBody(t, fmt.Sprintf("run-1%05d", i), roots))
		c.submit(dependentBody(t, fmt.Sprintf("run-2%05d", i), []string{"run-000001"}))
	}
	c.submit(jobBody(t, withField("ref", "run-000002")))
	recordEnd(t, state, "run-000001", wire.Cancelled)
	state.Limit(0, 2)
	for range 14 { // once each for the depth, and no more
		loadActiveJobsView(t, state, c)
		var roots []string
		after := map[string][]string{}
		for _, r := range c.activeJobs.EndedDependencies() {
			roots = append(roots, r)
			after[r] = c.activeJobs.Dependents(r)
		}
		for _, r := range roots {
			c.lookUpDependency(context.Background(), r, after[r])
		}
	}
	for i := range 12 {
		for _, ref := range []string{fmt.Sprintf("run-1%05d", i), fmt.Sprintf("run-2%05d", i)} {
			if finalState(t, state, ref) != wire.Cancelled {
				t.Errorf("%s is not ended", ref)
			}
			if got := c.statusQuery(ref); got.Status != 200 || got.Body.(wire.Status).State != wire.Cancelled {
				t.Errorf("%s: poll %+v", ref, got)
			}
		}
	}
	if finalState(t, state, "run-000002") != "" {
		t.Error("a job that needs nothing was ended")
	}
	if n := c.dependencyReads.Len(); n > 24 {
		t.Errorf("%d reads of roots are remembered", n)
	}
}

// A root that was done lets go what waits; nobody ends it.
func TestDoneDependencyCancelsNothing(t *testing.T) {
	state := testkit.NewState()
	c := newTestController(t, state)
	c.submit(jobBody(t, withField("ref", "run-000001")))
	c.submit(dependentBody(t, "run-000002", []string{"run-000001"}))
	recordEnd(t, state, "run-000001", wire.Done)
	loadActiveJobsView(t, state, c)
	c.lookUpDependency(context.Background(), "run-000001", []string{"run-000002"})
	if finalState(t, state, "run-000002") != "" {
		t.Error("ended though its root was done")
	}
}

// The limits to write by are the tighter ones from the start; what only the second
// version reads is written, and the lower rate used, once every controller of the
// settings has given its word, and then for ever.
func TestNewFormatNeedsAllControllers(t *testing.T) {
	state := testkit.NewState()
	c := newTestController(t, state)
	c.cfg.Params.State = config.State{RPS: 100, WriteRPS: 40, ValueKB: 16, TxnOps: 16,
		Next: config.NextState{ValueKB: new(2.0), TxnOps: new(5), WriteRPS: new(28.0)}}
	c.cfg.Peers = []config.Peer{{Label: "c-1"}, {Label: "c-2"}}
	if l := c.writeLimits(); l.MaxValueBytes() != 2048 || l.TxnOps != 5 {
		t.Fatalf("writes by %+v", l)
	}
	word := func(label string) {
		e := state.Put(record.FormatKey(label), record.Format{Version: record.SizedRanges})
		c.applyClusterChange(e.Change(), time.Now())
	}
	c.cluster.SetAsOf(time.Now())
	c.member.RecordOwnFormat(context.Background()) // gives its own word, once
	c.member.RecordOwnFormat(context.Background())
	word("c-1")
	word("c-9") // of no concern
	if c.sizedRangesRequired() || c.clusterRates().WriteRPS != 40 {
		t.Fatal("one controller has not given its word")
	}
	word("c-2")
	if !c.sizedRangesRequired() || c.clusterRates().WriteRPS != 28 {
		t.Fatal("all have given their word")
	}
	c.resetCluster(nil, 0, time.Now())
	if !c.sizedRangesRequired() {
		t.Error("a word once given was forgotten")
	}
	c.cfg.Params.State.Next = config.NextState{WriteRPS: new(28.0)}
	if c.sizedRangesRequired() || c.clusterRates().WriteRPS != 28 {
		t.Error("only the rate is to fall")
	}
	// Where no limits are to come nothing changes.
	c.cfg.Params.State.Next = config.NextState{}
	if c.sizedRangesRequired() {
		t.Error("stated ranges without need")
	}
}

// Of each kind of record the largest that is written keeps to the limits to come.
func TestLargestRecords(t *testing.T) {
	state := testkit.NewState()
	c := newTestController(t, state)
	c.cfg.Params.State.Next = config.NextState{ValueKB: new(2.0), TxnOps: new(5)}
	most := c.writeLimits().MaxValueBytes()
	fits := func(name string, v any) {
		t.Helper()
		if n := len(record.Encode(v)); n > most {
			t.Errorf("%s takes %d bytes", name, n)
		}
	}
	n := leader.MaxProvision(c.writeLimits().MaxValueBytes())
	if n < 30 {
		t.Errorf("only %d machines a rental", n)
	}
	rental := record.Provision{Type: strings.Repeat("t", 32), Zone: strings.Repeat("z", 32), Spot: true, CreatedAt: time.Now().UnixMilli()}
	for i := range n {
		rental.Shards = append(rental.Shards, 6)
		rental.IDs = append(rental.IDs, fmt.Sprintf("i-%08d", i))
		rental.Addrs = append(rental.Addrs, "255.255.255.255:65535")
	}
	fits("a rental", rental)
	// A submission as long as it may be is refused, not recorded.
	long := jobBody(t, func(m map[string]any) { m["ref"], m["seedling"] = "run-000777", strings.Repeat("i", 3000) })
	if got := c.submit(long); got.Status != 422 {
		t.Errorf("a specification of 3,000 bytes: status %d, want 422", got.Status)
	}
	// One accepted under the wider limits can still be cancelled.
	o := record.ActiveJob{Spec: wire.Spec{Ref: "run-000778", Team: "a", Tasks: 2, Image: strings.Repeat("i", 3000), Types: []string{"big"}}}
	state.Put(record.ActiveJobKey(o.Spec.Ref), o)
	c.cancel(o.Spec.Ref)
	e, err := state.Get(context.Background(), statestore.Urgent("test"), record.ActiveJobKey(o.Spec.Ref))
	if err != nil {
		t.Fatal(err)
	}
	var short record.ActiveJob
	if err := json.Unmarshal(e.Value, &short); err != nil || !short.Cancelled || short.Spec.Team != "a" || short.Spec.Tasks != 2 {
		t.Errorf("cancelled: %+v, %v", short, err)
	}
	if n := len(e.Value); n > most {
		t.Errorf("its record takes %d bytes", n)
	}
}

// firstVersionPeer is a peer of the firstVersionPeer version: it has Ping, and no other method that
// matters here.
type firstVersionPeer struct{}

func (firstVersionPeer) Ping(_ string, r *bool) error { *r = true; return nil }

// A controller that can't reach the state service is asked for its word by others;
// one of the first version can't give it, and that is no failure.
func TestFormatsOfPeersAreRead(t *testing.T) {
	listen := func(name string, serve func(net.Listener)) string {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		t.Cleanup(func() { ln.Close() })
		go serve(ln)
		return ln.Addr().String()
	}
	old := listen("old", func(ln net.Listener) {
		srv := rpc.NewServer()
		if err := srv.RegisterName("Controller", firstVersionPeer{}); err != nil {
			return // and the test fails for want of an answer
		}
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go srv.ServeConn(conn)
		}
	})
	cut := newTestController(t, testkit.NewState())
	second := listen("new", func(ln net.Listener) { _ = peer.Serve(ln, cut, 2) })
	c := newTestController(t, testkit.NewState())
	c.cluster.SetAsOf(time.Now())
	c.peers = map[string]peer.Caller{"c-1": peer.NewClient(old), "c-2": peer.NewClient(second)}
	var ok bool
	if err := c.peers["c-1"].Call("Ping", "c-0", &ok, time.Minute); err != nil || !ok {
		t.Fatalf("the old peer: %t, %v", ok, err)
	}
	var n int
	if err := c.peers["c-1"].Call("Format", "c-0", &n, time.Minute); err == nil {
		t.Fatal("the old peer has a format")
	}
	c.member.RecordPeerFormats(context.Background(), c.peers)
	for {
		c.mu.Lock()
		old, new := c.cluster.Format("c-1"), c.cluster.Format("c-2")
		c.mu.Unlock()
		if new == record.SizedRanges {
			if old != 0 || c.cluster.Format(c.cfg.Label) != 0 {
				t.Errorf("formats %d of c-1, %d of itself", old, c.cluster.Format(c.cfg.Label))
			}
			return
		}
		runtime.Gosched()
	}
}
