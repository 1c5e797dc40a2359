package leader

import (
	"math"
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/statestore"
)

// Whatever the demands are, the grants, the loans and the equal shares left to live controllers
// that did not answer stay together within the state service's limits.
func TestRatesAreSharedWithinTheLimits(t *testing.T) {
	limits := config.State{RPS: 200, WriteRPS: 25}
	labels := []string{"c-0", "c-1", "c-2", "c-3"}
	const turn = 2 * time.Second
	for name, x := range map[string]struct {
		demands map[string]Demand
		gone    string // label of a controller that is not alive by its member record
		silent  int    // number of controllers that are alive but did not answer
	}{
		"no controller needs anything": {demands: map[string]Demand{"c-0": {}, "c-1": {}, "c-2": {}, "c-3": {}}},
		"all need more than the limits": {demands: map[string]Demand{
			"c-0": {Requests: 1000, Changes: 1000}, "c-1": {Requests: 1000, Changes: 1000},
			"c-2": {Requests: 1000, Changes: 1000}, "c-3": {Requests: 1000, Changes: 1000}}},
		"one is busy":                 {demands: map[string]Demand{"c-0": {Requests: 300, Changes: 40}, "c-1": {}, "c-2": {}, "c-3": {}}},
		"one does not answer":         {demands: map[string]Demand{"c-0": {Requests: 300}, "c-1": {}, "c-2": {}}, silent: 1},
		"one is gone":                 {demands: map[string]Demand{"c-0": {Requests: 300}, "c-1": {}, "c-2": {}}, gone: "c-3"},
		"the leader reaches no other": {demands: map[string]Demand{"c-0": {Requests: 300}}, silent: 3},
	} {
		t.Run(name, func(t *testing.T) {
			all := controllers{len(labels), labels, func(label string) bool { return label != x.gone }}
			requests, changes := all.shareRates(limits, x.demands, turn)
			if len(requests) != len(x.demands) || len(changes) != len(x.demands) {
				t.Fatalf("granted to %d and %d controllers, want %d", len(requests), len(changes), len(x.demands))
			}
			reserved := float64(x.silent) / float64(len(labels))
			if got, want := sum(requests), limits.RPS*(grantedShare-reserved); math.Abs(got-want) > 1e-9 {
				t.Errorf("%g requests per second granted in all, want %g", got, want)
			}
			if got, want := sum(changes), limits.WriteRPS*(grantedShare-statestore.LoanShare-reserved); math.Abs(got-want) > 1e-9 {
				t.Errorf("%g changes per second granted in all, want %g", got, want)
			}
			for label, d := range x.demands {
				if fair := limits.RPS * grantedShare / float64(len(labels)); requests[label] < min(fair, float64(d.Requests)/turn.Seconds())-1e-9 && x.silent == 0 {
					t.Errorf("%s is granted %g requests per second, less than its demand and an equal share", label, requests[label])
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

// A grant remains valid for GrantLifetime without the leader. Then the limits fall back to an equal
// share.
func TestGrantExpires(t *testing.T) {
	limits := config.State{RPS: 200, WriteRPS: 20}
	store := &limitedStore{}
	var g ReceivedGrant
	now := time.Now()
	g.SetLocked(store, 90, 9, now)
	g.SetLocked(store, 0, 0, now.Add(time.Second)) // a sync that sends only orders makes no grant
	if g.ExpireLocked(store, limits, 4, now.Add(GrantLifetime)); store.requests != 90 || store.changes != 9 {
		t.Errorf("limits %g and %g while the grant is valid, want 90 and 9", store.requests, store.changes)
	}
	if g.ExpireLocked(store, limits, 4, now.Add(GrantLifetime+1)); store.requests != 50 || store.changes != 5 {
		t.Errorf("limits %g and %g after the grant expired, want equal shares of 50 and 5", store.requests, store.changes)
	}
}

// limitedStore records the limits passed to SetLimits.
type limitedStore struct {
	statestore.Store
	requests, changes float64
}

func (s *limitedStore) SetLimits(requests, changes float64) {
	s.requests, s.changes = requests, changes
}
