package clusterview

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// heapBytes returns how many bytes of the heap are in use after a collection.
func heapBytes() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// dependentEntries returns the records of jobs that each depend on up to so many jobs before.
func dependentEntries(jobs, dependencies int) []wire.Entry {
	var entries []wire.Entry
	for i := range jobs {
		job := record.ActiveJob{Spec: wire.Spec{Ref: fmt.Sprintf("run-%06d", i), Team: "bench-lab", Class: "efficiency-bench", Kind: wire.Array,
			Priority: "low", Image: "img-07", Tasks: 1, CPUs: 1}, AwaitsDependencies: dependencies > 0}
		for d := max(0, i-dependencies); d < i; d++ {
			job.Spec.DependsOn = append(job.Spec.DependsOn, fmt.Sprintf("run-%06d", d))
		}
		entries = append(entries, wire.Entry{Key: record.ActiveJobKey(job.Spec.Ref), Value: record.Encode(job), Version: uint64(i + 1)})
	}
	return entries
}

// Guards against accepting more than a process can hold: the view and the shard of jobs with many
// dependencies take no more than the view says.
func TestDependentJobsTakeNoMoreThanSaid(t *testing.T) {
	const valueKB = 16
	placementsPerRecord := scheduler.PlacementsPerRecord(valueKB)
	for _, dependencies := range []int{0, 1, 10, 100, 1000} {
		t.Run(fmt.Sprint(dependencies), func(t *testing.T) {
			entries := dependentEntries(2000, dependencies)
			now := time.Unix(1e9, 0)
			before := heapBytes()
			v := NewActiveJobs(placementsPerRecord)
			shard := scheduler.New(&scheduler.Config{PlacementsPerRecord: placementsPerRecord, ValueBytes: valueKB << 10, TxnOps: 16}, 0, 1)
			for _, e := range entries {
				if _, _, err := v.Apply(e.Change()); err != nil {
					t.Fatal(err)
				}
				var job record.ActiveJob
				if err := json.Unmarshal(e.Value, &job); err != nil {
					t.Fatal(err)
				}
				shard.SetJob(record.LastElement(e.Key), job, e.Version, now)
			}
			held := heapBytes() - before
			jobs, said := v.Usage()
			t.Logf("%d bytes a job, said to be %d", held/jobs, said/jobs)
			if held > said {
				t.Errorf("%d jobs take %d bytes, said to be %d", jobs, held, said)
			}
			for _, e := range entries {
				v.Remove(record.LastElement(e.Key))
			}
			if jobs, said := v.Usage(); jobs != 0 || said != 0 {
				t.Errorf("%d jobs of %d bytes are left", jobs, said)
			}
			runtime.KeepAlive(shard)
			runtime.KeepAlive(entries)
		})
	}
}
