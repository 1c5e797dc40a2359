package leader

import (
	"math"
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/statestore"
)

// What is granted of the state service's limits, with what is lent and what those that did
// not answer may be using, keeps within them, whoever needs how much.
func TestRatesAreSharedWithinTheLimits(t *testing.T) {
	limits := config.State{RPS: 200, WriteRPS: 25}
	labels := []string{"c-0", "c-1", "c-2", "c-3"}
	const turn = 2 * time.Second
	for name, x := range map[string]struct {
		demands map[string]Demand
		gone    string // not alive by its member record
		silent  int    // alive, but without an answer
	}{
		"nobody needs anything": {demands: map[string]Demand{"c-0": {}, "c-1": {}, "c-2": {}, "c-3": {}}},
		"all need more than there is": {demands: map[string]Demand{
			"c-0": {Requests: 1000, Changes: 1000}, "c-1": {Requests: 1000, Changes: 1000},
			"c-2": {Requests: 1000, Changes: 1000}, "c-3": {Requests: 1000, Changes: 1000}}},
		"one is busy":               {demands: map[string]Demand{"c-0": {Requests: 300, Changes: 40}, "c-1": {}, "c-2": {}, "c-3": {}}},
		"one does not answer":       {demands: map[string]Demand{"c-0": {Requests: 300}, "c-1": {}, "c-2": {}}, silent: 1},
		"one is gone":               {demands: map[string]Demand{"c-0": {Requests: 300}, "c-1": {}, "c-2": {}}, gone: "c-3"},
		"the leader reaches nobody": {demands: map[string]Demand{"c-0": {Requests: 300}}, silent: 3},
	} {
		t.Run(name, func(t *testing.T) {
			all := controllers{len(labels), labels, func(label string) bool { return label != x.gone }}
			requests, changes := all.shareRates(limits, x.demands, turn)
			if len(requests) != len(x.demands) || len(changes) != len(x.demands) {
				t.Fatalf("granted to %d and %d controllers, want %d", len(requests), len(changes), len(x.demands))
			}
			reserved := float64(x.silent) / float64(len(labels))
			if got, want := sum(requests), limits.RPS*(grantedShare-reserved); math.Abs(got-want) > 1e-9 {
				t.Errorf("%g requests a second granted in all, want %g", got, want)
			}
			if got, want := sum(changes), limits.WriteRPS*(grantedShare-statestore.LoanShare-reserved); math.Abs(got-want) > 1e-9 {
				t.Errorf("%g changes a second granted in all, want %g", got, want)
			}
			for label, d := range x.demands {
				if fair := limits.RPS * grantedShare / float64(len(labels)); requests[label] < min(fair, float64(d.Requests)/turn.Seconds())-1e-9 && x.silent == 0 {
					t.Errorf("%s is granted %g requests a second, less than its need and an equal share", label, requests[label])
				}
			}
		})
	}
}

func sum(rates map[string]float64) float64 {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	return total
}

// A grant lasts for a while without the leader, and then an equal share counts.
func TestGrantExpires(t *testing.T) {
	limits := config.State{RPS: 200, WriteRPS: 20}
	store := &limitedStore{}
	var g ReceivedGrant
	now := time.Now()
	g.SetLocked(store, 90, 9, now)
	g.SetLocked(store, 0, 0, now.Add(time.Second)) // orders alone bring no grant
	if g.ExpireLocked(store, limits, 4, now.Add(GrantLifetime)); store.requests != 90 || store.changes != 9 {
		t.Errorf("limits %g and %g while the grant lasts", store.requests, store.changes)
	}
	if g.ExpireLocked(store, limits, 4, now.Add(GrantLifetime+1)); store.requests != 50 || store.changes != 5 {
		t.Errorf("limits %g and %g without a leader, want an equal share", store.requests, store.changes)
	}
}

// limitedStore keeps the limits that it is set.
type limitedStore struct {
	statestore.Store
	requests, changes float64
}

func (s *limitedStore) SetLimits(requests, changes float64) {
	s.requests, s.changes = requests, changes
}
