package drain

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Keys and prefixes of the drain records. They lie below the prefix of the cluster's records, so that
// the controllers' watch of those delivers them, too.
const (
	Prefix            = "ctl/drain/"
	PlanPrefix        = Prefix + "plan/"
	LedgerPrefix      = Prefix + "ledger/"
	ParticipantPrefix = Prefix + "aware/"
	ProgressPrefix    = Prefix + "course/"
	CordonsKey        = Prefix + "cordons"
)

// PlanKey returns the key of a drain's plan.
func PlanKey(name string) string { return PlanPrefix + name }

// LedgerKey returns the key of a team's ledger.
func LedgerKey(team string) string { return LedgerPrefix + ledgerName(team) }

// maxLedgerName bounds a team's name in a key, in bytes, to keep the key within the state service's limit.
const maxLedgerName = 150

// ledgerName returns a team's name as a part of a key, which must not contain spaces. A long name is
// cut off and gets a hash.
func ledgerName(team string) string {
	name := url.PathEscape(team)
	if len(name) <= maxLedgerName {
		return name
	}
	h := fnv.New64a()
	h.Write([]byte(team))
	return fmt.Sprintf("%s-%016x", name[:maxLedgerName/2], h.Sum64())
}

// ParticipantKey returns the key of the record by which a controller announces that it takes part in
// drains.
func ParticipantKey(label string) string { return ParticipantPrefix + label }

// ProgressKey returns the key of a drain's progress on a shard.
func ProgressKey(name string, shard int) string {
	return ProgressPrefix + name + "/" + strconv.Itoa(shard)
}

// Cordon says for which drain a machine takes no new work.
type Cordon struct {
	Drain string `json:"d"`
	Since int64  `json:"at"` // Unix time, milliseconds
	Shard int    `json:"p"`  // the shard whose owner lifts the cordon
	Zone  string `json:"z"`
}

// Cordons is the record of all cordoned machines. There is one record for all drains, so that the limit
// on machines that may be cordoned at a time applies to all drains together.
type Cordons struct {
	Machines map[string]Cordon `json:"m"` // by machine ID
}

// Clone returns a copy whose map is not nil and not shared.
func (c Cordons) Clone() Cordons {
	m := maps.Clone(c.Machines)
	if m == nil {
		m = map[string]Cordon{}
	}
	return Cordons{m}
}

// Participant is the record by which a controller announces that it takes part in drains.
type Participant struct {
	Budgets string `json:"budgets"` // Settings.Fingerprint of its budgets
}

// Versioned is a record with its version, which is 0 if there is no record.
type Versioned[T any] = record.Versioned[T]

// View is a local cache of the drain records, fed by a watch. Changes may be applied in any order. A
// View is not safe for concurrent use.
type View struct {
	plans        map[string]Versioned[Plan]     // by name
	ledgers      map[string]Versioned[Ledger]   // by ledgerName
	progress     map[string]Versioned[Progress] // by key
	participants map[string]Participant         // by controller label
	cordons      Versioned[Cordons]
	serving      map[int]Versioned[Serving] // by shard
	versions     map[string]uint64          // version of the last change, by key
	invalid      map[string]error           // why a record is malformed, by key
	generation   uint64                     // see Generation
}

// NewView returns a view without records.
func NewView() *View {
	return &View{
		plans: map[string]Versioned[Plan]{}, ledgers: map[string]Versioned[Ledger]{}, progress: map[string]Versioned[Progress]{},
		participants: map[string]Participant{}, serving: map[int]Versioned[Serving]{}, versions: map[string]uint64{}, invalid: map[string]error{},
	}
}

// ErrMalformed is wrapped by errors about a record that cannot be decoded or is invalid. The view
// skips such a record.
var ErrMalformed = errors.New("malformed drain record")

// Apply applies the change of a drain record. It ignores changes of other records, and those that are
// not newer than the last change of the same key. A malformed record removes the one before it from the
// view, and Apply returns an error that wraps ErrMalformed.
func (v *View) Apply(e wire.Change) error {
	key := e.Put + e.Delete
	if !strings.HasPrefix(key, Prefix) || e.Version <= v.versions[key] {
		return nil
	}
	v.versions[key] = e.Version
	v.generation++
	delete(v.invalid, key)
	v.drop(key)
	if e.Put == "" {
		return nil
	}
	if err := v.decode(key, e); err != nil {
		v.invalid[key] = err
		return fmt.Errorf("%w %s: %w", ErrMalformed, key, err)
	}
	return nil
}

// Reset replaces all records by those of a revision. It removes the records that are not among the
// entries, unless they were written after the revision. It returns the joined errors of malformed
// records.
func (v *View) Reset(entries []wire.Entry, revision uint64) error {
	var errs []error
	present := map[string]bool{}
	for _, e := range entries {
		present[e.Key] = true
		errs = append(errs, v.Apply(e.Change()))
	}
	for key, version := range v.versions {
		if !present[key] && version <= revision {
			v.drop(key)
			delete(v.invalid, key)
			delete(v.versions, key)
			v.generation++
		}
	}
	return errors.Join(errs...)
}

// drop removes the record of a key.
func (v *View) drop(key string) {
	switch {
	case key == CordonsKey:
		v.cordons = Versioned[Cordons]{}
	case strings.HasPrefix(key, PlanPrefix):
		delete(v.plans, key[len(PlanPrefix):])
	case strings.HasPrefix(key, LedgerPrefix):
		delete(v.ledgers, key[len(LedgerPrefix):])
	case strings.HasPrefix(key, ParticipantPrefix):
		delete(v.participants, key[len(ParticipantPrefix):])
	case strings.HasPrefix(key, ProgressPrefix):
		delete(v.progress, key)
	case strings.HasPrefix(key, ServingPrefix):
		if shard, err := servingShard(key); err == nil {
			delete(v.serving, shard)
		}
	}
}

// decode decodes a record and stores it.
func (v *View) decode(key string, e wire.Change) error {
	switch {
	case key == CordonsKey:
		return decodeInto(e, &v.cordons)
	case strings.HasPrefix(key, PlanPrefix):
		return v.decodePlan(key[len(PlanPrefix):], e)
	case strings.HasPrefix(key, LedgerPrefix):
		return decodeIntoMap(v.ledgers, key[len(LedgerPrefix):], e)
	case strings.HasPrefix(key, ProgressPrefix):
		return decodeIntoMap(v.progress, key, e)
	case strings.HasPrefix(key, ServingPrefix):
		shard, err := servingShard(key)
		if err != nil {
			return err
		}
		return decodeIntoMap(v.serving, shard, e)
	case strings.HasPrefix(key, ParticipantPrefix):
		var p Participant
		if err := json.Unmarshal(e.Value, &p); err != nil {
			return err
		}
		v.participants[key[len(ParticipantPrefix):]] = p
	}
	return nil
}

// decodePlan decodes, checks and stores the plan of a drain.
func (v *View) decodePlan(name string, e wire.Change) error {
	var p Plan
	if err := json.Unmarshal(e.Value, &p); err != nil {
		return err
	}
	if p.Name != name {
		return invalid("the record's name is %.70q, want the one in its key", p.Name)
	}
	if err := p.Check(); err != nil {
		return err
	}
	p.indexMachines()
	v.plans[name] = Versioned[Plan]{Rec: p, Version: e.Version}
	return nil
}

// decodeInto decodes the value of a change into a record. It leaves the record as it was on an error.
func decodeInto[T any](e wire.Change, to *Versioned[T]) error {
	var rec T
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return err
	}
	*to = Versioned[T]{Rec: rec, Version: e.Version}
	return nil
}

// decodeIntoMap decodes the value of a change into an entry of a map.
func decodeIntoMap[K comparable, T any](m map[K]Versioned[T], key K, e wire.Change) error {
	var rec Versioned[T]
	if err := decodeInto(e, &rec); err != nil {
		return err
	}
	m[key] = rec
	return nil
}

// Generation returns the number of changes that were applied.
func (v *View) Generation() uint64 { return v.generation }

// Plan returns a drain's plan, and whether there is one.
func (v *View) Plan(name string) (Versioned[Plan], bool) {
	p, ok := v.plans[name]
	return p, ok
}

// Plans returns the plans of all drains, the oldest first.
func (v *View) Plans() []Versioned[Plan] {
	out := slices.Collect(maps.Values(v.plans))
	slices.SortFunc(out, func(a, b Versioned[Plan]) int {
		if a.Rec.Created != b.Rec.Created {
			return cmp.Compare(a.Rec.Created, b.Rec.Created)
		}
		return strings.Compare(a.Rec.Name, b.Rec.Name)
	})
	return out
}

// Cordons returns the record of the cordoned machines. The caller must not change its map.
func (v *View) Cordons() Versioned[Cordons] { return v.cordons }

// Ledger returns a team's ledger, with version 0 if there is none. A caller must clone it before
// changing it.
func (v *View) Ledger(team string) Versioned[Ledger] { return v.ledgers[ledgerName(team)] }

// openDisruptions returns the open disruptions of a shard.
func (v *View) openDisruptions(shard int) []Disruption {
	var out []Disruption
	for _, name := range slices.Sorted(maps.Keys(v.ledgers)) {
		for _, d := range v.ledgers[name].Rec.Open {
			if d.Shard == shard {
				out = append(out, d)
			}
		}
	}
	return out
}

// Progress returns a drain's progress on a shard, with version 0 if there is no record of it.
func (v *View) Progress(name string, shard int) Versioned[Progress] {
	return v.progress[ProgressKey(name, shard)]
}

// AllProgress returns a drain's progress on all shards, in the order of their keys.
func (v *View) AllProgress(name string) []Progress {
	var out []Progress
	for _, key := range slices.Sorted(maps.Keys(v.progress)) {
		if strings.HasPrefix(key, ProgressPrefix+name+"/") {
			out = append(out, v.progress[key].Rec)
		}
	}
	return out
}

// Invalid returns the errors of the records that are malformed, by key. The caller must not change the
// map.
func (v *View) Invalid() map[string]error { return v.invalid }

// Participant returns the record by which a controller takes part in drains, and whether there is one.
func (v *View) Participant(label string) (Participant, bool) {
	p, ok := v.participants[label]
	return p, ok
}

// AllParticipate reports whether all controllers take part in drains, with the same budgets, given by
// their fingerprint. Until then nothing is drained: a controller that does not take part would not record
// its losses, and one with other budgets would grant by those.
func (v *View) AllParticipate(labels []string, budgets string) bool {
	return !slices.ContainsFunc(labels, func(label string) bool { return v.participants[label].Budgets != budgets })
}

// InUse reports whether a drain has not ended, a machine is cordoned, or a disruption that was granted to
// a drain is open.
func (v *View) InUse() bool {
	for _, p := range v.plans {
		if !p.Rec.State.Terminal() {
			return true
		}
	}
	return len(v.cordons.Rec.Machines) > 0 || v.hasOpenEvictions()
}

// MayCordonMore reports whether an active drain has fewer machines cordoned than it may.
func (v *View) MayCordonMore() bool {
	cordoned := map[string]int{}
	for _, c := range v.cordons.Rec.Machines {
		cordoned[c.Drain]++
	}
	for name, p := range v.plans {
		if p.Rec.State == Active && cordoned[name] < p.Rec.MaxConcurrent {
			return true
		}
	}
	return false
}

// hasOpenEvictions reports whether a disruption that was granted to a drain is open.
func (v *View) hasOpenEvictions() bool {
	for _, l := range v.ledgers {
		if slices.ContainsFunc(l.Rec.Open, func(d Disruption) bool { return d.Drain != "" }) {
			return true
		}
	}
	return false
}
