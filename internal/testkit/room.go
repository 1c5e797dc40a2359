package testkit

import (
	"slices"

	"bramblespur/internal/wire"
)

// freeCapacity is what a machine that can take tasks has left.
type freeCapacity struct {
	Place
	cpus, gpus, memoryGB float64
}

// takeTask reports whether a task fits, and takes its part of the capacity if so.
func (c *freeCapacity) takeTask(spec *wire.Spec) bool {
	if c.cpus < spec.CPUs || c.gpus < spec.GPUs || c.memoryGB < spec.MemoryGB {
		return false
	}
	c.cpus -= spec.CPUs
	c.gpus -= spec.GPUs
	c.memoryGB -= spec.MemoryGB
	return true
}

// allows reports whether the specification of a job allows a machine.
func allows(spec *wire.Spec, at Place) bool {
	switch {
	case spec.Types != nil && !slices.Contains(spec.Types, at.Type):
		return false
	case spec.Zone != nil && *spec.Zone != at.Zone:
		return false
	default:
		return spec.Spot || !at.Spot
	}
}

// room returns a Room of the machines as they are now. The Room takes no lock: the checker calls it
// under its own, which agents take under theirs.
func (w *World) room() Room {
	machines := w.freeCapacities()
	return func(spec *wire.Spec, may func(zone string) bool) bool {
		return hasRoom(machines, spec, may)
	}
}

// freeCapacities returns what the machines that can take tasks have left, ordered by ID.
func (w *World) freeCapacities() []freeCapacity {
	var machines []freeCapacity
	for _, a := range w.Machines() {
		if free, usable := a.freeCapacity(); usable {
			machines = append(machines, free)
		}
	}
	return machines
}

// freeCapacity returns what the machine has left, and whether it can take tasks.
func (a *Agent) freeCapacity() (free freeCapacity, usable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	free = freeCapacity{Place: a.Place, cpus: a.typ.CPUs, gpus: a.typ.GPUs, memoryGB: a.typ.MemoryGB}
	for _, t := range a.tasks {
		if spec, ok := a.w.spec(t.ref); ok && t.active() {
			free.cpus -= spec.CPUs
			free.gpus -= spec.GPUs
			free.memoryGB -= spec.MemoryGB
		}
	}
	return free, !a.hung && a.notice == nil
}

// hasRoom reports whether a task of a job, or its whole gang, fits on the machines in the allowed zones.
func hasRoom(machines []freeCapacity, spec *wire.Spec, may func(zone string) bool) bool {
	if spec.CPUs <= 0 && spec.GPUs <= 0 && spec.MemoryGB <= 0 {
		return false
	}
	need := 1
	if spec.Kind == wire.Gang {
		need = spec.Tasks
	}
	fits := map[string]int{} // tasks that fit, by zone if all must be in one zone
	for _, free := range machines {
		if !allows(spec, free.Place) || !may(free.Zone) {
			continue
		}
		zone := ""
		if spec.OneZone {
			zone = free.Zone
		}
		for fits[zone] < need && free.takeTask(spec) {
			fits[zone]++
		}
		if fits[zone] >= need {
			return true
		}
	}
	return false
}
