package testkit

import (
	"fmt"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Sizes and times of the fleets of FleetRecords.
const (
	fleetRental = 50            // machines of a provision request
	fleetTasks  = 10            // tasks of a job
	fleetBorn   = 1767600000000 // creation time of all records, in ms since 1970
)

// FleetMachine returns the ID of machine n of FleetRecords.
func FleetMachine(n int) string { return fmt.Sprintf("i-%06d", n) }

// FleetRecords returns, by key, the records of a fleet in which every machine runs two tasks of active
// jobs. Finished jobs make up the rest of the number of jobs.
func FleetRecords(machines, jobs int) map[string]wire.Entry {
	out := map[string]wire.Entry{}
	put := func(key string, v any) {
		out[key] = wire.Entry{Key: key, Version: uint64(len(out) + 1), Value: record.Encode(v)}
	}
	for n := 0; n < machines; n += fleetRental {
		r := record.Provision{Type: "g8", Zone: "a", CreatedAt: fleetBorn}
		for i := n; i < min(n+fleetRental, machines); i++ {
			r.IDs, r.Shards = append(r.IDs, FleetMachine(i)), append(r.Shards, 0)
			r.Addrs = append(r.Addrs, fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250))
		}
		put(record.ProvisionKey(fmt.Sprint("r-", n)), r)
	}
	open := 2 * machines / fleetTasks
	for n := range open {
		ref := fmt.Sprintf("run-%06d", n)
		put(record.ActiveJobKey(ref), record.ActiveJob{AcceptedAt: fleetBorn, Spec: wire.Spec{Ref: ref, Class: "train", Team: "vision", Kind: wire.Array,
			Priority: "normal", Tasks: fleetTasks, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, EstimateS: 240}})
		run := record.TaskRange{Attempt: 1, Placed: map[int]record.TaskPlacement{}, Size: fleetTasks, Generation: 1}
		for i := range fleetTasks {
			run.Placed[i] = record.TaskPlacement{Machine: FleetMachine((n*fleetTasks + i) / 2), Attempt: 1}
		}
		put(record.PlacementsKey(0, n), record.Placements{Format: record.SizedRanges, Ranges: map[string]record.TaskRange{record.RangeName(ref, 0): run}})
	}
	for n := open; n < jobs; n++ {
		put(record.FinishedJobKey(fmt.Sprintf("run-%06d", n)), record.FinishedJob{State: wire.Done, Tasks: fleetTasks, FinishedAt: fleetBorn})
	}
	return out
}
