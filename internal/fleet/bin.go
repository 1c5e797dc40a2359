package fleet

import (
	"slices"

	"bramblespur/internal/wire"
)

// bin is a machine in the plan. Its CPUs, GPUs and MemoryGB are those that the plan has not
// assigned yet.
type bin struct {
	Machine
	shard    int
	assigned bool // used by a demand
	original *bin // for an entry of planning.emptied: the machine with its tasks
}

// newBin returns an empty machine that does not exist yet.
func newBin(t *wire.MachineType, zone string, spot bool) *bin {
	return &bin{Machine: Machine{Type: t.Name, Zone: zone, Spot: spot, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}}
}

func (b *bin) pool() pool { return pool{b.Type, b.Zone, b.Spot} }

// fits reports whether one task of a need may be placed on the machine and has room there, also in
// its worker's heartbeat.
func (b *bin) fits(n *Need) bool {
	const slack = 1e-6 // for rounding errors in sums of fractions
	return b.admits(n) && b.Held < wire.MaxReportedTasks && n.CPUs <= b.CPUs+slack && n.GPUs <= b.GPUs+slack && n.MemoryGB <= b.MemoryGB+slack
}

// admits reports whether a need may use the machine, regardless of the room on it.
func (b *bin) admits(n *Need) bool {
	switch {
	case b.For != "" && b.For != n.Job, n.Ahead && b.Avoided, b.Spot && !n.Spot, n.Zone != "" && n.Zone != b.Zone,
		slices.Contains(n.Avoids, b.ID):
		return false
	}
	return n.Types == nil || slices.Contains(n.Types, b.Type)
}

// use assigns the room of one task of a need.
func (b *bin) use(n *Need) {
	b.CPUs -= n.CPUs
	b.GPUs -= n.GPUs
	b.MemoryGB -= n.MemoryGB
	b.Held++
	b.assigned = true
}
