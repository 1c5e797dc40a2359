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

// Verdict is what becomes of a record.
type Verdict string

// Verdicts.
const (
	Intact    Verdict = "intact"
	Recovered Verdict = "recovered"
	Finished  Verdict = "finished since"
	Lost      Verdict = "lost"
	Undecided Verdict = "undecided"
)

// Choice is what an operator may decide about a job whose end is not known.
type Choice string

// Choices.
const (
	ChooseDone      Choice = "done"
	ChooseCancelled Choice = "cancelled"
	ChooseAgain     Choice = "again"
	// ChooseForget accepts that nothing is left of a job but tasks, which are stopped.
	ChooseForget Choice = "forget"
)

// Item is the verdict on one record, with its evidence.
type Item struct {
	Key     string   `json:"key"`
	Verdict Verdict  `json:"verdict"`
	From    Source   `json:"from,omitempty"`
	Why     string   `json:"why,omitempty"`
	Choices []Choice `json:"choices,omitempty"` // of what is undecided
	// Put is the value to be written, and Delete says that the record is to go, if either is;
	// Version is that of the store's record when the plan was made.
	Put     json.RawMessage `json:"put,omitempty"`
	Delete  bool            `json:"delete,omitempty"`
	Version uint64          `json:"version"`
}

// changes reports whether an item is to be written.
func (i *Item) changes() bool { return i.Put != nil || i.Delete }

// Plan is the verdict on everything that is known.
type Plan struct {
	Epoch    int    `json:"epoch"`
	Revision uint64 `json:"revision"` // of the store, when it was read
	Floor    uint64 `json:"floor"`
	Snapshot uint64 `json:"snapshot,omitempty"` // the revision of the snapshot, if there was one
	Items    []Item `json:"items"`
}

// Count returns the number of items by verdict.
func (p *Plan) Count() map[Verdict]int {
	out := map[Verdict]int{}
	for _, i := range p.Items {
		out[i.Verdict]++
	}
	return out
}

// Undecided returns the items that an operator has to decide about.
func (p *Plan) Undecided() []Item {
	return slices.DeleteFunc(slices.Clone(p.Items), func(i Item) bool { return i.Verdict != Undecided })
}

// Digest tells one plan from another.
func (p *Plan) Digest() string {
	sum := sha256.Sum256(record.Encode(p))
	return hex.EncodeToString(sum[:])
}

// planner makes a plan.
type planner struct {
	Evidence
	limits Limits
	items  map[string]*Item
	jobs   map[string]record.ActiveJob // unfinished, by name, as they will be
	doubt  map[string]bool             // jobs that are undecided
}

// Limits are the bounds of the records that a plan writes.
type Limits struct {
	ValueBytes int
	TxnOps     int
	TxnBytes   int
}

// Make gives each record its verdict, by the table in docs/design-recovery.md.
func Make(e Evidence, limits Limits) *Plan {
	p := &planner{Evidence: e, limits: limits, items: map[string]*Item{}, jobs: map[string]record.ActiveJob{}, doubt: map[string]bool{}}
	keys := slices.Sorted(maps.Keys(e.keys()))
	p.each(keys, record.FinishedJobPrefix, p.final)
	p.each(keys, record.ActiveJobPrefix, p.open)
	p.each(keys, record.PipelinePrefix, p.plain)
	p.each(keys, record.FleetPrefix, p.machine)
	p.each(keys, record.ClusterPrefix, p.cluster)
	p.each(keys, record.PlacementsPrefix, p.plain)
	p.lostJobs()
	p.unknownMachines()
	p.placements()
	out := &Plan{Epoch: e.Mode.Epoch, Revision: e.Revision, Floor: e.Mode.Floor, Snapshot: e.SnapshotRevision}
	for _, key := range slices.Sorted(maps.Keys(p.items)) {
		out.Items = append(out.Items, *p.items[key])
	}
	return out
}

func (p *planner) each(keys []string, prefix string, f func(key string)) {
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			f(key)
		}
	}
}

// item begins the item of a record.
func (p *planner) item(key string, v Verdict, from Source, why string) *Item {
	i := &Item{Key: key, Verdict: v, From: from, Why: why, Version: p.Store[key].Version}
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

// plain restores the newest of a record.
func (p *planner) plain(key string) {
	e, from, _ := p.newest(key)
	if !json.Valid(e.Value) {
		p.item(key, Lost, from, "its value makes no sense")
		return
	}
	p.restore(key, e.Value, from, versionOf(e))
}

func versionOf(e wire.Entry) string { return fmt.Sprintf("version %d", e.Version) }

// unrestored are records that controllers write anew by themselves: they go with a lease, or
// are claimed under a new token.
var unrestored = []string{record.MemberPrefix, record.ShardPrefix, record.LeaderKey, Prefix, record.ClusterPrefix + "restart/"}

// cluster restores what controllers do not write anew.
func (p *planner) cluster(key string) {
	for _, prefix := range unrestored {
		if strings.HasPrefix(key, prefix) {
			return
		}
	}
	p.plain(key)
}
