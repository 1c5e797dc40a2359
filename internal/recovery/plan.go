package recovery

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Outcome is what becomes of a record.
type Outcome string

// Outcomes.
const (
	Intact    Outcome = "intact"
	Recovered Outcome = "recovered"
	Finished  Outcome = "finished since"
	Lost      Outcome = "lost"
	Undecided Outcome = "undecided"
)

// Decision is what an operator may decide about a job whose end is not known.
type Decision string

// Decisions.
const (
	DecideDone      Decision = "done"
	DecideCancelled Decision = "cancelled"
	DecideRerun     Decision = "again"
	// DecideForget accepts that nothing is left of a job but tasks, which are stopped.
	DecideForget Decision = "forget"
)

// Item is the outcome for one record, with its evidence.
type Item struct {
	Key     string     `json:"key"`
	Outcome Outcome    `json:"verdict"`
	From    Source     `json:"from,omitempty"`
	Why     string     `json:"why,omitempty"`
	Choices []Decision `json:"choices,omitempty"` // of what is undecided
	// Put is the value to be written, and Delete says that the record is to go, if either is;
	// Version is that of the store's record when the plan was made.
	Put     json.RawMessage `json:"put,omitempty"`
	Delete  bool            `json:"delete,omitempty"`
	Version uint64          `json:"version"`
}

// writes reports whether an item is to be written.
func (i *Item) writes() bool { return i.Put != nil || i.Delete }

// Plan is the outcome for everything that is known.
type Plan struct {
	Epoch    int    `json:"epoch"`
	Revision uint64 `json:"revision"` // of the store, when it was read
	Floor    uint64 `json:"floor"`
	Snapshot uint64 `json:"snapshot,omitempty"` // the revision of the snapshot, if there was one
	Items    []Item `json:"items"`
}

// Count returns the number of items by outcome.
func (p *Plan) Count() map[Outcome]int {
	out := map[Outcome]int{}
	for _, i := range p.Items {
		out[i.Outcome]++
	}
	return out
}

// Undecided returns the items that an operator has to decide about.
func (p *Plan) Undecided() []Item {
	return slices.DeleteFunc(slices.Clone(p.Items), func(i Item) bool { return i.Outcome != Undecided })
}

// Digest tells one plan from another.
func (p *Plan) Digest() string {
	sum := sha256.Sum256(record.Encode(p))
	return hex.EncodeToString(sum[:])
}

// planner makes a plan.
type planner struct {
	Evidence
	limits        Limits
	items         map[string]*Item
	activeJobs    map[string]record.ActiveJob // unfinished, by name, as they will be
	undecidedJobs map[string]bool             // jobs that are undecided
}

// Limits are the bounds of the records that a plan writes.
type Limits struct {
	ValueBytes int
	TxnOps     int
	TxnBytes   int
}

// NewPlan gives each record its outcome, by the table in docs/design-recovery.md.
func NewPlan(e Evidence, limits Limits) *Plan {
	p := &planner{Evidence: e, limits: limits, items: map[string]*Item{}, activeJobs: map[string]record.ActiveJob{}, undecidedJobs: map[string]bool{}}
	keys := slices.Sorted(maps.Keys(e.keys()))
	p.eachWithPrefix(keys, record.FinishedJobPrefix, p.planFinishedJob)
	p.eachWithPrefix(keys, record.ActiveJobPrefix, p.planActiveJob)
	p.eachWithPrefix(keys, record.PipelinePrefix, p.planNewest)
	p.eachWithPrefix(keys, record.FleetPrefix, p.planMachines)
	p.eachWithPrefix(keys, record.ClusterPrefix, p.planClusterRecord)
	p.eachWithPrefix(keys, record.PlacementsPrefix, p.planNewest)
	p.planLostJobs()
	p.planUnrecordedMachines()
	p.planPlacements()
	out := &Plan{Epoch: e.Mode.Epoch, Revision: e.Revision, Floor: e.Mode.Floor, Snapshot: e.SnapshotRevision}
	for _, key := range slices.Sorted(maps.Keys(p.items)) {
		out.Items = append(out.Items, *p.items[key])
	}
	return out
}

func (p *planner) eachWithPrefix(keys []string, prefix string, f func(key string)) {
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			f(key)
		}
	}
}

// item begins the item of a record.
func (p *planner) item(key string, v Outcome, from Source, why string) *Item {
	i := &Item{Key: key, Outcome: v, From: from, Why: why, Version: p.Store[key].Version}
	p.items[key] = i
	return i
}

// restore makes an item that writes a value, or is intact if the store has it.
func (p *planner) restore(key string, value json.RawMessage, from Source, why string) *Item {
	if s, ok := p.Store[key]; ok && bytes.Equal(s.Value, value) {
		return p.item(key, Intact, FromStore, "")
	}
	i := p.item(key, Recovered, from, why)
	i.Put = value
	return i
}

// planNewest restores the newest of a record.
func (p *planner) planNewest(key string) {
	e, from, _ := p.newest(key)
	if !json.Valid(e.Value) {
		p.item(key, Lost, from, "its value makes no sense")
		return
	}
	p.restore(key, e.Value, from, describeVersion(e))
}

func describeVersion(e wire.Entry) string { return fmt.Sprintf("version %d", e.Version) }

// rewrittenByControllers are records that controllers write anew by themselves: they go with a lease, or
// are acquired under a new fencing token.
var rewrittenByControllers = []string{record.MemberPrefix, record.ShardPrefix, record.LeaderKey, Prefix, record.ClusterPrefix + "restart/"}

// planClusterRecord restores what controllers do not write anew.
func (p *planner) planClusterRecord(key string) {
	for _, prefix := range rewrittenByControllers {
		if strings.HasPrefix(key, prefix) {
			return
		}
	}
	p.planNewest(key)
}
