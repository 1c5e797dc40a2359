package leader

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// When much is missing at once, the most urgent requests come first, but the
// largest is not put off for ever.
func TestLargestProvisionHasAPlace(t *testing.T) {
	rent := func(zone string, n int) fleet.ProvisionRequest {
		return fleet.ProvisionRequest{Zone: zone, Shards: make([]int, n)}
	}
	rents := []fleet.ProvisionRequest{rent("a", 3), rent("b", 2), rent("c", 4), rent("d", 50), rent("e", 9)}
	for n, want := range map[int]string{-1: "", 0: "", 1: "d", 2: "ad", 3: "abd", 4: "abcd", 5: "abcde", 9: "abcde"} {
		got := ""
		for _, r := range selectRequests(rents, n) {
			got += r.Zone
		}
		if got != want {
			t.Errorf("room for %d: %q, want %q", n, got, want)
		}
	}
}

// slowState is a state service whose transactions wait until they are let go.
type slowState struct {
	*testkit.State
	asked, let chan struct{}
}

func (s *slowState) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	s.asked <- struct{}{}
	<-s.let
	return s.State.Txn(ctx, purpose, t)
}

// While changes wait for the state service's budget the leader's turns go on: what
// waits to be written is not written once more by each, which would only conflict
// and use the budget up.
func TestLeaderWritesOnce(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	host, l := newTestLeader(t, state)
	put := host.put(state)
	put(record.ProvisionKey("r"), record.Provision{Type: "big", Zone: "z", Shards: []int{0}, IDs: []string{"a"}})
	put(record.ProvisionKey("gone"), record.Provision{Type: "big", Zone: "z", Shards: []int{0}, IDs: []string{"b"}, Addrs: []string{"b:1"}})
	put(record.ReleaseKey(0, 1, 1), record.Release{IDs: []string{"b"}, Done: true})
	slow := &slowState{state, make(chan struct{}, 99), make(chan struct{})}
	host.store = slow
	term := l.ensureTerm(time.Now())
	turn := func(i int) {
		host.Lock()
		l.recordAddressesLocked(ctx, term, []fleet.Summary{{Machines: []fleet.Machine{{ID: "a", Addr: "a:1"}}}})
		host.Unlock()
		l.clearOldRecords(ctx, term, time.Now().Add(time.Duration(i)*clearInterval*2))
	}
	for i := range 4 {
		turn(i)
	}
	<-slow.asked
	<-slow.asked
	close(slow.let)
	for i, writes := 4, 2; ; i++ { // the last of the records goes with a later turn
		host.Lock()
		v, _ := host.machines.Machine("a")
		left := len(host.machines.Versions())
		host.Unlock()
		turn(i)
		runtime.Gosched()
		for len(slow.asked) > 0 {
			<-slow.asked
			writes++
		}
		if v.Addr == "a:1" && left == 1 {
			if writes != 3 {
				t.Errorf("%d writes, want one for the address and two for what is gone", writes)
			}
			return
		}
	}
}

// A provision's addresses are recorded once every machine that will come up has told
// its own, and not again.
func TestAddressesAreRecorded(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	host, l := newTestLeader(t, state)
	put := host.put(state)
	put(record.ProvisionKey("r"), record.Provision{Type: "big", Zone: "z", Shards: []int{0, 0, 0}, IDs: []string{"a", "b", "c"}})
	term := l.ensureTerm(time.Now())
	tell := func(id, addr string) {
		host.Lock()
		defer host.Unlock()
		l.recordAddressesLocked(ctx, term, []fleet.Summary{{Machines: []fleet.Machine{{ID: id, Addr: addr}}}})
	}
	tell("a", "a:1")
	tell("b", "b:1")
	if len(host.machines.ProvisionsWithoutAddresses()) != 1 || len(term.provisions.addresses) != 2 {
		t.Fatal("recorded though a machine may yet come up")
	}
	put(record.ReleaseKey(0, 1, 1), record.Release{IDs: []string{"c"}}) // it never did
	tell("b", "b:1")
	for { // the write is another goroutine's
		host.Lock()
		left := len(host.machines.ProvisionsWithoutAddresses())
		v, _ := host.machines.Machine("a")
		host.Unlock()
		if left == 0 {
			if v.Addr != "a:1" {
				t.Fatalf("got %+v", v)
			}
			break
		}
		runtime.Gosched()
	}
	e, err := state.Get(ctx, statestore.Urgent("test"), record.ProvisionKey("r"))
	if err != nil || !strings.Contains(string(e.Value), `"addrs":["a:1","b:1",""]`) {
		t.Fatalf("record %s, %v", e.Value, err)
	}
}

// The cloud answers a request that it has seen before with the machines of then. A leader that was
// not certain of its lease for a moment, as in an outage of the state service, goes on under the
// same leadership; it numbered its provisions from one again, so that names came back whose
// records had been cleared: nothing was rented, and the planner waited for machines that were gone
// until each counted as never booted. What showed it: "machines provisioned name=c-2-12-7" twice in
// one log, two minutes apart, each later "machine released why=never came up", while "job waits
// reason=machines" named as many machines as not_up.
func TestProvisionNamesAreNotReusedAfterLeaseGap(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	host, l := newTestLeader(t, state)
	host.leadership = state.Put(record.LeaderKey, record.Leader{Label: "c-0"}).Version
	first := provisionOne(ctx, host, l)
	// Its machine is lost, released, and all records of it are cleared.
	provision, err := state.Get(ctx, statestore.Urgent("test"), first)
	if err != nil {
		t.Fatal(err)
	}
	cleared := wire.Txn{If: []wire.Condition{{Key: first, Version: provision.Version}}, Then: []wire.Op{{Delete: first}}}
	if _, err := state.Txn(ctx, statestore.Urgent("test"), cleared); err != nil {
		t.Fatal(err)
	}
	host.Lock()
	host.ApplyOwnWritesLocked(cleared, provision.Version+1, time.Now())
	l.EndTermLocked() // its lease is not certain
	host.Unlock()
	if second := provisionOne(ctx, host, l); second == first {
		t.Errorf("%s is used twice, the cloud answered with %v", first, host.cloud.Rentals)
	}
	if len(host.cloud.Rentals) != 2 {
		t.Errorf("provisioned %v, want two machines", host.cloud.Rentals)
	}
}

// provisionOne has a leader provision one machine, and returns the record's key.
func provisionOne(ctx context.Context, host *fakeHost, l *Leader) (key string) {
	term := l.ensureTerm(time.Now())
	host.Lock()
	l.startProvisionLocked(ctx, term, fleet.ProvisionRequest{Type: "big", Zone: "z", Shards: []int{0}})
	for name := range term.provisions.underWay {
		key = record.ProvisionKey(name)
	}
	host.Unlock()
	for { // it is carried out by another goroutine
		host.Lock()
		left := len(term.provisions.underWay)
		host.Unlock()
		if left == 0 {
			return key
		}
		runtime.Gosched()
	}
}

// A machine whose address is on no record can't be asked by an owner that never heard it: if it is
// dead it counts as alive for several leases longer, and again after each change of the owner,
// while its tasks hold their team's quota. An address was learned from its owner alone and was
// lost with the leader. The cloud's list tells it, too. Chance schedules showed it (far-1999):
// "job waits job=run-000004 reason=team_limit team_gpus=4" while i-000003, silent since 00:21 and
// without an address, had two of the four; "machine released machine=i-000003 why=silent" came at
// 03:53 after two failovers.
func TestAddressesAreLearnedFromCloudList(t *testing.T) {
	state := testkit.NewState()
	host, l := newTestLeader(t, state)
	put := host.put(state)
	put(record.ProvisionKey("r"), record.Provision{Type: "big", Zone: "z", Shards: []int{0, 0}, IDs: []string{"a", "b"}})
	host.cloud.Rentals = map[string][]string{"r": {"a", "b"}}
	host.cloud.addresses = map[string]string{"a": "a:1", "b": "b:1"}
	term := l.ensureTerm(time.Now())
	l.compareCloudList(t.Context(), term)
	host.Lock()
	l.recordAddressesLocked(t.Context(), term, []fleet.Summary{{Machines: []fleet.Machine{{ID: "a", Addr: "a:2"}}}})
	writing := len(term.provisions.recordingAddresses)
	host.Unlock()
	if writing != 1 {
		t.Fatal("the addresses are not recorded, though the cloud's list told what owners did not")
	}
	for { // the write is another goroutine's
		host.Lock()
		a, _ := host.machines.Machine("a")
		b, _ := host.machines.Machine("b")
		host.Unlock()
		if b.Addr == "" {
			runtime.Gosched()
			continue
		}
		if a.Addr != "a:2" || b.Addr != "b:1" {
			t.Errorf("recorded %q and %q, want a:2 as the owner tells and b:1 as the list does", a.Addr, b.Addr)
		}
		return
	}
}
