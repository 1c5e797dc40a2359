package fleet

import (
	"slices"

	"bramblespur/internal/wire"
)

// bin is a machine in the plan, with the room that is left on it.
type bin struct {
	Machine
	shard    int
	promised bool // to a demand
	original *bin // the machine that this one is, once emptied
}

// newBin is a machine that is not there yet.
func newBin(t *wire.MachineType, zone string, spot bool) *bin {
	return &bin{Machine: Machine{Type: t.Name, Zone: zone, Spot: spot, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}}
}

func (b *bin) pool() pool { return pool{b.Type, b.Zone, b.Spot} }

// fits reports whether one task of a need may go to the machine and has room there.
func (b *bin) fits(n *Need) bool {
	const slack = 1e-6 // for sums of fractions
	return b.admits(n) && n.CPUs <= b.CPUs+slack && n.GPUs <= b.GPUs+slack && n.MemoryGB <= b.MemoryGB+slack
}

// admits reports whether a need may use the machine, however full it is.
func (b *bin) admits(n *Need) bool {
	switch {
	case b.For != "" && b.For != n.Job, n.Ahead && b.Avoided, b.Spot && !n.Spot, n.Zone != "" && n.Zone != b.Zone:
		return false
	}
	return n.Types == nil || slices.Contains(n.Types, b.Type)
}

// use takes the room of one task.
func (b *bin) use(n *Need) {
	b.CPUs -= n.CPUs
	b.GPUs -= n.GPUs
	b.MemoryGB -= n.MemoryGB
	b.promised = true
}
