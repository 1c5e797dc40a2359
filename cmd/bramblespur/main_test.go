package main

import (
	"testing"

	"bramblespur/internal/config"
)

// The runtime's memory limit leaves room for the memory that the runtime does not count, with the
// smallest valid settings and with those of the deployments.
func TestRuntimeSettings(t *testing.T) {
	for _, x := range []struct {
		cpu, memory float64
		procs       int
	}{{0.005, 24, 1}, {0.036, 49, 1}, {0.072, 147, 1}, {0.24, 234, 1}, {1, 1024, 1}, {2.5, 4096, 3}} {
		r := config.Resources{CPUShare: x.cpu, MemoryMB: x.memory}
		if got := processors(r); got != x.procs {
			t.Errorf("share %g: %d processors, want %d", x.cpu, got, x.procs)
		}
		limit := float64(r.HeapBytes()) / (1 << 20)
		if limit < x.memory/3 || limit+config.NonRuntimeMB > x.memory*0.97 {
			t.Errorf("%g MB: a runtime limit of %.1f MB", x.memory, limit)
		}
	}
}
