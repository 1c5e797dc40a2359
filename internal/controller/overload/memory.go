package overload

import (
	"runtime/metrics"

	"bramblespur/internal/config"
)

// shortMemory is the part of the memory limit from which memory counts as short.
const shortMemory = 0.9

// Memory is what the runtime tells of the process's memory, in bytes.
type Memory struct {
	Held uint64 // mapped and not given back to the system
	Live uint64 // objects of the heap
}

// ReadMemory reads the runtime's metrics.
func ReadMemory() Memory {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(samples)
	return Memory{Held: samples[0].Value.Uint64() - samples[1].Value.Uint64(), Live: samples[2].Value.Uint64()}
}

// Short reports whether memory comes close to the limit.
func (m Memory) Short(r config.Resources) bool {
	const megabyte = 1 << 20
	return float64(m.Held)/megabyte+config.NonRuntimeMB > r.MemoryMB*shortMemory
}
