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

// Outcome is what a plan does with a record.
type Outcome string

// Outcomes.
const (
	Intact    Outcome = "intact"         // the store has it as it should be
	Recovered Outcome = "recovered"      // it is written, from the evidence or by a decision
	Finished  Outcome = "finished since" // its job or its machines have ended since it was written
	Lost      Outcome = "lost"           // it cannot be recovered
	Undecided Outcome = "undecided"      // an operator has to decide
)

// Decision is what an operator decides about a job if the evidence does not show what became of it.
type Decision string

// Decisions.
const (
	DecideDone      Decision = "done"      // record the job as done
	DecideCancelled Decision = "cancelled" // record the job as cancelled
	DecideRerun     Decision = "again"     // restore the job as active
	// DecideForget accepts that nothing is left of a job but its tasks, which are then stopped.
	DecideForget Decision = "forget"
)

// Item is the outcome for one record, with its evidence.
type Item struct {
	Key     string  `json:"key"`
	Outcome Outcome `json:"verdict"`
	From    Source  `json:"from,omitempty"` // of the evidence that the outcome follows from
	// Why is the reason, for operators. Its texts are stored in plan files and enter [Plan.Digest], so
	// that they may not be reworded.
	Why     string     `json:"why,omitempty"`
	Choices []Decision `json:"choices,omitempty"` // that an operator has, if undecided
	// Put is the value to write, nil if none is written. Delete is set if the record is to be deleted.
	// Version is that of the store's record when the plan was made, 0 if there was none.
	Put     json.RawMessage `json:"put,omitempty"`
	Delete  bool            `json:"delete,omitempty"`
	Version uint64          `json:"version"`
}

// writes reports whether the item writes or deletes its record.
func (i *Item) writes() bool { return i.Put != nil || i.Delete }

// Plan has the outcome for each record of which there is evidence.
type Plan struct {
	Epoch    int    `json:"epoch"`              // of the safe mode
	Revision uint64 `json:"revision"`           // of the store, when it was read
	Floor    uint64 `json:"floor"`              // of the safe mode
	Snapshot uint64 `json:"snapshot,omitempty"` // the revision of the snapshot, if there was one
	Items    []Item `json:"items"`              // sorted by key
}

// Count returns the number of items with each outcome.
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

// Digest returns a hash in hexadecimal that identifies the plan.
func (p *Plan) Digest() string {
	sum := sha256.Sum256(record.Encode(p))
	return hex.EncodeToString(sum[:])
}

// planner is the state while a plan is made.
type planner struct {
	Evidence
	limits        Limits
	items         map[string]*Item            // planned so far, by key
	activeJobs    map[string]record.ActiveJob // jobs that the plan keeps active, by reference
	undecidedJobs map[string]bool             // by reference
}

// Limits are the state service's bounds on the records and transactions of a plan.
type Limits struct {
	ValueBytes int // of one value
	TxnOps     int // operations of one transaction
	TxnBytes   int // of the keys and values of one transaction
}

// NewPlan returns the plan for the evidence. Outcomes follow the table in docs/design-recovery.md.
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

// eachWithPrefix calls f with each key that has a prefix.
func (p *planner) eachWithPrefix(keys []string, prefix string, f func(key string)) {
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			f(key)
		}
	}
}

// addItem adds the item of a record, in place of an earlier one. The caller sets what it writes.
func (p *planner) addItem(key string, outcome Outcome, from Source, why string) *Item {
	i := &Item{Key: key, Outcome: outcome, From: from, Why: why, Version: p.Store[key].Version}
	p.items[key] = i
	return i
}

// restore adds an item that writes a value, or one that is intact if the store has the same value.
func (p *planner) restore(key string, value json.RawMessage, from Source, why string) *Item {
	if s, ok := p.Store[key]; ok && bytes.Equal(s.Value, value) {
		return p.addItem(key, Intact, FromStore, "")
	}
	i := p.addItem(key, Recovered, from, why)
	i.Put = value
	return i
}

// planNewest restores the newest copy of a record, or plans the record as lost if that copy is not JSON.
func (p *planner) planNewest(key string) {
	e, from, _ := p.newest(key)
	if !json.Valid(e.Value) {
		p.addItem(key, Lost, from, "its value makes no sense")
		return
	}
	p.restore(key, e.Value, from, describeVersion(e))
}

func describeVersion(e wire.Entry) string { return fmt.Sprintf("version %d", e.Version) }

// rewrittenByControllers has the prefixes of records that controllers write again by themselves: these
// records end with a lease, or are acquired under a new fencing token.
var rewrittenByControllers = []string{record.MemberPrefix, record.ShardPrefix, record.LeaderKey, Prefix, record.ClusterPrefix + "restart/"}

// planClusterRecord restores a record of the cluster, unless controllers write it again by themselves.
func (p *planner) planClusterRecord(key string) {
	for _, prefix := range rewrittenByControllers {
		if strings.HasPrefix(key, prefix) {
			return
		}
	}
	p.planNewest(key)
}
