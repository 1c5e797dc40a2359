package scheduler

import (
	"math"
	"testing"

	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// Arrivals count in machines' worth, spot work apart and little of an array, and decay.
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
	arrive(&a, "b", wire.Array, true) // may wait
	if a.onDemand+a.spot != 0 {
		t.Fatalf("%+v for spot work without a guarantee", a)
	}
	arrive(&a, "a", wire.Array, true)
	arrive(&a, "b", wire.Gang, false)
	arrive(&a, "b", wire.Array, false)
	if want := 8*0.5 + maxArrayArrivals*0.5; a.spot != 8*0.5 || a.onDemand != want {
		t.Fatalf("%+v, want %v machines of spot work and %v of other", a, 8*0.5, want)
	}
	before := a.onDemand
	a.decay(now.Add(arrivalDecay))
	if got := a.onDemand / before; math.Abs(got-1/math.E) > 1e-9 {
		t.Errorf("%v of it is left, want %v", got, 1/math.E)
	}
}
