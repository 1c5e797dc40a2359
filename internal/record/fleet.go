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
	Returning       // being given back; nothing may start there again
	Gone            // the cloud has answered its return
)

// View is a machine as the records tell it. Version is that of the machine's
// own record, 0 if it has none.
type View struct {
	Machine
	Version uint64
	Phase   Phase
	Addr    string // empty while it is not recorded
}

// Fleet is all machines as the records under FleetPrefix tell them. It takes
// changes in the order of their versions and is not safe for concurrent use.
type Fleet struct {
	rentals  map[string]kept[Provision]
	own      map[string]kept[Machine]
	backs    map[string]kept[Release]
	rentalOf map[string]place  // by machine
	backOf   map[string]string // by machine
}

type kept[T any] struct {
	rec     T
	version uint64
}

// place is a machine's rental and its position in it.
type place struct {
	rental string
	at     int
}

// NewFleet returns a fleet without machines.
func NewFleet() *Fleet {
	return &Fleet{
		rentals: map[string]kept[Provision]{}, own: map[string]kept[Machine]{}, backs: map[string]kept[Release]{},
		rentalOf: map[string]place{}, backOf: map[string]string{},
	}
}

// IDs returns the machines of a rental, by its record's key.
func (f *Fleet) IDs(rentalKey string) []string {
	return f.rentals[strings.TrimPrefix(rentalKey, ProvisionPrefix)].rec.IDs
}

// Machine returns a machine's view; there is none without a rental that names it.
func (f *Fleet) Machine(id string) (View, bool) {
	at, ok := f.rentalOf[id]
	if !ok {
		return View{}, false
	}
	r := f.rentals[at.rental].rec
	v := View{Machine: Machine{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Shard: r.Shards[at.at], Born: r.Born}}
	if len(r.Addrs) > 0 {
		v.Addr = r.Addrs[at.at]
	}
	if o, ok := f.own[id]; ok {
		v.Machine, v.Version = o.rec, o.version
	}
	if b, ok := f.backOf[id]; ok {
		v.Phase = Returning
		if f.backs[b].rec.Done {
			v.Phase = Gone
		}
	}
	return v, true
}

// Each calls fn for every machine.
func (f *Fleet) Each(fn func(id string, v View)) {
	for id := range f.rentalOf {
		v, _ := f.Machine(id)
		fn(id, v)
	}
}

// Len is the number of machines, those gone but not yet cleared away included.
func (f *Fleet) Len() int { return len(f.rentalOf) }

// Versions returns the versions of all records held, by key.
func (f *Fleet) Versions() map[string]uint64 {
	out := map[string]uint64{}
	for n, r := range f.rentals {
		out[ProvisionKey(n)] = r.version
	}
	for id, o := range f.own {
		out[OverrideKey(id)] = o.version
	}
	for n, b := range f.backs {
		out[ReleasePrefix+n] = b.version
	}
	return out
}

// Entries returns all records of machines.
func (f *Fleet) Entries() []wire.Entry {
	var out []wire.Entry
	for n, r := range f.rentals {
		out = append(out, wire.Entry{Key: ProvisionKey(n), Value: Encode(r.rec), Version: r.version})
	}
	for id, o := range f.own {
		out = append(out, wire.Entry{Key: OverrideKey(id), Value: Encode(o.rec), Version: o.version})
	}
	for n, b := range f.backs {
		out = append(out, wire.Entry{Key: ReleasePrefix + n, Value: Encode(b.rec), Version: b.version})
	}
	return out
}

// Change takes in a changed or deleted record and returns the machines it
// concerns. What is older than the record held, or is that record, is passed over.
func (f *Fleet) Change(e wire.Change) ([]string, error) {
	key := e.Put + e.Delete
	switch {
	case strings.HasPrefix(key, ProvisionPrefix):
		return f.rental(key[len(ProvisionPrefix):], e)
	case strings.HasPrefix(key, OverridePrefix):
		id := key[len(OverridePrefix):]
		if passed(f.own[id].version, e) {
			return nil, nil
		}
		if e.Put == "" {
			delete(f.own, id)
			return []string{id}, nil
		}
		var r Machine
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		f.own[id] = kept[Machine]{r, e.Version}
		return []string{id}, nil
	case strings.HasPrefix(key, ReleasePrefix):
		return f.back(key[len(ReleasePrefix):], e)
	}
	return nil, nil
}

// passed reports whether a change tells nothing that a record held in a version does not.
func passed(held uint64, e wire.Change) bool {
	return held > e.Version || (held == e.Version && e.Put != "")
}

func (f *Fleet) rental(name string, e wire.Change) ([]string, error) {
	old, had := f.rentals[name]
	if passed(old.version, e) {
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
			delete(f.rentalOf, id)
		}
		delete(f.rentals, name)
	}
	if e.Put != "" {
		f.rentals[name] = kept[Provision]{r, e.Version}
		for i, id := range r.IDs {
			f.rentalOf[id] = place{name, i}
		}
		changed = append(changed[:len(changed):len(changed)], r.IDs...)
	}
	return changed, nil
}

func (f *Fleet) back(name string, e wire.Change) ([]string, error) {
	old, had := f.backs[name]
	if passed(old.version, e) {
		return nil, nil
	}
	if e.Put == "" {
		for _, id := range old.rec.IDs {
			delete(f.backOf, id)
		}
		delete(f.backs, name)
		if had {
			return old.rec.IDs, nil
		}
		return nil, nil
	}
	var b Release
	if err := json.Unmarshal(e.Value, &b); err != nil {
		return nil, fmt.Errorf("%s: %w", e.Put, err)
	}
	f.backs[name] = kept[Release]{b, e.Version}
	for _, id := range b.IDs {
		f.backOf[id] = name
	}
	return b.IDs, nil
}

// Pending returns the batches that still have to be given back, by key, with
// their versions.
func (f *Fleet) Pending() map[string]Versioned[Release] {
	out := map[string]Versioned[Release]{}
	for n, b := range f.backs {
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

// Clear proposes one transaction that clears away what nobody needs any more: of
// a rental of which every machine is gone first the machines' own records, then
// the rental itself, and last the batches whose machines no rental names any
// longer. A machine's own record never outlives its rental: to who knows the one
// and not the other the machine would be somebody else's. It has at most most
// changes.
func (f *Fleet) Clear(most int) (wire.Txn, bool) {
	var t wire.Txn
	remove := func(key string, version uint64) {
		t.If = append(t.If, wire.Cond{Key: key, Version: version})
		t.Then = append(t.Then, wire.Op{Delete: key})
	}
	for name, r := range f.rentals {
		if len(r.rec.IDs) == 0 || !f.allGone(r.rec.IDs) {
			continue // still under way, or in use
		}
		for _, id := range r.rec.IDs {
			if o, ok := f.own[id]; ok && len(t.Then) < most {
				remove(OverrideKey(id), o.version)
			}
		}
		if len(t.Then) == 0 {
			remove(ProvisionKey(name), r.version)
		}
		return t, true
	}
	for name, b := range f.backs {
		used := func(id string) bool { _, ok := f.rentalOf[id]; return ok }
		if b.rec.Done && len(t.Then) < most && !slices.ContainsFunc(b.rec.IDs, used) {
			remove(ReleasePrefix+name, b.version)
		}
	}
	return t, len(t.Then) > 0
}

func (f *Fleet) allGone(ids []string) bool {
	for _, id := range ids {
		if v, _ := f.Machine(id); v.Phase != Gone {
			return false
		}
	}
	return true
}

// Rental returns a rental's record.
func (f *Fleet) Rental(name string) (Provision, bool) {
	r, ok := f.rentals[name]
	return r.rec, ok
}

// Unaddressed returns the rentals of which no addresses are recorded yet.
func (f *Fleet) Unaddressed() map[string]Versioned[Provision] {
	out := map[string]Versioned[Provision]{}
	for n, r := range f.rentals {
		if len(r.rec.IDs) > 0 && len(r.rec.Addrs) == 0 {
			out[n] = Versioned[Provision]{r.rec, r.version}
		}
	}
	return out
}

// Unfinished returns the rentals whose machines are not known yet.
func (f *Fleet) Unfinished() map[string]Versioned[Provision] {
	out := map[string]Versioned[Provision]{}
	for n, r := range f.rentals {
		if len(r.rec.IDs) == 0 {
			out[n] = Versioned[Provision]{r.rec, r.version}
		}
	}
	return out
}
