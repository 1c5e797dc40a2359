package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramblespur/internal/record"
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

// setJobs gives a shard jobs with so many tasks each.
func setJobs(s *Shard, jobs, tasks int, now time.Time) {
	for i := range jobs {
		job := record.ActiveJob{Spec: wire.Spec{Ref: fmt.Sprintf("run-%06d", i), Team: "a", Class: "train", Kind: wire.Array, Tasks: tasks, CPUs: 1, Image: "img-1"}}
		s.SetJob(job.Spec.Ref, job, uint64(i+1), now)
	}
}

// Guards against memory that grows with the tasks that wait: four jobs of the largest size took more
// than a process may hold. A job takes no more than JobBytes, when none of its tasks has run and when
// all have.
func TestJobsTakeNoMoreThanJobBytes(t *testing.T) {
	for _, size := range []struct{ jobs, tasks int }{{2000, 1}, {500, 100}, {40, 100000}} {
		t.Run(fmt.Sprintf("%d-%d", size.jobs, size.tasks), func(t *testing.T) {
			now := time.Unix(1e9, 0)
			before := heapBytes()
			cfg := memoryTestConfig()
			s := New(cfg, 0, 1)
			setJobs(s, size.jobs, size.tasks, now)
			limit := size.jobs * JobBytes(&wire.Spec{Tasks: size.tasks}, 0, cfg.PlacementsPerRecord)
			if held := heapBytes() - before; held > limit {
				t.Errorf("%d jobs of %d waiting tasks take %d bytes, want %d at most", size.jobs, size.tasks, held, limit)
			}
			for _, j := range s.jobs {
				for i := range size.tasks {
					s.markCompleted(taskKey{j, i}, now)
					j.tasks.recordCompletion(i)
				}
			}
			if held := heapBytes() - before; held > limit {
				t.Errorf("%d jobs of %d completed tasks take %d bytes, want %d at most", size.jobs, size.tasks, held, limit)
			}
			runtime.KeepAlive(s)
		})
	}
}

// The shared tasks that stand for those without a placement are never changed, and a task that is
// unplaced is pending for whoever holds it.
func TestTaskTable(t *testing.T) {
	table := newTaskTable(130)
	m := &Machine{ID: "i-1"}
	held := table.place(129, m, 3)
	if got := table.at(129); got != held || got.state != placed || got.machine != m || got.attempt != 3 {
		t.Errorf("placed task %+v", got)
	}
	table.unplace(129)
	if held.state != pending || table.at(129).state != pending {
		t.Errorf("unplaced task %+v, held %+v", table.at(129), held)
	}
	table.complete(64)
	if got := table.at(64); got.state != completed || got.completionRecorded {
		t.Errorf("completed task %+v", got)
	}
	table.recordCompletion(64)
	if got := table.at(64); got.state != completed || !got.completionRecorded {
		t.Errorf("completed and recorded task %+v", got)
	}
	for _, i := range []int{0, 63, 65, 128, 129} {
		if got := table.at(i); got.state != pending {
			t.Errorf("task %d is %+v, want pending", i, got)
		}
	}
	if err := checkSharedTasks(); err != nil {
		t.Error(err)
	}
}

// checkSharedTasks checks that the shared tasks are as they were.
func checkSharedTasks() error {
	if *pendingTask != (task{state: pending}) || *completedTask != (task{state: completed}) || *recordedCompletedTask != (task{state: completed, completionRecorded: true}) {
		return fmt.Errorf("a shared task was changed: %+v, %+v, %+v", *pendingTask, *completedTask, *recordedCompletedTask)
	}
	return nil
}

// memoryTestConfig returns a configuration for the smallest records that a state service may allow.
func memoryTestConfig() *Config {
	const valueKB = 4
	return &Config{PlacementsPerRecord: PlacementsPerRecord(valueKB), ValueBytes: valueKB << 10, TxnOps: 16}
}
