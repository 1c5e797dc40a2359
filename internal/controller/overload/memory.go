package overload

import (
	"runtime/metrics"

	"bramblespur/internal/config"
)

// shortMemory is the share of the memory limit from which memory counts as short.
const shortMemory = 0.9

// Memory is the process's use of memory, in bytes, as counted by the Go runtime.
type Memory struct {
	Held uint64 // mapped and not released to the operating system
	Live uint64 // occupied by heap objects, live or not yet swept
}

// ReadMemory returns the present use of memory.
func ReadMemory() Memory {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(samples)
	return Memory{Held: samples[0].Value.Uint64() - samples[1].Value.Uint64(), Live: samples[2].Value.Uint64()}
}

// Short reports whether the memory held, including what the runtime does not count, exceeds the
// share shortMemory of the limit.
func (m Memory) Short(r config.Resources) bool {
	const megabyte = 1 << 20
	return float64(m.Held)/megabyte+config.NonRuntimeMB > r.MemoryMB*shortMemory
}
