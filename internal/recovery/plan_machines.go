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

// planMachines restores a record of machines. One of which only the snapshot knows may have been
// cleared since: it counts if the cloud still lists one of its machines.
func (p *planner) planMachines(key string) {
	e, from, _ := p.newest(key)
	if from != FromSnapshot {
		p.planNewest(key)
		return
	}
	ids, err := machinesOf(e)
	if err != nil {
		p.item(key, Lost, from, "its value makes no sense")
		return
	}
	for _, id := range ids {
		if _, listed := p.Listed[id]; listed {
			p.restore(key, e.Value, from, "the cloud lists "+id)
			return
		}
	}
	p.item(key, Finished, from, "the cloud lists none of its machines")
}

// machinesOf returns the machines that a record is about.
func machinesOf(e wire.Entry) ([]string, error) {
	if strings.HasPrefix(e.Key, record.OverridePrefix) {
		return []string{record.LastElement(e.Key)}, nil
	}
	var r struct { // a provision's and a batch's alike
		IDs []string `json:"ids"`
	}
	err := json.Unmarshal(e.Value, &r)
	return r.IDs, err
}

// plannedFleet returns the machines by the records as they will be.
func (p *planner) plannedFleet() *record.Fleet {
	f := record.NewFleet()
	for _, key := range slices.Sorted(maps.Keys(p.items)) {
		i := p.items[key]
		if !strings.HasPrefix(key, record.FleetPrefix) || (i.Outcome != Intact && i.Outcome != Recovered) {
			continue
		}
		value := i.Put
		if value == nil {
			value = p.Store[key].Value
		}
		// What makes no sense was reported as lost already.
		_, _ = f.Apply(wire.Change{Put: key, Value: value, Version: 1})
	}
	return f
}

// planUnrecordedMachines records machines that were told to do something once and have no record. The
// others are left to the leader, which gives them back.
func (p *planner) planUnrecordedMachines() {
	f := p.plannedFleet()
	for _, id := range slices.Sorted(maps.Keys(p.Heartbeats)) {
		r := p.Heartbeats[id]
		_, listed := p.Listed[id]
		if _, known := f.Machine(id); known || !listed || r.Token == 0 {
			continue
		}
		rental := record.Provision{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Shards: []int{p.shardFor(&r)}, IDs: []string{id}, Addrs: []string{r.Addr}, CreatedAt: p.Mode.Since}
		i := p.item(record.ProvisionKey("recovered-"+id), Recovered, FromHeartbeat, "its worker and the cloud tell it")
		i.Put = record.Encode(rental)
	}
}

// shardFor returns the shard of the first unfinished job of which a worker has a task, or else the
// first shard: what is not needed there moves on.
func (p *planner) shardFor(r *wire.Heartbeat) int {
	for _, t := range r.Tasks {
		ref, _, _ := scheduler.SplitTask(t.Task)
		if o, open := p.activeJobs[ref]; open {
			return o.Shard
		}
	}
	return 0
}
