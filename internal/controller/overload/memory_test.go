package overload

import (
	"testing"

	"bramblespur/internal/config"
)

// The memory that the runtime does not count is added to the memory held before the comparison with
// the limit.
func TestMemoryShort(t *testing.T) {
	const mb = 1 << 20
	r := config.Resources{MemoryMB: 49}
	for held, want := range map[uint64]bool{10 * mb: false, 29 * mb: false, 31 * mb: true, 40 * mb: true} {
		if got := (Memory{Held: held}).Short(r); got != want {
			t.Errorf("%d MB held of 49 MB: short is %t, want the opposite", held/mb, got)
		}
	}
	if m := ReadMemory(); m.Live == 0 || m.Held < m.Live {
		t.Errorf("read %+v, want live memory, and at least as much held", m)
	}
}
