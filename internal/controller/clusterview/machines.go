package clusterview

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Machines is the view of the records under record.FleetPrefix: all machines that
// were provisioned and whose records have not been deleted yet.
type Machines struct {
	freshness

	mu          sync.Mutex // a leaf: see the package's lock order
	fleet       *record.Fleet
	inUseByZone *zoneCounts // nil until the first call of InUseByZone
}

// zoneCounts counts the machines in use by zone. It is updated whenever a machine's records change,
// so that a count does not need a pass over all machines.
type zoneCounts struct {
	zoneOf map[string]string // zones of the counted machines, by machine ID
	counts map[string]int    // by zone
}

// newZoneCounts counts the machines of a fleet.
func newZoneCounts(machines *record.Fleet) *zoneCounts {
	z := &zoneCounts{map[string]string{}, map[string]int{}}
	machines.ForEach(func(id string, v record.MachineView) { z.update(id, v, true) })
	return z
}

// update counts a machine according to its new view, in place of its last one. If the machine is no
// longer known, update only removes it from the counts.
func (z *zoneCounts) update(id string, v record.MachineView, known bool) {
	if zone, counted := z.zoneOf[id]; counted {
		delete(z.zoneOf, id)
		if z.counts[zone]--; z.counts[zone] == 0 {
			delete(z.counts, zone)
		}
	}
	if known && v.Phase == record.InUse {
		z.zoneOf[id] = v.Zone
		z.counts[v.Zone]++
	}
}

// MachineChange describes a machine after at least one of its records changed.
type MachineChange struct {
	ID string
	// View is what the records say about the machine; zero unless Known.
	View  record.MachineView
	Known bool // the view has the record that provisioned the machine
	// Released says that the record that provisioned the machine was deleted. Only
	// this proves that the machine is gone: a view without such a record may just
	// not have received it yet.
	Released bool
}

// NewMachines returns a view without records.
func NewMachines() *Machines { return &Machines{fleet: record.NewFleet()} }

// Forget drops all records and resets AsOf and Revision. The caller then has to list
// the records again.
func (v *Machines) Forget() {
	v.forget()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet, v.inUseByZone = record.NewFleet(), nil
}

// Apply applies changed and deleted records, from a list or the watch, to the view and
// returns the machines that they concern. It applies all records before it looks up any
// machine, since a machine may seem not to exist while only the first of its records is
// applied. It skips records that are not newer than the one held or than its deletion, and
// those that cannot be decoded, of which it returns the errors.
func (v *Machines) Apply(changes []wire.Change) ([]MachineChange, []error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.apply(changes)
}

// ApplyAhead is Apply for changes that this controller has written itself, ahead of the
// watch. The answer to the write may come late: a change after which the view has seen
// others is skipped.
func (v *Machines) ApplyAhead(changes []wire.Change) ([]MachineChange, []error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.apply(slices.DeleteFunc(slices.Clone(changes), v.includes))
}

// apply applies changes. The lock is held.
func (v *Machines) apply(changes []wire.Change) ([]MachineChange, []error) {
	released := map[string]bool{} // by the ID of a changed machine: its provision record was deleted
	var errs []error
	for _, change := range changes {
		if v.deletedSince(change.Put+change.Delete, change.Version) {
			continue
		}
		if change.Delete != "" {
			v.noteDeletion(change.Delete, change.Version)
		}
		ids, err := v.fleet.Apply(change)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		provisionDeleted := strings.HasPrefix(change.Delete, record.ProvisionPrefix)
		for _, id := range ids {
			released[id] = released[id] || provisionDeleted
		}
	}
	changed := make([]MachineChange, 0, len(released))
	for id, provisionDeleted := range released {
		view, known := v.fleet.Machine(id)
		if v.inUseByZone != nil {
			v.inUseByZone.update(id, view, known)
		}
		changed = append(changed, MachineChange{ID: id, View: view, Known: known, Released: provisionDeleted})
	}
	return changed, errs
}

// Machine returns what the records say about a machine, and whether the view has
// the record that provisioned it.
func (v *Machines) Machine(id string) (record.MachineView, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Machine(id)
}

// Machine is a machine's ID and what its records say about it.
type Machine struct {
	ID   string
	View record.MachineView
}

// OfShard returns the machines of a shard, in no particular order.
func (v *Machines) OfShard(id int) []Machine {
	v.mu.Lock()
	defer v.mu.Unlock()
	var machines []Machine
	v.fleet.ForEach(func(machine string, view record.MachineView) {
		if view.Shard == id {
			machines = append(machines, Machine{ID: machine, View: view})
		}
	})
	return machines
}

// ForEach calls fn for every machine under the view's lock: fn must not use the
// view, take locks or do I/O.
func (v *Machines) ForEach(fn func(id string, m record.MachineView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.ForEach(fn)
}

// InUseByZone returns the number of machines in each zone that are in use according to their
// records, whether they are up or not.
func (v *Machines) InUseByZone() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.inUseByZone == nil {
		v.inUseByZone = newZoneCounts(v.fleet)
	}
	return maps.Clone(v.inUseByZone.counts)
}

// Len returns the number of machines, including those released whose records are
// not deleted yet.
func (v *Machines) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Len()
}

// Versions returns the versions of all records, by key.
func (v *Machines) Versions() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Versions()
}

// Missing returns the versions, by key, of the records that the view has from the
// given revision or earlier, but that are not in a list of all records as of that
// revision.
func (v *Machines) Missing(listed map[string]bool, revision uint64) map[string]uint64 {
	missing := map[string]uint64{}
	for key, version := range v.Versions() {
		if !listed[key] && version <= revision {
			missing[key] = version
		}
	}
	return missing
}

// Entries returns all records of the view, in no particular order.
func (v *Machines) Entries() []wire.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Entries()
}

// MachineIDs returns the IDs of the machines of the provision record with a key.
func (v *Machines) MachineIDs(provisionKey string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.MachineIDs(provisionKey)
}

// Provision returns the provision record with a name, and whether there is one.
func (v *Machines) Provision(name string) (record.Provision, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Provision(name)
}

// ProvisionsWithoutAddresses returns the provision records that have machines but not their addresses
// yet, by name.
func (v *Machines) ProvisionsWithoutAddresses() map[string]record.Versioned[record.Provision] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.ProvisionsWithoutAddresses()
}

// UnfulfilledProvisions returns the provision records that the cloud has not answered yet, by name.
func (v *Machines) UnfulfilledProvisions() map[string]record.Versioned[record.Provision] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.UnfulfilledProvisions()
}

// PendingReleases returns the release records whose release the cloud has not confirmed yet, by key.
func (v *Machines) PendingReleases() map[string]record.Versioned[record.Release] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.PendingReleases()
}

// CleanupTxn returns a transaction of at most maxOps operations that deletes records of machines
// that were released. It reports false if there are none to delete.
func (v *Machines) CleanupTxn(maxOps int) (wire.Txn, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.CleanupTxn(maxOps)
}
