package controller

import (
	"fmt"
	"testing"
	"time"

	"bramblespur/internal/testkit"
)

// Two zones are partitioned from each other, and nothing else is, for longer than a lease. Workers
// whose owner is on the other side must find a controller of their own zone while their leases
// last, and keep their tasks.
//
// Guards against sending such a worker back to the owner for which it has just waited without an
// answer: the second wait outlasts the lease.
func TestZonesApartKeepLeases(t *testing.T) {
	for _, hold := range []bool{false, true} {
		t.Run(fmt.Sprintf("hold-%t", hold), func(t *testing.T) {
			runOnAllLayouts(t, func(k *cluster) {
				k.load()
				sessions := k.sessionsWithTasks()
				inside := k.inZone("b")
				heal := k.world.Net.AddPartition(&testkit.Partition{Match: testkit.Between(inside, not(inside)), Hold: hold})
				time.Sleep(2 * k.timing.Lease)
				crossing := 0
				for _, machine := range k.world.Machines() {
					session, busy := sessions[machine.ID]
					if busy && session != machine.Session() {
						t.Errorf("machine %s in zone %s, owned by %s, lost its lease", machine.ID, machine.Zone, k.ownerOfMachine(machine.ID))
					}
					if busy && inside(machine.ID) != inside(k.ownerOfMachine(machine.ID)) {
						crossing++
					}
				}
				heal()
				k.requireOccurred(crossing > 0, "machines with tasks are cut off from their owners")
			})
		})
	}
}

// sessionsWithTasks returns the agent incarnations of the machines that have tasks, by machine.
func (k *cluster) sessionsWithTasks() map[string]uint64 {
	sessions := map[string]uint64{}
	for _, machine := range k.world.Machines() {
		if len(machine.Tasks()) > 0 {
			sessions[machine.ID] = machine.Session()
		}
	}
	return sessions
}

// ownerOfMachine returns the label of the owner of a machine's shard, according to the view of any
// controller.
func (k *cluster) ownerOfMachine(id string) string {
	for _, label := range k.labels {
		process := k.process(label)
		if process == nil {
			continue
		}
		process.c.mu.Lock()
		view, known := process.c.machines.Machine(id)
		process.c.mu.Unlock()
		if known {
			return k.owner(view.Shard)
		}
	}
	return ""
}
