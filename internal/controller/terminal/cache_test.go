package terminal

import (
	"fmt"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// The cache is bounded, and the last record put into it is never the one evicted.
func TestCacheIsBounded(t *testing.T) {
	cache := NewCache()
	for i := range maxCached + 10 {
		job := fmt.Sprintf("run-%06d", i)
		cache.Put(job, record.FinishedJob{State: wire.Done, Tasks: i})
		if terminal, ok := cache.Get(job); !ok || terminal.Tasks != i {
			t.Fatalf("%s: %+v, %t", job, terminal, ok)
		}
	}
	if n := len(cache.jobs); n != maxCached {
		t.Errorf("%d terminal records are cached, want %d", n, maxCached)
	}
	if _, ok := cache.Get("run-999999"); ok {
		t.Error("the cache has a record of a job that was never put into it")
	}
}
