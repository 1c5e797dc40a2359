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

// Keys and prefixes of the records. They share the prefix of the cluster's records, so
// that the controllers' watch of these tells them, too.
const (
	Prefix            = "ctl/drain/"
	PlanPrefix        = Prefix + "plan/"
	LedgerPrefix      = Prefix + "ledger/"
	ParticipantPrefix = Prefix + "aware/"
	ProgressPrefix    = Prefix + "course/"
	CordonsKey        = Prefix + "cordons"
)

// PlanKey names a drain's record.
func PlanKey(name string) string { return PlanPrefix + name }

// LedgerKey names a team's ledger.
func LedgerKey(team string) string { return LedgerPrefix + ledgerName(team) }

// maxLedgerName keeps keys within the state service's bound.
const maxLedgerName = 150

// ledgerName is a team's name as a part of a key, which may hold no spaces.
func ledgerName(team string) string {
	name := url.PathEscape(team)
	if len(name) <= maxLedgerName {
		return name
	}
	h := fnv.New64a()
	h.Write([]byte(team))
	return fmt.Sprintf("%s-%016x", name[:maxLedgerName/2], h.Sum64())
}

// ParticipantKey names the record by which a controller tells that it knows of drains.
func ParticipantKey(label string) string { return ParticipantPrefix + label }

// ProgressKey names the record of what a shard did for a drain.
func ProgressKey(name string, shard int) string {
	return ProgressPrefix + name + "/" + strconv.Itoa(shard)
}

// Cordon is a machine that takes no new work, for a drain.
type Cordon struct {
	Drain string `json:"d"`
	Since int64  `json:"at"` // milliseconds
	Shard int    `json:"p"`  // whose owner lifts it once the machine is gone
	Zone  string `json:"z"`
}

// Cordons are all machines that are cordoned, by name. There is one record for all
// drains, so that what they may do at a time holds for them together.
type Cordons struct {
	Machines map[string]Cordon `json:"m"`
}

// Clone returns a copy that shares nothing.
func (c Cordons) Clone() Cordons {
	m := maps.Clone(c.Machines)
	if m == nil {
		m = map[string]Cordon{}
	}
	return Cordons{m}
}

// Participant is a controller's statement that it takes part in drains, and by which budgets.
type Participant struct {
	Budgets string `json:"budgets"`
}

// Versioned is a record with its version, 0 if there is none.
type Versioned[T any] = record.Versioned[T]

// View is what the records tell of drains. It takes changes in any order and is not safe
// for concurrent use.
type View struct {
	plans        map[string]Versioned[Plan]
	ledgers      map[string]Versioned[Ledger]
	progress     map[string]Versioned[Progress] // by key
	participants map[string]Participant
	cordons      Versioned[Cordons]
	serving      map[int]Versioned[Serving] // by shard
	versions     map[string]uint64          // of the last change of each key
	invalid      map[string]error           // records that make no sense, by key
	generation   uint64
}

// NewView returns a view without records.
func NewView() *View {
	return &View{
		plans: map[string]Versioned[Plan]{}, ledgers: map[string]Versioned[Ledger]{}, progress: map[string]Versioned[Progress]{},
		participants: map[string]Participant{}, serving: map[int]Versioned[Serving]{}, versions: map[string]uint64{}, invalid: map[string]error{},
	}
}

// ErrMalformed says that a record makes no sense. It is passed over.
var ErrMalformed = errors.New("malformed drain record")

// Apply applies a record's change. What is older than what is held is passed over.
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

// Reset replaces all records as of a revision. What is not among them is gone, unless it
// was written since.
func (v *View) Reset(entries []wire.Entry, revision uint64) error {
	var errs []error
	there := map[string]bool{}
	for _, e := range entries {
		there[e.Key] = true
		errs = append(errs, v.Apply(e.Change()))
	}
	for key, version := range v.versions {
		if !there[key] && version <= revision {
			v.drop(key)
			delete(v.invalid, key)
			delete(v.versions, key)
			v.generation++
		}
	}
	return errors.Join(errs...)
}

// drop forgets what a key's record told.
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

// decode decodes a record and keeps it.
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
		var a Participant
		if err := json.Unmarshal(e.Value, &a); err != nil {
			return err
		}
		v.participants[key[len(ParticipantPrefix):]] = a
	}
	return nil
}

func (v *View) decodePlan(name string, e wire.Change) error {
	var p Plan
	if err := json.Unmarshal(e.Value, &p); err != nil {
		return err
	}
	if p.Name != name {
		return invalid("it is named %.70q", p.Name)
	}
	if err := p.Check(); err != nil {
		return err
	}
	p.indexMachines()
	v.plans[name] = Versioned[Plan]{Rec: p, Version: e.Version}
	return nil
}

func decodeInto[T any](e wire.Change, to *Versioned[T]) error {
	var rec T
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return err
	}
	*to = Versioned[T]{Rec: rec, Version: e.Version}
	return nil
}

func decodeIntoMap[K comparable, T any](m map[K]Versioned[T], name K, e wire.Change) error {
	var held Versioned[T]
	if err := decodeInto(e, &held); err != nil {
		return err
	}
	m[name] = held
	return nil
}

// Generation counts the changes taken in.
func (v *View) Generation() uint64 { return v.generation }

// Plan returns a drain's record.
func (v *View) Plan(name string) (Versioned[Plan], bool) {
	p, ok := v.plans[name]
	return p, ok
}

// Plans returns all drains, the oldest first.
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

// Cordons returns the machines that are cordoned.
func (v *View) Cordons() Versioned[Cordons] { return v.cordons }

// Ledger returns a team's ledger.
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

// Progress returns what a shard did for a drain.
func (v *View) Progress(name string, shard int) Versioned[Progress] {
	return v.progress[ProgressKey(name, shard)]
}

// AllProgress returns what all shards did for a drain, in the order of their keys.
func (v *View) AllProgress(name string) []Progress {
	var out []Progress
	for _, key := range slices.Sorted(maps.Keys(v.progress)) {
		if strings.HasPrefix(key, ProgressPrefix+name+"/") {
			out = append(out, v.progress[key].Rec)
		}
	}
	return out
}

// Invalid returns the records that make no sense, by key.
func (v *View) Invalid() map[string]error { return v.invalid }

// Participant returns a controller's word on drains.
func (v *View) Participant(label string) (Participant, bool) {
	a, ok := v.participants[label]
	return a, ok
}

// AllParticipate reports whether every controller has said that it takes part in drains, all by the
// same budgets: until then nothing is drained, since one that knows nothing of drains would
// not count what it loses, and others would grant by another budget.
func (v *View) AllParticipate(labels []string, budgets string) bool {
	return !slices.ContainsFunc(labels, func(l string) bool { return v.participants[l].Budgets != budgets })
}

// InUse reports whether there is a drain that is not over, or a machine cordoned.
func (v *View) InUse() bool {
	for _, p := range v.plans {
		if !p.Rec.State.Terminal() {
			return true
		}
	}
	return len(v.cordons.Rec.Machines) > 0 || v.hasOpenEvictions()
}

// MayCordonMore reports whether a drain may cordon further machines now.
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

// hasOpenEvictions reports whether a disruption that a drain caused is still open.
func (v *View) hasOpenEvictions() bool {
	for _, l := range v.ledgers {
		if slices.ContainsFunc(l.Rec.Open, func(d Disruption) bool { return d.Drain != "" }) {
			return true
		}
	}
	return false
}
