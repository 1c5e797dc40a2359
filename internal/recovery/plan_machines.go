package recovery

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// planMachines restores a record of machines. A record that only the snapshot has may have been
// deleted since, so it is restored only if the cloud still lists one of its machines.
func (p *planner) planMachines(key string) {
	entry, from, _ := p.newest(key)
	if from != FromSnapshot {
		p.planNewest(key)
		return
	}
	ids, err := machinesOf(entry)
	if err != nil {
		p.addItem(key, Lost, from, "its value makes no sense")
		return
	}
	for _, id := range ids {
		if _, listed := p.Listed[id]; listed {
			p.restore(key, entry.Value, from, "the cloud lists "+id)
			return
		}
	}
	p.addItem(key, Finished, from, "the cloud lists none of its machines")
}

// machinesOf returns the IDs of the machines in a record.
func machinesOf(e wire.Entry) ([]string, error) {
	if strings.HasPrefix(e.Key, record.OverridePrefix) {
		return []string{record.LastElement(e.Key)}, nil
	}
	var r struct { // the same field in provisions and in batches
		IDs []string `json:"ids"`
	}
	err := json.Unmarshal(e.Value, &r)
	return r.IDs, err
}

// plannedFleet returns the machines according to the planned records.
func (p *planner) plannedFleet() *record.Fleet {
	fleet := record.NewFleet()
	for _, key := range slices.Sorted(maps.Keys(p.items)) {
		item := p.items[key]
		if !strings.HasPrefix(key, record.FleetPrefix) || (item.Outcome != Intact && item.Outcome != Recovered) {
			continue
		}
		value := item.Put
		if value == nil {
			value = p.Store[key].Value
		}
		// A record that cannot be decoded already has the outcome Lost.
		_, _ = fleet.Apply(wire.Change{Put: key, Value: value, Version: 1})
	}
	return fleet
}

// planUnrecordedMachines adds records for machines that the cloud lists and that have none, if they
// have a fencing token, so that they were sent commands once. The other machines without a record are
// left to the leader, which releases them.
func (p *planner) planUnrecordedMachines() {
	fleet := p.plannedFleet()
	for _, id := range slices.Sorted(maps.Keys(p.Heartbeats)) {
		heartbeat := p.Heartbeats[id]
		_, listed := p.Listed[id]
		if _, recorded := fleet.Machine(id); recorded || !listed || heartbeat.Token == 0 {
			continue
		}
		provision := record.Provision{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot, Shards: []int{p.shardFor(&heartbeat)}, IDs: []string{id}, Addrs: []string{heartbeat.Addr}, CreatedAt: p.Mode.Since}
		item := p.addItem(record.ProvisionKey("recovered-"+id), Recovered, FromHeartbeat, "its worker and the cloud tell it")
		item.Put = record.Encode(provision)
	}
}

// shardFor returns the shard for the machine of a worker: that of the first active job with a task on
// the worker, or else the first shard. A machine that is not needed there is transferred later.
func (p *planner) shardFor(heartbeat *wire.Heartbeat) int {
	for _, t := range heartbeat.Tasks {
		ref, _, _ := scheduler.SplitTask(t.Task)
		if job, active := p.activeJobs[ref]; active {
			return job.Shard
		}
	}
	return 0
}
