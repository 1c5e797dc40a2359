package drain

import (
	"errors"
	"maps"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// A zone keeps a machine that takes work, however many machines its records list. Only a zone with a
// single machine may lose it.
func TestZoneLimit(t *testing.T) {
	for _, x := range []struct {
		share float64
		zone  Zone
		want  int
	}{
		{0.5, Zone{1, 1}, 1},
		{0.5, Zone{1, 0}, 1}, // it takes no work anyway
		{0.5, Zone{2, 2}, 1},
		{0.5, Zone{2, 1}, 0}, // the other machine boots
		{0.5, Zone{6, 2}, 1},
		{0.5, Zone{6, 6}, 3},
		{1, Zone{6, 6}, 5},
		{1, Zone{6, 0}, -1}, // no count is known of the zone
		{0.1, Zone{6, 6}, 1},
		{0, Zone{100, 100}, 34},
	} {
		s := testSettings(1)
		s.ZoneShare = x.share
		if got := s.zoneLimit(x.zone); got != x.want {
			t.Errorf("share %v of %+v: limit %d, want %d", x.share, x.zone, got, x.want)
		}
	}
}

// A Serving record never counts more machines than there are, and small changes of a large count are not
// written.
func TestServingUpdate(t *testing.T) {
	rec, writes := Serving{}, 0
	count := func(n int) {
		t.Helper()
		counts := map[string]int{}
		if n > 0 {
			counts["a"] = n
		}
		next, changed := rec.Update(7, 3, counts)
		if changed {
			rec = next
			writes++
		}
		if rec.Zones["a"] > n || rec.Zones["a"] < n-2*n/servingRounding {
			t.Errorf("%d recorded, want slightly fewer than %d or as many", rec.Zones["a"], n)
		}
	}
	for n := range 40 {
		count(n)
	}
	for n := 40; n >= 0; n-- {
		count(n)
	}
	writes = 0
	for _, n := range []int{570, 571, 569, 575, 560, 570, 571} {
		count(n)
	}
	if writes != 1 {
		t.Errorf("%d writes for a count that hardly changes, want 1", writes)
	}
	for _, x := range []struct{ token, plans uint64 }{{8, 3}, {7, 4}} {
		if _, changed := rec.Update(x.token, x.plans, map[string]int{"a": 571}); !changed {
			t.Errorf("not written under token %d and plan version %d", x.token, x.plans)
		}
	}
	if _, changed := rec.Update(7, 3, map[string]int{"a": 571}); changed {
		t.Error("written though nothing has changed")
	}
}

// servingView returns a view of one drain at version 7 and of the Serving records of shards 0 and 1 at
// versions 20 and 21.
func servingView(t *testing.T, first, second Serving) *View {
	t.Helper()
	v := viewOf(t, testPlan(func(*Plan) {}))
	for shard, rec := range []Serving{first, second} {
		if err := v.Apply(wire.Change{Put: ServingKey(shard), Value: record.Encode(rec), Version: uint64(20 + shard)}); err != nil {
			t.Fatal(err)
		}
	}
	return v
}

// A Serving record counts only if the present owner wrote it since the newest drain.
func TestServingByZone(t *testing.T) {
	known := Serving{Token: 3, Plans: 7, Zones: map[string]int{"a": 2, "b": 1}}
	tokens := map[int]uint64{0: 3, 1: 4}
	for name, x := range map[string]struct {
		second Serving
		want   map[string]int
	}{
		"both known":          {Serving{Token: 4, Plans: 7, Zones: map[string]int{"a": 5}}, map[string]int{"a": 7, "b": 1}},
		"an earlier owner's":  {Serving{Token: 2, Plans: 7, Zones: map[string]int{"a": 5}}, map[string]int{"a": 2, "b": 1}},
		"before the drain":    {Serving{Token: 4, Plans: 6, Zones: map[string]int{"a": 5}}, map[string]int{"a": 2, "b": 1}},
		"an absurd number":    {Serving{Token: 4, Plans: 7, Zones: map[string]int{"a": -9}}, map[string]int{"a": 2, "b": 1}},
		"no zones":            {Serving{Token: 4, Plans: 7}, map[string]int{"a": 2, "b": 1}},
		"without an owner":    {Serving{Plans: 7, Zones: map[string]int{"a": 5}}, map[string]int{"a": 2, "b": 1}},
		"of an unknown shard": {Serving{}, map[string]int{"a": 2, "b": 1}},
	} {
		if got := servingView(t, known, x.second).ServingByZone(tokens); !maps.Equal(got, x.want) {
			t.Errorf("%s: %v, want %v", name, got, x.want)
		}
	}
}

// A Serving record that cannot be decoded is reported with its key, and its counts are unknown.
func TestMalformedServing(t *testing.T) {
	for key, value := range map[string]string{
		ServingKey(1):       `{"z":{"a":"many"}}`,
		ServingKey(2):       `{"t":-1}`,
		ServingPrefix + "x": `{}`,
	} {
		v := viewOf(t, testPlan(func(*Plan) {}))
		if err := v.Apply(wire.Change{Put: key, Value: []byte(value), Version: 9}); !errors.Is(err, ErrMalformed) || v.Invalid()[key] == nil {
			t.Errorf("%s: error %v, want a malformed record that is listed as invalid", key, err)
		}
		if got := v.ServingByZone(map[int]uint64{1: 1, 2: 1}); len(got) != 0 {
			t.Errorf("%s: counts %v, want none", key, got)
		}
		if err := v.Apply(wire.Change{Delete: key, Version: 10}); err != nil {
			t.Errorf("%s deleted: %v", key, err)
		}
	}
}

// A cordon is conditional on the Serving records of all shards, and this shard's machines do not count
// while its own record is outdated.
func TestCordonIsConditionalOnServingRecords(t *testing.T) {
	build := func(serving map[string]int) ([]Write, Steps) {
		v := servingView(t, Serving{Token: 3, Plans: 7, Zones: map[string]int{"a": 2}}, Serving{Token: 4, Plans: 7, Zones: map[string]int{"a": 2}})
		b := &TxnBuilder{
			Input: Input{Now: start, Settings: testSettings(1), View: v, MaxRecordBytes: 1 << 14, Machines: []*Machine{testMachine("m1"), testMachine("m2")}},
			Owner: wire.Condition{Key: record.ShardKey(0), Version: 3}, MachineGone: func(string) bool { return false },
			Tokens: map[int]uint64{0: 3, 1: 4}, Serving: serving,
		}
		b.Zones = b.KnownZones(map[string]int{"a": 9})
		ledgers := NewLedgers(v)
		steps := PlanSteps(&b.Input, ledgers)
		return b.Writes(steps, ledgers), steps
	}
	writes, steps := build(map[string]int{"a": 2})
	if len(writes) != 1 || len(steps.Cordon) != 2 {
		t.Fatalf("%d writes, cordons %v", len(writes), steps.Cordon)
	}
	versions := map[string]uint64{}
	for _, c := range writes[0].Txn.If {
		versions[c.Key] = c.Version
	}
	if versions[ServingKey(0)] != 20 || versions[ServingKey(1)] != 21 {
		t.Errorf("conditions %v, want both shards' counts", versions)
	}
	writes, steps = build(map[string]int{"a": 1})
	if len(steps.Cordon) != 1 {
		// Only the other shard's two machines are known to take work, so one machine may be cordoned.
		t.Errorf("cordons %v, want one beside two machines of another shard", steps.Cordon)
	}
	if len(writes) == 0 || writes[0].Txn.Then[0].Put != ServingKey(0) {
		t.Errorf("writes %v, want first the lower count of this shard", writes)
	}
}

// A drain that may cordon no further machine of a zone holds its machines and gives the zone as the reason.
func TestZoneLimitHoldsDrain(t *testing.T) {
	p := testPlan(func(*Plan) {})
	in := &Input{Now: start, Settings: testSettings(1), View: viewOf(t, p), MaxRecordBytes: 1 << 14,
		Machines: []*Machine{testMachine("m1")}, Zones: map[string]Zone{"a": {Recorded: 3, Serving: 1}}}
	s := PlanSteps(in, NewLedgers(in.View))
	if len(s.Cordon) != 0 || len(s.Held) != 1 || s.Held[0].Reason != HoldZone {
		t.Errorf("cordons %v, held %v", s.Cordon, s.Held)
	}
	in.Zones["a"] = Zone{Recorded: 3, Serving: 2} // one has booted
	if s := PlanSteps(in, NewLedgers(in.View)); len(s.Cordon) != 1 || len(s.Held) != 0 {
		t.Errorf("once another machine takes work: cordons %v, held %v", s.Cordon, s.Held)
	}
}
