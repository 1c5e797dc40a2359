package record

import (
	"slices"
	"strings"

	"bramblespur/internal/wire"
)

// Phase says how far the release of a machine is.
type Phase int

// Phases of a machine.
const (
	InUse     Phase = iota
	Releasing       // it is being released; no task may start there again
	Released        // the cloud has confirmed its release
)

// MachineView is what all records say of a machine. Version is that of its override record, 0 if
// it has none.
type MachineView struct {
	Machine
	Version uint64
	Phase   Phase
	Addr    string // empty until it is recorded
}

// Fleet is the index of all records under FleetPrefix. Changes of a key are applied in the order of
// their versions, older ones are ignored. It is not safe for concurrent use.
type Fleet struct {
	provisions  map[string]Versioned[Provision]
	overrides   map[string]Versioned[Machine]
	releases    map[string]Versioned[Release]
	provisionOf map[string]provisionIndex // by machine
	releaseOf   map[string]string         // by machine
}

// provisionIndex is a machine's Provision and its position in it.
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

// FleetOf returns the machines that listed records tell.
func FleetOf(entries []wire.Entry) (*Fleet, error) {
	fleet := NewFleet()
	for _, entry := range entries {
		if _, err := fleet.Apply(entry.Change()); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// MachineIDs returns the machines of a Provision by its key.
func (f *Fleet) MachineIDs(provisionKey string) []string {
	return f.provisions[strings.TrimPrefix(provisionKey, ProvisionPrefix)].Rec.IDs
}

// Machine returns what is recorded of a machine; there is none without a Provision that names it.
func (f *Fleet) Machine(id string) (MachineView, bool) {
	at, ok := f.provisionOf[id]
	if !ok {
		return MachineView{}, false
	}
	r := f.provisions[at.provision].Rec
	v := MachineView{Machine: Machine{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Shard: r.Shards[at.index], CreatedAt: r.CreatedAt}}
	if len(r.Addrs) > 0 {
		v.Addr = r.Addrs[at.index]
	}
	if o, ok := f.overrides[id]; ok {
		v.Machine, v.Version = o.Rec, o.Version
	}
	if b, ok := f.releaseOf[id]; ok {
		v.Phase = Releasing
		if f.releases[b].Rec.Done {
			v.Phase = Released
		}
	}
	return v, true
}

// ForEach calls fn for every machine.
func (f *Fleet) ForEach(fn func(id string, v MachineView)) {
	for id := range f.provisionOf {
		v, _ := f.Machine(id)
		fn(id, v)
	}
}

// Len is the number of machines, with those released whose records are not cleaned up yet.
func (f *Fleet) Len() int { return len(f.provisionOf) }

// Versions returns the versions of all records, by key.
func (f *Fleet) Versions() map[string]uint64 {
	out := map[string]uint64{}
	for n, r := range f.provisions {
		out[ProvisionKey(n)] = r.Version
	}
	for id, o := range f.overrides {
		out[OverrideKey(id)] = o.Version
	}
	for n, b := range f.releases {
		out[ReleasePrefix+n] = b.Version
	}
	return out
}

// Entries returns all records of machines.
func (f *Fleet) Entries() []wire.Entry {
	var out []wire.Entry
	for n, r := range f.provisions {
		out = append(out, wire.Entry{Key: ProvisionKey(n), Value: Encode(r.Rec), Version: r.Version})
	}
	for id, o := range f.overrides {
		out = append(out, wire.Entry{Key: OverrideKey(id), Value: Encode(o.Rec), Version: o.Version})
	}
	for n, b := range f.releases {
		out = append(out, wire.Entry{Key: ReleasePrefix + n, Value: Encode(b.Rec), Version: b.Version})
	}
	return out
}

// Apply applies a changed or deleted record and returns the machines that it concerns. A change that
// is not newer is ignored, and a malformed record is an error and leaves what is held.
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

// isStale reports whether a change is not newer than the version held.
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

// PendingReleases returns the batches that the cloud has not confirmed, by key.
func (f *Fleet) PendingReleases() map[string]Versioned[Release] {
	out := map[string]Versioned[Release]{}
	for n, b := range f.releases {
		if !b.Rec.Done {
			out[ReleasePrefix+n] = Versioned[Release]{b.Rec, b.Version}
		}
	}
	return out
}

// CleanupTxn returns a transaction of at most maxOps deletions of records that nobody needs any
// more, if there are any: of a Provision whose machines are all released first their overrides,
// then the Provision itself, and last the Releases whose machines no Provision names. An override
// never outlives its Provision: whoever knew the one without the other would take the machine for
// another shard's.
func (f *Fleet) CleanupTxn(maxOps int) (wire.Txn, bool) {
	var t wire.Txn
	remove := func(key string, version uint64) {
		t.If = append(t.If, wire.Condition{Key: key, Version: version})
		t.Then = append(t.Then, wire.Op{Delete: key})
	}
	for name, r := range f.provisions {
		if len(r.Rec.IDs) == 0 || !f.allReleased(r.Rec.IDs) {
			continue // not answered yet, or in use
		}
		for _, id := range r.Rec.IDs {
			if o, ok := f.overrides[id]; ok && len(t.Then) < maxOps {
				remove(OverrideKey(id), o.Version)
			}
		}
		if len(t.Then) == 0 {
			remove(ProvisionKey(name), r.Version)
		}
		return t, true
	}
	for name, b := range f.releases {
		used := func(id string) bool { _, ok := f.provisionOf[id]; return ok }
		if b.Rec.Done && len(t.Then) < maxOps && !slices.ContainsFunc(b.Rec.IDs, used) {
			remove(ReleasePrefix+name, b.Version)
		}
	}
	return t, len(t.Then) > 0
}

func (f *Fleet) allReleased(ids []string) bool {
	for _, id := range ids {
		if v, _ := f.Machine(id); v.Phase != Released {
			return false
		}
	}
	return true
}

// Provision returns a Provision by its name.
func (f *Fleet) Provision(name string) (Provision, bool) {
	r, ok := f.provisions[name]
	return r.Rec, ok
}

// ProvisionsWithoutAddresses returns the answered Provisions without addresses, by name.
func (f *Fleet) ProvisionsWithoutAddresses() map[string]Versioned[Provision] {
	out := map[string]Versioned[Provision]{}
	for n, r := range f.provisions {
		if len(r.Rec.IDs) > 0 && len(r.Rec.Addrs) == 0 {
			out[n] = Versioned[Provision]{r.Rec, r.Version}
		}
	}
	return out
}

// UnfulfilledProvisions returns the Provisions that the cloud has not answered yet, by name.
func (f *Fleet) UnfulfilledProvisions() map[string]Versioned[Provision] {
	out := map[string]Versioned[Provision]{}
	for n, r := range f.provisions {
		if len(r.Rec.IDs) == 0 {
			out[n] = Versioned[Provision]{r.Rec, r.Version}
		}
	}
	return out
}
