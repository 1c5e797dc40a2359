package record

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"bramblespur/internal/wire"
)

// Phase says how far a machine is on its way out.
type Phase int

// Phases of a machine.
const (
	InUse     Phase = iota
	Releasing       // being given back; nothing may start there again
	Released        // the cloud has answered its return
)

// MachineView is a machine as the records tell it. Version is that of the machine's
// own record, 0 if it has none.
type MachineView struct {
	Machine
	Version uint64
	Phase   Phase
	Addr    string // empty while it is not recorded
}

// Fleet is all machines as the records under FleetPrefix tell them. It takes
// changes in the order of their versions and is not safe for concurrent use.
type Fleet struct {
	provisions  map[string]kept[Provision]
	overrides   map[string]kept[Machine]
	releases    map[string]kept[Release]
	provisionOf map[string]provisionIndex // by machine
	releaseOf   map[string]string         // by machine
}

type kept[T any] struct {
	rec     T
	version uint64
}

// provisionIndex is a machine's rental and its position in it.
type provisionIndex struct {
	provision string
	index     int
}

// NewFleet returns a fleet without machines.
func NewFleet() *Fleet {
	return &Fleet{
		provisions: map[string]kept[Provision]{}, overrides: map[string]kept[Machine]{}, releases: map[string]kept[Release]{},
		provisionOf: map[string]provisionIndex{}, releaseOf: map[string]string{},
	}
}

// MachineIDs returns the machines of a rental, by its record's key.
func (f *Fleet) MachineIDs(rentalKey string) []string {
	return f.provisions[strings.TrimPrefix(rentalKey, ProvisionPrefix)].rec.IDs
}

// Machine returns a machine's view; there is none without a rental that names it.
func (f *Fleet) Machine(id string) (MachineView, bool) {
	at, ok := f.provisionOf[id]
	if !ok {
		return MachineView{}, false
	}
	r := f.provisions[at.provision].rec
	v := MachineView{Machine: Machine{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Shard: r.Shards[at.index], CreatedAt: r.CreatedAt}}
	if len(r.Addrs) > 0 {
		v.Addr = r.Addrs[at.index]
	}
	if o, ok := f.overrides[id]; ok {
		v.Machine, v.Version = o.rec, o.version
	}
	if b, ok := f.releaseOf[id]; ok {
		v.Phase = Releasing
		if f.releases[b].rec.Done {
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

// Len is the number of machines, those gone but not yet cleared away included.
func (f *Fleet) Len() int { return len(f.provisionOf) }

// Versions returns the versions of all records held, by key.
func (f *Fleet) Versions() map[string]uint64 {
	out := map[string]uint64{}
	for n, r := range f.provisions {
		out[ProvisionKey(n)] = r.version
	}
	for id, o := range f.overrides {
		out[OverrideKey(id)] = o.version
	}
	for n, b := range f.releases {
		out[ReleasePrefix+n] = b.version
	}
	return out
}

// Entries returns all records of machines.
func (f *Fleet) Entries() []wire.Entry {
	var out []wire.Entry
	for n, r := range f.provisions {
		out = append(out, wire.Entry{Key: ProvisionKey(n), Value: Encode(r.rec), Version: r.version})
	}
	for id, o := range f.overrides {
		out = append(out, wire.Entry{Key: OverrideKey(id), Value: Encode(o.rec), Version: o.version})
	}
	for n, b := range f.releases {
		out = append(out, wire.Entry{Key: ReleasePrefix + n, Value: Encode(b.rec), Version: b.version})
	}
	return out
}

// Apply takes in a changed or deleted record and returns the machines it
// concerns. What is older than the record held, or is that record, is passed over.
func (f *Fleet) Apply(e wire.Change) ([]string, error) {
	key := e.Put + e.Delete
	switch {
	case strings.HasPrefix(key, ProvisionPrefix):
		return f.applyProvision(key[len(ProvisionPrefix):], e)
	case strings.HasPrefix(key, OverridePrefix):
		id := key[len(OverridePrefix):]
		if isStale(f.overrides[id].version, e) {
			return nil, nil
		}
		if e.Put == "" {
			delete(f.overrides, id)
			return []string{id}, nil
		}
		var r Machine
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		f.overrides[id] = kept[Machine]{r, e.Version}
		return []string{id}, nil
	case strings.HasPrefix(key, ReleasePrefix):
		return f.applyRelease(key[len(ReleasePrefix):], e)
	}
	return nil, nil
}

// isStale reports whether a change tells nothing that a record held in a version does not.
func isStale(held uint64, e wire.Change) bool {
	return held > e.Version || (held == e.Version && e.Put != "")
}

func (f *Fleet) applyProvision(name string, e wire.Change) ([]string, error) {
	old, had := f.provisions[name]
	if isStale(old.version, e) {
		return nil, nil
	}
	var r Provision
	if e.Put != "" {
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", e.Put, err)
		}
		if len(r.IDs) > len(r.Shards) {
			return nil, fmt.Errorf("%s: %d machines for %d parts", e.Put, len(r.IDs), len(r.Shards))
		}
		if len(r.Addrs) > 0 && len(r.Addrs) != len(r.IDs) {
			return nil, fmt.Errorf("%s: %d addresses of %d machines", e.Put, len(r.Addrs), len(r.IDs))
		}
	}
	changed := old.rec.IDs
	if had {
		for _, id := range old.rec.IDs {
			delete(f.provisionOf, id)
		}
		delete(f.provisions, name)
	}
	if e.Put != "" {
		f.provisions[name] = kept[Provision]{r, e.Version}
		for i, id := range r.IDs {
			f.provisionOf[id] = provisionIndex{name, i}
		}
		changed = append(changed[:len(changed):len(changed)], r.IDs...)
	}
	return changed, nil
}

func (f *Fleet) applyRelease(name string, e wire.Change) ([]string, error) {
	old, had := f.releases[name]
	if isStale(old.version, e) {
		return nil, nil
	}
	if e.Put == "" {
		for _, id := range old.rec.IDs {
			delete(f.releaseOf, id)
		}
		delete(f.releases, name)
		if had {
			return old.rec.IDs, nil
		}
		return nil, nil
	}
	var b Release
	if err := json.Unmarshal(e.Value, &b); err != nil {
		return nil, fmt.Errorf("%s: %w", e.Put, err)
	}
	f.releases[name] = kept[Release]{b, e.Version}
	for _, id := range b.IDs {
		f.releaseOf[id] = name
	}
	return b.IDs, nil
}

// PendingReleases returns the batches that still have to be given back, by key, with
// their versions.
func (f *Fleet) PendingReleases() map[string]Versioned[Release] {
	out := map[string]Versioned[Release]{}
	for n, b := range f.releases {
		if !b.rec.Done {
			out[ReleasePrefix+n] = Versioned[Release]{b.rec, b.version}
		}
	}
	return out
}

// Versioned is a record with its version.
type Versioned[T any] struct {
	Rec     T
	Version uint64
}

// CleanupTxn proposes one transaction that clears away what nobody needs any more: of
// a rental of which every machine is gone first the machines' own records, then
// the rental itself, and last the batches whose machines no rental names any
// longer. A machine's own record never outlives its rental: to who knows the one
// and not the other the machine would be somebody else's. It has at most most
// changes.
func (f *Fleet) CleanupTxn(most int) (wire.Txn, bool) {
	var t wire.Txn
	remove := func(key string, version uint64) {
		t.If = append(t.If, wire.Condition{Key: key, Version: version})
		t.Then = append(t.Then, wire.Op{Delete: key})
	}
	for name, r := range f.provisions {
		if len(r.rec.IDs) == 0 || !f.allReleased(r.rec.IDs) {
			continue // still under way, or in use
		}
		for _, id := range r.rec.IDs {
			if o, ok := f.overrides[id]; ok && len(t.Then) < most {
				remove(OverrideKey(id), o.version)
			}
		}
		if len(t.Then) == 0 {
			remove(ProvisionKey(name), r.version)
		}
		return t, true
	}
	for name, b := range f.releases {
		used := func(id string) bool { _, ok := f.provisionOf[id]; return ok }
		if b.rec.Done && len(t.Then) < most && !slices.ContainsFunc(b.rec.IDs, used) {
			remove(ReleasePrefix+name, b.version)
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

// Provision returns a rental's record.
func (f *Fleet) Provision(name string) (Provision, bool) {
	r, ok := f.provisions[name]
	return r.rec, ok
}

// ProvisionsWithoutAddresses returns the rentals of which no addresses are recorded yet.
func (f *Fleet) ProvisionsWithoutAddresses() map[string]Versioned[Provision] {
	out := map[string]Versioned[Provision]{}
	for n, r := range f.provisions {
		if len(r.rec.IDs) > 0 && len(r.rec.Addrs) == 0 {
			out[n] = Versioned[Provision]{r.rec, r.version}
		}
	}
	return out
}

// UnfulfilledProvisions returns the rentals whose machines are not known yet.
func (f *Fleet) UnfulfilledProvisions() map[string]Versioned[Provision] {
	out := map[string]Versioned[Provision]{}
	for n, r := range f.provisions {
		if len(r.rec.IDs) == 0 {
			out[n] = Versioned[Provision]{r.rec, r.version}
		}
	}
	return out
}
