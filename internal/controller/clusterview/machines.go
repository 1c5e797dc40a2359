package clusterview

import (
	"maps"
	"strings"
	"sync"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Machines is the view of the records under record.FleetPrefix: all machines
// that were provisioned and are not cleared away yet.
type Machines struct {
	freshness

	mu    sync.Mutex // a leaf: see the package's lock order
	fleet *record.Fleet
	inUseByZone *zoneCounts // nil until somebody asks for them
}

// zoneCounts counts the machines in service by zone, machine by machine as their records change.
type zoneCounts struct {
	zoneOf map[string]string // of the machines that are counted
	counts map[string]int
}

func newZoneCounts(machines *record.Fleet) *zoneCounts {
	z := &zoneCounts{map[string]string{}, map[string]int{}}
	machines.ForEach(func(id string, v record.MachineView) { z.update(id, v, true) })
	return z
}

// update takes in a machine as its records tell it, if they are known.
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

// MachineChange is a machine of which some record changed.
type MachineChange struct {
	ID string
	// View is the machine as its records tell it, if Known.
	View  record.MachineView
	Known bool
	// Released says that the record that provisioned the machine was deleted. Only
	// that proves a machine gone: that no such record is known here proves nothing.
	Released bool
}

// NewMachines returns a view without records.
func NewMachines() *Machines { return &Machines{fleet: record.NewFleet()} }

// Forget drops all records. The view is to be listed anew.
func (v *Machines) Forget() {
	v.forget()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet, v.inUseByZone = record.NewFleet(), nil
}

// Apply takes changed and deleted records into the view, all of them before it
// looks at a machine: the first of a machine's records without the others would
// tell that there is no such machine. It returns the machines concerned, and the
// errors of records that can't be read, which are passed over.
func (v *Machines) Apply(changes []wire.Change) ([]MachineChange, []error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	released := map[string]bool{} // by the machine that changed
	var errs []error
	for _, change := range changes {
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

// Machine returns a machine; there is none without a record that provisioned it.
func (v *Machines) Machine(id string) (record.MachineView, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Machine(id)
}

// Machine is a machine with its ID.
type Machine struct {
	ID   string
	View record.MachineView
}

// OfShard returns the machines of a shard.
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

// InUseByZone counts the machines that are in service by their records, whether they are up or not.
func (v *Machines) InUseByZone() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.inUseByZone == nil {
		v.inUseByZone = newZoneCounts(v.fleet)
	}
	return maps.Clone(v.inUseByZone.counts)
}

// Len returns the number of machines, those gone but not yet cleared away included.
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

// Missing returns the keys of records, with their versions, that a list of all
// records as of a revision lacks, although the view has them from then or earlier.
func (v *Machines) Missing(listed map[string]bool, revision uint64) map[string]uint64 {
	missing := map[string]uint64{}
	for key, version := range v.Versions() {
		if !listed[key] && version <= revision {
			missing[key] = version
		}
	}
	return missing
}

// Entries returns all records.
func (v *Machines) Entries() []wire.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Entries()
}

// MachineIDs returns the machines that a provision record, by its key, brought.
func (v *Machines) MachineIDs(provisionKey string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.MachineIDs(provisionKey)
}

// Provision returns a provision record by its name.
func (v *Machines) Provision(name string) (record.Provision, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Provision(name)
}

// ProvisionsWithoutAddresses returns the provision records that lack their machines' addresses, by name.
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

// PendingReleases returns the releases that the cloud has not carried out yet, by key.
func (v *Machines) PendingReleases() map[string]record.Versioned[record.Release] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.PendingReleases()
}

// CleanupTxn proposes a transaction of at most so many operations that deletes records of
// machines that are gone. It reports false if there are none.
func (v *Machines) CleanupTxn(maxOps int) (wire.Txn, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.CleanupTxn(maxOps)
}
