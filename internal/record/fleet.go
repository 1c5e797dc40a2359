package record

import (
	"slices"
	"strings"

	"bramblespur/internal/wire"
)

// Phase is the stage of a machine's release to the cloud.
type Phase int

// Phases of a machine.
const (
	InUse     Phase = iota // no Release names the machine
	Releasing              // the machine is being released; no task may start on it any more
	Released               // the cloud has confirmed the release
)

// MachineView combines what all records say about a machine.
type MachineView struct {
	Machine
	Version uint64 // of the machine's override record, 0 if it has none
	Phase   Phase
	Addr    string // empty until it is recorded
}

// Fleet is the index of all records under FleetPrefix. It ignores changes that are older than the
// record that it holds for their key. It is not safe for concurrent use.
type Fleet struct {
	provisions  map[string]Versioned[Provision] // by name
	overrides   map[string]Versioned[Machine]   // by machine
	releases    map[string]Versioned[Release]   // by key without ReleasePrefix
	provisionOf map[string]provisionIndex       // by machine
	releaseOf   map[string]string               // by machine, key in releases
}

// provisionIndex is the name of a machine's Provision and the machine's index in its IDs.
type provisionIndex struct {
	provision string
	index     int
}

// NewFleet returns a fleet without machines.
func NewFleet() *Fleet {
	return &Fleet{
		provisions: map[string]Versioned[Provision]{}, overrides: map[string]Versioned[Machine]{}, releases: map[string]Versioned[Release]{},
		provisionOf: map[string]provisionIndex{}, releaseOf: map[string]string{},
	}
}

// FleetOf returns the index of the given records. It returns an error if one of them is malformed.
func FleetOf(entries []wire.Entry) (*Fleet, error) {
	fleet := NewFleet()
	for _, entry := range entries {
		if _, err := fleet.Apply(entry.Change()); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// MachineIDs returns the IDs of the machines of the Provision with a key. There are none if the cloud
// has not answered yet or there is no such Provision.
func (f *Fleet) MachineIDs(provisionKey string) []string {
	return f.provisions[strings.TrimPrefix(provisionKey, ProvisionPrefix)].Rec.IDs
}

// Machine returns what the records say about a machine, and whether a Provision names the machine.
func (f *Fleet) Machine(id string) (MachineView, bool) {
	at, ok := f.provisionOf[id]
	if !ok {
		return MachineView{}, false
	}
	p := f.provisions[at.provision].Rec
	v := MachineView{Machine: Machine{Type: p.Type, Zone: p.Zone, Spot: p.Spot, Shard: p.Shards[at.index], CreatedAt: p.CreatedAt}}
	if len(p.Addrs) > 0 {
		v.Addr = p.Addrs[at.index]
	}
	if override, ok := f.overrides[id]; ok {
		v.Machine, v.Version = override.Rec, override.Version
	}
	if release, ok := f.releaseOf[id]; ok {
		v.Phase = Releasing
		if f.releases[release].Rec.Done {
			v.Phase = Released
		}
	}
	return v, true
}

// ForEach calls fn for every machine, in no particular order.
func (f *Fleet) ForEach(fn func(id string, v MachineView)) {
	for id := range f.provisionOf {
		v, _ := f.Machine(id)
		fn(id, v)
	}
}

// Len returns the number of machines, including those released whose records are not deleted yet.
func (f *Fleet) Len() int { return len(f.provisionOf) }

// Versions returns the versions of all records, by key.
func (f *Fleet) Versions() map[string]uint64 {
	out := map[string]uint64{}
	for name, provision := range f.provisions {
		out[ProvisionKey(name)] = provision.Version
	}
	for id, override := range f.overrides {
		out[OverrideKey(id)] = override.Version
	}
	for name, release := range f.releases {
		out[ReleasePrefix+name] = release.Version
	}
	return out
}

// Entries returns all records of machines.
func (f *Fleet) Entries() []wire.Entry {
	var out []wire.Entry
	for name, provision := range f.provisions {
		out = append(out, wire.Entry{Key: ProvisionKey(name), Value: Encode(provision.Rec), Version: provision.Version})
	}
	for id, override := range f.overrides {
		out = append(out, wire.Entry{Key: OverrideKey(id), Value: Encode(override.Rec), Version: override.Version})
	}
	for name, release := range f.releases {
		out = append(out, wire.Entry{Key: ReleasePrefix + name, Value: Encode(release.Rec), Version: release.Version})
	}
	return out
}

// Apply applies a changed or deleted record and returns the IDs of the machines that it concerns. It
// ignores a change that is older than the record held, a record of the version held, and keys outside
// FleetPrefix. It returns an error for a malformed record and keeps the record held.
func (f *Fleet) Apply(e wire.Change) ([]string, error) {
	key := e.Put + e.Delete
	switch {
	case strings.HasPrefix(key, ProvisionPrefix):
		return f.applyProvision(key[len(ProvisionPrefix):], e)
	case strings.HasPrefix(key, OverridePrefix):
		return f.applyOverride(key[len(OverridePrefix):], e)
	case strings.HasPrefix(key, ReleasePrefix):
		return f.applyRelease(key[len(ReleasePrefix):], e)
	}
	return nil, nil
}

// isStale reports whether a change is older than the version held, or puts that same version again.
func isStale(held uint64, e wire.Change) bool {
	return held > e.Version || (held == e.Version && e.Put != "")
}

func (f *Fleet) applyOverride(id string, e wire.Change) ([]string, error) {
	if isStale(f.overrides[id].Version, e) {
		return nil, nil
	}
	if e.Put == "" {
		delete(f.overrides, id)
		return []string{id}, nil
	}
	machine, err := decode[Machine](e)
	if err != nil {
		return nil, err
	}
	f.overrides[id] = Versioned[Machine]{machine, e.Version}
	return []string{id}, nil
}

func (f *Fleet) applyProvision(name string, e wire.Change) ([]string, error) {
	old, had := f.provisions[name]
	if isStale(old.Version, e) {
		return nil, nil
	}
	var provision Provision
	if e.Put != "" {
		var err error
		if provision, err = decodeProvision(e); err != nil {
			return nil, err
		}
	}
	changed := old.Rec.IDs
	if had {
		for _, id := range old.Rec.IDs {
			delete(f.provisionOf, id)
		}
		delete(f.provisions, name)
	}
	if e.Put != "" {
		f.provisions[name] = Versioned[Provision]{provision, e.Version}
		for i, id := range provision.IDs {
			f.provisionOf[id] = provisionIndex{name, i}
		}
		changed = append(changed[:len(changed):len(changed)], provision.IDs...)
	}
	return changed, nil
}

func (f *Fleet) applyRelease(name string, e wire.Change) ([]string, error) {
	old, had := f.releases[name]
	if isStale(old.Version, e) {
		return nil, nil
	}
	if e.Put == "" {
		for _, id := range old.Rec.IDs {
			delete(f.releaseOf, id)
		}
		delete(f.releases, name)
		if had {
			return old.Rec.IDs, nil
		}
		return nil, nil
	}
	release, err := decode[Release](e)
	if err != nil {
		return nil, err
	}
	f.releases[name] = Versioned[Release]{release, e.Version}
	for _, id := range release.IDs {
		f.releaseOf[id] = name
	}
	return release.IDs, nil
}

// PendingReleases returns the Releases that the cloud has not confirmed, by key.
func (f *Fleet) PendingReleases() map[string]Versioned[Release] {
	out := map[string]Versioned[Release]{}
	for name, release := range f.releases {
		if !release.Rec.Done {
			out[ReleasePrefix+name] = Versioned[Release]{release.Rec, release.Version}
		}
	}
	return out
}

// CleanupTxn returns a transaction of at most maxOps deletions of records that are no longer needed,
// and whether there are any. When all machines of a Provision are released, their overrides are
// deleted first and then, by a later transaction, the Provision itself. A Release is deleted once no
// Provision names its machines any more.
// An override never outlives its Provision: a reader that had one without the other would assign
// the machine to the wrong shard.
func (f *Fleet) CleanupTxn(maxOps int) (wire.Txn, bool) {
	var t wire.Txn
	remove := func(key string, version uint64) {
		t.If = append(t.If, wire.Condition{Key: key, Version: version})
		t.Then = append(t.Then, wire.Op{Delete: key})
	}
	for name, provision := range f.provisions {
		if len(provision.Rec.IDs) == 0 || !f.allReleased(provision.Rec.IDs) {
			continue // the cloud has not answered yet, or a machine is in use
		}
		for _, id := range provision.Rec.IDs {
			if override, ok := f.overrides[id]; ok && len(t.Then) < maxOps {
				remove(OverrideKey(id), override.Version)
			}
		}
		if len(t.Then) == 0 {
			remove(ProvisionKey(name), provision.Version)
		}
		return t, true
	}
	for name, release := range f.releases {
		hasProvision := func(id string) bool { _, ok := f.provisionOf[id]; return ok }
		if release.Rec.Done && len(t.Then) < maxOps && !slices.ContainsFunc(release.Rec.IDs, hasProvision) {
			remove(ReleasePrefix+name, release.Version)
		}
	}
	return t, len(t.Then) > 0
}

// allReleased reports whether the cloud has confirmed the release of all these machines.
func (f *Fleet) allReleased(ids []string) bool {
	for _, id := range ids {
		if v, _ := f.Machine(id); v.Phase != Released {
			return false
		}
	}
	return true
}

// Provision returns the Provision with a name, and whether there is one.
func (f *Fleet) Provision(name string) (Provision, bool) {
	r, ok := f.provisions[name]
	return r.Rec, ok
}

// ProvisionsWithoutAddresses returns the Provisions that have machines but no addresses yet, by name.
func (f *Fleet) ProvisionsWithoutAddresses() map[string]Versioned[Provision] {
	out := map[string]Versioned[Provision]{}
	for name, provision := range f.provisions {
		if len(provision.Rec.IDs) > 0 && len(provision.Rec.Addrs) == 0 {
			out[name] = Versioned[Provision]{provision.Rec, provision.Version}
		}
	}
	return out
}

// UnfulfilledProvisions returns the Provisions that the cloud has not answered yet, by name.
func (f *Fleet) UnfulfilledProvisions() map[string]Versioned[Provision] {
	out := map[string]Versioned[Provision]{}
	for name, provision := range f.provisions {
		if len(provision.Rec.IDs) == 0 {
			out[name] = Versioned[Provision]{provision.Rec, provision.Version}
		}
	}
	return out
}
