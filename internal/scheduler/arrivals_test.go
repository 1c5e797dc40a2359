package scheduler

import (
	"math"
	"testing"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Arrivals are counted in machines, with spot work apart and at most a few tasks of an array for
// on-demand machines, and they decay.
func TestArrivalsCountMachinesAndDecay(t *testing.T) {
	cfg := &Config{
		Teams: map[string]Team{"a": {Name: "a", GPUs: 2}, "b": {Name: "b"}},
		Types: map[string]wire.MachineType{"big": {Name: "big", CPUs: 16, GPUs: 2}},
	}
	now := testkit.NewClock().Now()
	arrive := func(a *arrivalRate, team, kind string, spot bool) {
		s := spec("run-000001", team, kind, "normal", 8, 1)
		s.Spot = spot
		a.record(&Job{spec: &s}, cfg, now)
	}
	var a arrivalRate
	arrive(&a, "b", wire.Array, true) // neither bound to on-demand machines nor guaranteed
	if a.onDemand+a.spot != 0 {
		t.Fatalf("%+v after spot work without a guarantee, want no arrivals", a)
	}
	arrive(&a, "a", wire.Array, true)
	arrive(&a, "b", wire.Gang, false)
	arrive(&a, "b", wire.Array, false)
	if want := 8*0.5 + maxArrayArrivals*0.5; a.spot != 8*0.5 || a.onDemand != want {
		t.Fatalf("%+v, want %v spot machines and %v on-demand machines", a, 8*0.5, want)
	}
	before := a.onDemand
	a.decay(now.Add(arrivalDecay))
	if got := a.onDemand / before; math.Abs(got-1/math.E) > 1e-9 {
		t.Errorf("after arrivalDecay %v of the arrivals are left, want %v", got, 1/math.E)
	}
}
