package controller

import (
	"bytes"
	"context"
	"encoding/gob"
	"maps"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/controller/leader"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// What was measured repeats exactly, so the bounds lie close above it: a record decoded or
// encoded once more than needed fails, not only twice the work.
const (
	failoverAllocs    = 56   // for a job of two tasks and its machine; measured: 50
	otherShardAllocs  = 0.5  // for another part's job in a take-over; 0.02
	knownRecordAllocs = 0.5  // for a job and its machine in records that are known; 0.09
	statusQueryAllocs = 53   // for one of an open job and one of a job that is over; 46
	startAllocs       = 280  // from a submission to its recorded start; 242
	controllerBytes   = 4400 // for a machine and its job; 2976
	summaryBytes      = 90   // of a call's answer for a machine, of which it may have 8 MB
)

// bubble runs f where time moves only when all wait.
func bubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// A take-over decodes what is the part's own, and that once.
func TestFailoverAllocations(t *testing.T) {
	const size = 200
	measure := func(foreign int) (allocs float64) {
		bubble(t, func(t *testing.T) {
			c, state, _ := fleetController(t, size, size)
			for i := range foreign {
				spec := mustSpec(t, jobBody(t, withField("ref", ref(1000+i))))
				state.Put(record.ActiveJobKey(spec.Ref), record.ActiveJob{Spec: *spec, Shard: 1})
			}
			reloadActiveJobsView(t, c)
			allocs = measureFailoverAllocs(t, 5, c, state, synctest.Wait)
		})
		return allocs
	}
	own := measure(0)
	if got := own / size; got > failoverAllocs {
		t.Errorf("%.1f allocations for a job and its machine, want %d at most", got, failoverAllocs)
	}
	if got := (measure(size) - own) / size; got > otherShardAllocs {
		t.Errorf("%.2f allocations for another part's job, want %g at most", got, otherShardAllocs)
	}
}

// measureFailoverAllocs measures what a controller allocates to take its part over anew.
func measureFailoverAllocs(t *testing.T, runs int, c *Controller, state *countingState, settled func()) float64 {
	t.Helper()
	inc := uint64(1)
	return testing.AllocsPerRun(runs, func() {
		c.mu.Lock()
		held, _ := c.cluster.Shard(0)
		c.shards.DropAllLocked()
		c.mu.Unlock()
		inc++
		acquireTestShard(t, c, state, held, inc)
		settled()
	})
}

// serveRequest brings a user's request to a controller whose lease stands, and waits for the
// answer.
func serveRequest(c *Controller, method, path string, body []byte) transport.Response {
	c.mu.Lock()
	setLeaseRenewed(c, time.Now())
	c.mu.Unlock()
	later := make(chan transport.Response, 1)
	if r, now := c.handle(httpwire.Request{Method: method, Path: path, Body: body}, func(r transport.Response) { later <- r }); now {
		return r
	}
	return <-later
}

// A poll of an open job costs few allocations and its part of one request, whatever is
// open besides; one of a job that is over costs no request.
func TestStatusQueryAllocations(t *testing.T) {
	for _, jobs := range []int{40, 400} {
		bubble(t, func(t *testing.T) {
			c, state, _ := fleetController(t, 40, jobs)
			c.terminalStates.Put("run-900000", record.FinishedJob{State: wire.Done, Tasks: 2})
			synctest.Wait()
			state.reset()
			const polls = 20
			got := testing.AllocsPerRun(polls-1, func() { // one more to warm up
				if r := serveRequest(c, "GET", wire.JobsPath+"/"+ref(7), nil); r.Status != 200 {
					t.Fatalf("answered %+v", r)
				}
				if r := serveRequest(c, "GET", wire.JobsPath+"/run-900000", nil); r.Status != 200 {
					t.Fatalf("answered %+v", r)
				}
			})
			if got > statusQueryAllocs {
				t.Errorf("%d jobs: %.0f allocations for two polls, want %d at most", jobs, got, statusQueryAllocs)
			}
			if n := state.txns.Load(); n != polls {
				t.Errorf("%d jobs: %d polls of each kind took %d requests", jobs, polls, n)
			}
		})
	}
}

// A submission takes one change until it is accepted and another until its start is
// recorded, and its allocations don't grow with what is open besides.
func TestSubmissionToStart(t *testing.T) {
	for _, machines := range []int{40, 400} {
		bubble(t, func(t *testing.T) {
			c, state, workers := fleetController(t, machines, 0)
			exchangeHeartbeats(t, c, workers)
			state.reset()
			const jobs = 10
			var bodies [][]byte
			for i := range jobs {
				bodies = append(bodies, jobBody(t, func(m map[string]any) { m["ref"], m["berries"], m["cards"] = ref(i), 1, 0.0 }))
			}
			got := testing.AllocsPerRun(jobs-1, func() { // one more to warm up
				b := bodies[0]
				bodies = bodies[1:]
				if r := serveRequest(c, "POST", wire.JobsPath, b); r.Status != 201 {
					t.Fatalf("answered %+v", r)
				}
				time.Sleep(c.shards.SchedulerConfigLocked().StartBatchDelay)
				c.shards.Update(c.shards.GetLocked(0), func(time.Time) {})
				synctest.Wait()
			})
			if got > startAllocs {
				t.Errorf("%d machines: %.0f allocations from a submission to its start, want %d at most", machines, got, startAllocs)
			}
			if n := state.txns.Load(); n != 2*jobs {
				t.Errorf("%d machines: %d jobs took %d transactions to their starts, want two each", machines, jobs, n)
			}
		})
	}
}

// What a controller has written, or has read before, costs next to nothing when it comes
// once more: its own writes come back by the watch, and all records when that fails.
func TestKnownRecordsAllocations(t *testing.T) {
	const size = 200
	c, state, _ := fleetController(t, size, size)
	ctx := context.Background()
	open, rev, err := state.List(ctx, statestore.Urgent("test"), record.ActiveJobPrefix)
	if err != nil {
		t.Fatal(err)
	}
	machines, _, err := state.List(ctx, statestore.Urgent("test"), record.FleetPrefix)
	if err != nil {
		t.Fatal(err)
	}
	got := testing.AllocsPerRun(5, func() {
		c.resetActiveJobs(open, rev, time.Now())
		c.resetMachines(machines, rev, time.Now())
	}) / size
	if got > knownRecordAllocs {
		t.Errorf("%.2f allocations for a known machine and job, want %g at most", got, knownRecordAllocs)
	}
}

// What a controller holds for a machine and its job, views included, is little.
func TestBytesOfAController(t *testing.T) {
	const size = 1600
	before := liveHeap()
	c, state, workers := fleetController(t, size, size)
	exchangeHeartbeats(t, c, workers)
	state.State, workers = nil, nil // the test's own
	c.store = nil
	if got := (liveHeap() - before) / size; got > controllerBytes {
		t.Errorf("%d bytes for a machine and its job, want %d at most", got, controllerBytes)
	}
	runtime.KeepAlive(c)
}

// A whole controller with the largest fleet: what it holds, what it reads and allocates to
// take it over, and what it tells the leader, which must fit what one call may bring.
func TestControllerHoldsLargestFleet(t *testing.T) {
	before := liveHeap()
	c, state, workers := fleetController(t, largestFleetMachines, largestFleetJobs)
	exchangeHeartbeats(t, c, workers)
	allocs := measureFailoverAllocs(t, 1, c, state, func() {})
	if got := allocs / largestFleetMachines; got > failoverAllocs {
		t.Errorf("%.1f allocations to take a machine and its job over, want %d at most", got, failoverAllocs)
	}
	exchangeHeartbeats(t, c, workers)
	c.mu.Lock()
	reply := peer.SyncReply{Summaries: leaderHost{c}.SummariesLocked(time.Now())}
	c.mu.Unlock()
	var told bytes.Buffer
	if err := gob.NewEncoder(&told).Encode(reply); err != nil {
		t.Fatal(err)
	}
	if len(reply.Summaries[0].Machines) != largestFleetMachines || told.Len() > largestFleetMachines*summaryBytes {
		t.Errorf("%d bytes for %d machines, want %d each at most", told.Len(), len(reply.Summaries[0].Machines), summaryBytes)
	}
	state.State, workers, reply = nil, nil, peer.SyncReply{} // the test's own
	c.store = nil
	told.Reset()
	if got := (liveHeap() - before) / largestFleetMachines; got > controllerBytes {
		t.Errorf("%d bytes for a machine and its job, want %d at most", got, controllerBytes)
	}
	runtime.KeepAlive(c)
}

// tally counts what a controller's loops do.
type tally struct {
	mu  sync.Mutex
	did map[string]int
}

func (n *tally) add(what string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.did[what]++
}

// reset starts counting anew and returns what was counted.
func (n *tally) reset() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.did
	n.did = map[string]int{}
	return out
}

// countingContext counts how often a loop waits or asks for something: each does so under its
// context, once.
type countingContext struct {
	context.Context
	n *tally
}

func (l countingContext) Done() <-chan struct{} {
	l.n.add("wait")
	return l.Context.Done()
}

// countingStore counts requests of the state service.
type countingStore struct {
	statestore.Store
	n *tally
}

func (s countingStore) Get(ctx context.Context, purpose statestore.Purpose, key string) (wire.Entry, error) {
	s.n.add(purpose.Name)
	return s.Store.Get(ctx, purpose, key)
}

func (s countingStore) List(ctx context.Context, purpose statestore.Purpose, prefix string) ([]wire.Entry, uint64, error) {
	s.n.add(purpose.Name)
	return s.Store.List(ctx, purpose, prefix)
}

func (s countingStore) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	s.n.add(purpose.Name)
	return s.Store.Txn(ctx, purpose, t)
}

func (s countingStore) Renew(ctx context.Context, lease uint64) error {
	s.n.add("lease")
	return s.Store.Renew(ctx, lease)
}

func (s countingStore) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error) {
	s.n.add("watch")
	return s.Store.Watch(ctx, prefix, since, wait)
}

// countingPeer counts calls of another controller.
type countingPeer struct {
	peer.Caller
	n *tally
}

func (p countingPeer) Call(method string, args, result any, timeout time.Duration) error {
	p.n.add("call " + method)
	return p.Caller.Call(method, args, result, timeout)
}

// A minute in which nothing happens costs a controller its ticks, its turns of the
// lead, its lease and its watches, and nothing else.
func TestQuietMinute(t *testing.T) {
	bubble(t, func(t *testing.T) {
		k := newCluster(t, near(1))
		defer k.stop()
		tallies := map[string]*tally{}
		k.prepare = func(label string, c *Controller) {
			n := &tally{did: map[string]int{}}
			tallies[label] = n
			c.dataLoss.SetAuditInterval(time.Minute)
			c.lifetime, c.store = countingContext{c.lifetime, n}, countingStore{c.store, n}
			for l, p := range c.peers {
				c.peers[l] = countingPeer{p, n}
			}
		}
		for _, label := range k.labels {
			k.start(label)
		}
		k.await(30*time.Second, "a leader and all parts", func() bool { return k.leader() != "" && k.allShardsOwned() })
		time.Sleep(time.Minute) // what belongs to the start is over
		for _, n := range tallies {
			n.reset()
		}
		time.Sleep(time.Minute)
		for label, n := range tallies {
			got := n.reset()
			most := maps.Clone(quietMinuteMax)
			if label == k.leader() {
				most["call Sync"] = 2 * 60
			} else {
				most["call Ping"] = 2 * 60
			}
			for what, times := range got {
				if times > most[what] {
					t.Errorf("%s: %s %d times in a quiet minute, want %d at most", label, what, times, most[what])
				}
			}
		}
	})
}

// Controllers that restart together each claim their own part, once: the first one back
// does not take the others', whose owners are gone for the moment, so that no part is read
// by two controllers and handed home later.
func TestAllRestartTogether(t *testing.T) {
	bubble(t, func(t *testing.T) {
		k := newCluster(t, far(1))
		defer k.stop()
		for _, label := range k.labels {
			k.start(label)
		}
		k.await(30*time.Second, "a leader and all parts", func() bool { return k.leader() != "" && k.allShardsOwned() })
		for _, label := range k.labels {
			k.crash(label)
		}
		time.Sleep(2 * membership.LeaseTTL)
		before := len(k.world.State.Writes())
		for _, label := range k.labels {
			k.start(label)
			time.Sleep(600 * time.Millisecond)
		}
		time.Sleep(2 * leader.PreferredOwnerStable)
		claims := map[string]int{}
		for _, w := range k.world.State.Writes()[before:] {
			for _, op := range w.Txn.Then {
				if strings.HasPrefix(op.Put, record.ShardPrefix) {
					claims[op.Put+" by "+w.From]++
				}
			}
		}
		for part := range k.params.Count {
			if home := k.process(k.labels[0]).c.shards.PreferredOwner(part); claims[record.ShardKey(part)+" by "+home] != 1 || len(claims) != k.params.Count {
				t.Fatalf("claims %v, want one of each part by its home", claims)
			}
		}
	})
}

// quietMinuteMax is what a controller does at most in a quiet minute. It waits 469 times, the
// leader 475: one loop more that turns once a second is too many.
var quietMinuteMax = map[string]int{
	"wait":  520, // of loops and for answers
	"lease": 60,
	"watch": 45,
	"audit": 2 * 3, // three lists by the leader, once in half a minute to one and a half
}
