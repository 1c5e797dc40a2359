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

// When many machines are missing at once, the most urgent requests come first, but one place is
// left to the largest, which would otherwise never be made.
func TestLargestProvisionHasAPlace(t *testing.T) {
	request := func(zone string, n int) fleet.ProvisionRequest {
		return fleet.ProvisionRequest{Zone: zone, Shards: make([]int, n)}
	}
	requests := []fleet.ProvisionRequest{request("a", 3), request("b", 2), request("c", 4), request("d", 50), request("e", 9)}
	for n, want := range map[int]string{-1: "", 0: "", 1: "d", 2: "ad", 3: "abd", 4: "abcd", 5: "abcde", 9: "abcde"} {
		got := ""
		for _, r := range selectRequests(requests, n) {
			got += r.Zone
		}
		if got != want {
			t.Errorf("room for %d requests: zones %q selected, want %q", n, got, want)
		}
	}
}

// slowState is a state service whose transactions announce themselves on arrived, and wait until
// release is closed or receives a value.
type slowState struct {
	*testkit.State
	arrived, release chan struct{}
}

func (s *slowState) Txn(ctx context.Context, purpose statestore.Purpose, t wire.Txn) (uint64, error) {
	s.arrived <- struct{}{}
	<-s.release
	return s.State.Txn(ctx, purpose, t)
}

// While writes wait for the rate limit of the state service, the leader's turns go on. A turn does
// not repeat a write that is under way, which would only conflict and use up the rate limit.
func TestLeaderWritesOnce(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	host, l := newTestLeader(t, state)
	put := host.recordWriter(state)
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
	<-slow.arrived
	<-slow.arrived
	close(slow.release)
	for i, writes := 4, 2; ; i++ { // the last of the old records is deleted in a later turn
		host.Lock()
		v, _ := host.machines.Machine("a")
		left := len(host.machines.Versions())
		host.Unlock()
		turn(i)
		runtime.Gosched()
		for len(slow.arrived) > 0 {
			<-slow.arrived
			writes++
		}
		if v.Addr == "a:1" && left == 1 {
			if writes != 3 {
				t.Errorf("%d writes, want 3: one for the address and two to delete old records", writes)
			}
			return
		}
	}
}

// The addresses of a provision's machines are recorded once, when the address of every machine that
// will come up is known.
func TestAddressesAreRecorded(t *testing.T) {
	ctx := context.Background()
	state := testkit.NewState()
	host, l := newTestLeader(t, state)
	put := host.recordWriter(state)
	put(record.ProvisionKey("r"), record.Provision{Type: "big", Zone: "z", Shards: []int{0, 0, 0}, IDs: []string{"a", "b", "c"}})
	term := l.ensureTerm(time.Now())
	report := func(id, addr string) {
		host.Lock()
		defer host.Unlock()
		l.recordAddressesLocked(ctx, term, []fleet.Summary{{Machines: []fleet.Machine{{ID: id, Addr: addr}}}})
	}
	report("a", "a:1")
	report("b", "b:1")
	if len(host.machines.ProvisionsWithoutAddresses()) != 1 || len(term.provisions.addresses) != 2 {
		t.Fatal("the addresses were recorded although machine c may still come up")
	}
	put(record.ReleaseKey(0, 1, 1), record.Release{IDs: []string{"c"}}) // c never came up
	report("b", "b:1")
	for { // another goroutine writes the record
		host.Lock()
		left := len(host.machines.ProvisionsWithoutAddresses())
		v, _ := host.machines.Machine("a")
		host.Unlock()
		if left == 0 {
			if v.Addr != "a:1" {
				t.Fatalf("the view has machine a as %+v, want address a:1", v)
			}
			break
		}
		runtime.Gosched()
	}
	e, err := state.Get(ctx, statestore.Urgent("test"), record.ProvisionKey("r"))
	if err != nil || !strings.Contains(string(e.Value), `"addrs":["a:1","b:1",""]`) {
		t.Fatalf("provision record %s, error %v, want addresses a:1, b:1 and an empty one", e.Value, err)
	}
}

// The cloud answers a repeated request with the machines that it provided the first time. A leader
// whose lease is not certain for a moment, as in an outage of the state service, begins a new term
// under the same leadership. If it numbered its provisions from one again, it would reuse names
// whose records had been cleared: nothing would be provisioned, and the planner would wait for
// machines that are gone until each counted as never booted. In the log this shows as the same name
// twice in "machines provisioned" ("name=c-2-12-7", two minutes apart), each followed by "machine
// released why=never came up", while "job waits reason=machines" gives as many machines as not_up.
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
	l.EndTermLocked() // as when its lease is not certain
	host.Unlock()
	if second := provisionOne(ctx, host, l); second == first {
		t.Errorf("provision record %s is used twice, the cloud's provisions are %v", first, host.cloud.Provisioned)
	}
	if len(host.cloud.Provisioned) != 2 {
		t.Errorf("the cloud's provisions are %v, want two", host.cloud.Provisioned)
	}
}

// provisionOne has a leader provision one machine, waits until that is done, and returns the key of
// the provision's record.
func provisionOne(ctx context.Context, host *fakeHost, l *Leader) (key string) {
	term := l.ensureTerm(time.Now())
	host.Lock()
	l.startProvisionLocked(ctx, term, fleet.ProvisionRequest{Type: "big", Zone: "z", Shards: []int{0}})
	for name := range term.provisions.underWay {
		key = record.ProvisionKey(name)
	}
	host.Unlock()
	for { // another goroutine carries the provision out
		host.Lock()
		left := len(term.provisions.underWay)
		host.Unlock()
		if left == 0 {
			return key
		}
		runtime.Gosched()
	}
}

// An owner that never received a heartbeat of a machine cannot probe it if its address is not
// recorded. If the machine is dead, it counts as alive for several leases longer, and again after
// each change of the owner, while its tasks use up their team's quota. Addresses were learned from
// owners alone and were lost with the leader, so they are also learned from the cloud's list. Random
// schedule far-1999 showed the fault: "job waits job=run-000004 reason=team_limit team_gpus=4" while
// machine i-000003, silent since 00:21 and without an address, had two of the four GPUs; "machine
// released machine=i-000003 why=silent" came at 03:53, after two failovers.
func TestAddressesAreLearnedFromCloudList(t *testing.T) {
	state := testkit.NewState()
	host, l := newTestLeader(t, state)
	put := host.recordWriter(state)
	put(record.ProvisionKey("r"), record.Provision{Type: "big", Zone: "z", Shards: []int{0, 0}, IDs: []string{"a", "b"}})
	host.cloud.Provisioned = map[string][]string{"r": {"a", "b"}}
	host.cloud.addresses = map[string]string{"a": "a:1", "b": "b:1"}
	term := l.ensureTerm(time.Now())
	l.compareCloudList(t.Context(), term)
	host.Lock()
	l.recordAddressesLocked(t.Context(), term, []fleet.Summary{{Machines: []fleet.Machine{{ID: "a", Addr: "a:2"}}}})
	writing := len(term.provisions.recordingAddresses)
	host.Unlock()
	if writing != 1 {
		t.Fatal("the addresses are not being recorded, although the cloud's list has the one that no owner reported")
	}
	for { // another goroutine writes the record
		host.Lock()
		a, _ := host.machines.Machine("a")
		b, _ := host.machines.Machine("b")
		host.Unlock()
		if b.Addr == "" {
			runtime.Gosched()
			continue
		}
		if a.Addr != "a:2" || b.Addr != "b:1" {
			t.Errorf("recorded addresses %q and %q, want a:2 from the owner and b:1 from the list", a.Addr, b.Addr)
		}
		return
	}
}
