package clusterview

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// Guards against a restart whose cost grows with the square of the jobs that depend on each other: in
// the order of DependentsFirst, each record changes the urgency of its own job only.
func TestListedJobsPassNothingOn(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var entries []wire.Entry
		for i := range 200 {
			job := record.ActiveJob{Spec: wire.Spec{Priority: []string{"low", "urgent"}[rnd.IntN(2)], EstimateS: float64(rnd.IntN(100)), DependsOn: []string{"run-999999"}}}
			for dependency := max(0, i-10); dependency < i; dependency++ {
				if rnd.IntN(2) == 0 {
					job.Spec.DependsOn = append(job.Spec.DependsOn, fmt.Sprintf("run-%06d", dependency))
				}
			}
			deadline := rnd.Float64() * 1000
			job.Spec.DeadlineS = &deadline
			entries = append(entries, wire.Entry{Key: record.ActiveJobKey(fmt.Sprintf("run-%06d", i)), Value: record.Encode(job), Version: uint64(i + 1)})
		}
		entries = append(entries, wire.Entry{Key: record.ActiveJobKey("run-000999"), Value: []byte(`{"spec":{"roots":3`), Version: 999})
		rnd.Shuffle(len(entries), func(a, b int) { entries[a], entries[b] = entries[b], entries[a] })
		sorted := DependentsFirst(entries)
		if len(sorted) != len(entries) {
			t.Fatalf("seed %d: %d of %d entries", seed, len(sorted), len(entries))
		}
		v := NewActiveJobs(scheduler.PlacementsPerRecord(16))
		for _, e := range sorted {
			ref := record.LastElement(e.Key)
			change, _, err := v.Apply(e.Change())
			if err != nil {
				if ref != "run-000999" {
					t.Fatal(err)
				}
				continue
			}
			if !slices.Equal(change.UrgencyChanged, []string{ref}) {
				t.Fatalf("seed %d: the record of %s changes the urgency of %v", seed, ref, change.UrgencyChanged)
			}
		}
	}
}

// No record is lost from a list whose jobs depend on each other in a cycle.
func TestDependentsFirstKeepsCycles(t *testing.T) {
	var entries []wire.Entry
	for ref, dependency := range map[string]string{"run-000001": "run-000002", "run-000002": "run-000001", "run-000003": "run-000003", "run-000004": "run-000001"} {
		job := record.ActiveJob{Spec: wire.Spec{DependsOn: []string{dependency}}}
		entries = append(entries, wire.Entry{Key: record.ActiveJobKey(ref), Value: record.Encode(job)})
	}
	keys := map[string]bool{}
	for _, e := range DependentsFirst(entries) {
		keys[e.Key] = true
	}
	if len(keys) != len(entries) {
		t.Errorf("%d of %d records", len(keys), len(entries))
	}
}
