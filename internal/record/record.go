// Package record holds the layout of what controllers keep in the state
// service. A record's version doubles as a fencing token where noted.
package record

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"strings"

	"bramblespur/internal/fragment"
	"bramblespur/internal/wire"
)

// Keys and prefixes. Cluster records share a prefix so that one watch serves,
// and so do the records of machines.
const (
	ClusterPrefix     = "ctl/"
	LeaderKey         = "ctl/leader"
	MachineTypesKey   = "ctl/types"
	MemberPrefix      = "ctl/members/"
	ShardPrefix       = "ctl/parts/"
	FormatPrefix      = "ctl/formats/"
	ClusterKey        = "ctl/cluster" // tells this cluster from others
	FleetPrefix       = "fleet/"
	ProvisionPrefix   = "fleet/rent/"
	OverridePrefix    = "fleet/own/"
	ReleasePrefix     = "fleet/back/"
	ActiveJobPrefix   = "open/"
	FinishedJobPrefix = "jobs/"
	PipelinePrefix    = "pipes/"
	PlacementsPrefix  = "runs/"
)

// Prefixes returns the prefixes of all records, none of which begins with another.
func Prefixes() []string {
	return []string{ClusterPrefix, FleetPrefix, FinishedJobPrefix, ActiveJobPrefix, PipelinePrefix, PlacementsPrefix}
}

// ShardKey names a part's record; the version of its last claim is the part's token.
func ShardKey(p int) string { return ShardPrefix + strconv.Itoa(p) }

// FormatKey names the record by which a controller tells for ever that it writes
// records in a later format than that of the first version.
func FormatKey(label string) string { return FormatPrefix + label }

// ProvisionKey names a rental; it stands for all its machines.
func ProvisionKey(name string) string { return ProvisionPrefix + name }

// OverrideKey names the record of a machine that differs from its rental's word; its
// version is the machine's token when larger than the part's.
func OverrideKey(id string) string { return OverridePrefix + id }

// ReleaseKey names a batch of machines that a part's owner gives back.
func ReleaseKey(p int, token uint64, seq int) string {
	return fmt.Sprintf("%s%d-%d-%d", ReleasePrefix, p, token, seq)
}

// ActiveJobKey names an unfinished job's record with its specification.
func ActiveJobKey(ref string) string { return ActiveJobPrefix + ref }

// FinishedJobKey names the record of a finished job's state, kept for ever.
func FinishedJobKey(ref string) string { return FinishedJobPrefix + ref }

// PipelineKey names a pipeline's record, kept for ever.
func PipelineKey(ref string) string { return PipelinePrefix + ref }

// ShardPlacementsPrefix is the prefix of a part's placement records.
func ShardPlacementsPrefix(p int) string { return PlacementsPrefix + strconv.Itoa(p) + "/" }

// PlacementsKey names one of a part's placement records.
func PlacementsKey(p, n int) string { return ShardPlacementsPrefix(p) + strconv.Itoa(n) }

// RangeName names a range of a job's tasks within a slot by a number: of the range
// in a plain slot, of its first task in a stated one.
func RangeName(ref string, n int) string { return ref + ":" + strconv.Itoa(n) }

// SplitRangeName undoes RunName.
func SplitRangeName(name string) (ref string, n int, ok bool) {
	ref, num, ok := strings.Cut(name, ":")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return ref, n, err == nil && n >= 0
}

// LastElement returns the last element of a key.
func LastElement(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Leader is who leads, and Member a live controller; both go with their lease.
type Leader struct {
	Label       string `json:"label"`
	Incarnation uint64 `json:"inc"`
}

// Member is a live controller.
type Member struct {
	Incarnation uint64 `json:"inc"`
	// Isolated says that it hears neither workers nor other controllers, though it
	// reaches the state service: its parts are better off elsewhere.
	Isolated bool `json:"deaf,omitempty"`
	// WithoutPeers says that it hears no other controller.
	WithoutPeers bool `json:"alone,omitempty"`
	// Overloaded says that it falls behind for want of a processor, so that its parts
	// are better off elsewhere.
	Overloaded bool `json:"overloaded,omitempty"`
}

// Format is a controller's word on the records that it writes and reads. Once
// every configured controller has given its word, none of the first version owns
// a part again: a process that dies comes back as what it was last.
type Format struct {
	Version int `json:"n"`
}

// SizedRanges is the format of records whose ranges of tasks state their own size.
const SizedRanges = 1

// Shard says who owns a part of the work.
type Shard struct {
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"inc"`
	TransferTo  string `json:"to,omitempty"` // the controller invited to claim it
}

// Image is an image on a machine.
type Image struct {
	Name string  `json:"name"`
	GB   float64 `json:"gb"`
}

// Machine is a rented machine. Most need no record of their own: their rental
// says it all until they change parts.
type Machine struct {
	Type      string `json:"type"`
	Zone      string `json:"zone"`
	Spot      bool   `json:"spot,omitempty"`
	Shard     int    `json:"part"`
	CreatedAt int64  `json:"born"` // milliseconds, when it was rented
	// Images are those it was seen to have when this was written.
	Images []Image `json:"images,omitempty"`
}

// Provision is a request to the cloud, written before it is made. The machines
// are added once the cloud has answered; the record stands for all of them.
type Provision struct {
	Type      string   `json:"type"`
	Zone      string   `json:"zone"`
	Spot      bool     `json:"spot,omitempty"`
	Shards    []int    `json:"parts"` // whom each machine is for
	IDs       []string `json:"ids,omitempty"`
	CreatedAt int64    `json:"born,omitempty"`
	// Addrs are the machines' addresses, in the order of IDs, once they have
	// reported: who takes a part over can ask its machines at once.
	Addrs []string `json:"addrs,omitempty"`
}

// Release is a batch of machines to be given back. Nothing may start on them any
// more; they are proven gone once Done is set, after the cloud's answer.
type Release struct {
	IDs  []string `json:"ids"`
	Done bool     `json:"done,omitempty"`
}

// ActiveJob is an unfinished job.
type ActiveJob struct {
	Spec       wire.Spec `json:"spec"`
	Shard      int       `json:"part"`
	AcceptedAt int64     `json:"at"` // milliseconds, when it was accepted
	Cancelled  bool      `json:"cancelled,omitempty"`
	// Pipeline is the pipeline it belongs to, if it was submitted with one, and
	// Held says that it has not been released yet.
	Pipeline           string `json:"pipe,omitempty"`
	AwaitsDependencies bool   `json:"held,omitempty"`
}

// Pipeline is a pipeline of several jobs. What was released follows from what has
// ended, by the paper's algorithm.
type Pipeline struct {
	Shard   int              `json:"part"`
	Jobs    []string         `json:"jobs"`
	Links   []wire.Link      `json:"links,omitempty"`
	Choices []wire.Choice    `json:"choices,omitempty"`
	Ended   []PipelineJobEnd `json:"ended,omitempty"` // in order
	State   string           `json:"state,omitempty"` // once it is over or cancelled
}

// PipelineJobEnd is a job of a pipeline that has ended.
type PipelineJobEnd struct {
	Ref   string `json:"ref"`
	State string `json:"state"`
}

// Net returns the pipeline as a net of its jobs.
func (p *Pipeline) Net() (*fragment.Net, error) {
	var links []fragment.Place
	for _, l := range p.Links {
		links = append(links, fragment.Place{In: l.From, Out: l.To})
	}
	return fragment.Linked(p.Jobs, links)
}

// Replay takes into a running pipeline the ends that its record tells, and then
// others that are known from the jobs' own final records, in whatever order: a
// step that was too large to be recorded in one piece left them there alone.
func (p *Pipeline) Replay(run *fragment.Pipeline, others []PipelineJobEnd) {
	for _, e := range p.Ended {
		p.ApplyEnd(run, e)
	}
	left := slices.Clone(others)
	take := func(want func(PipelineJobEnd) bool) bool {
		i := slices.IndexFunc(left, want)
		if i >= 0 {
			p.ApplyEnd(run, left[i])
			left = slices.Delete(left, i, i+1)
		}
		return i >= 0
	}
	for {
		ready, may := run.Ready(), run.Left()
		if !take(func(e PipelineJobEnd) bool { return slices.Contains(ready, e.Ref) }) &&
			!take(func(e PipelineJobEnd) bool { return may[e.Ref] && e.State == wire.Cancelled }) {
			return // what is left has no more use: branches that were not taken
		}
	}
}

// NeedsSplitCommits reports whether steps of a pipeline may be too large to be recorded
// whole: its record grows by each job's end, and such a step takes two changes for
// the job, one for the pipeline, and one for each job that it releases.
func (p *Pipeline) NeedsSplitCommits(bytes, ops int) bool {
	whole := *p
	whole.Ended = nil
	widest := 0
	for _, j := range p.Jobs {
		whole.Ended = append(whole.Ended, PipelineJobEnd{Ref: j, State: wire.Cancelled})
		n := 0
		for _, l := range p.Links {
			if slices.Contains(l.From, j) {
				n++
			}
		}
		widest = max(widest, n)
	}
	whole.State = wire.Cancelled
	const endOps = 3
	return len(Encode(whole)) > bytes || widest+endOps > ops
}

// MissingEnds returns the jobs whose ends a pipeline's record does not tell.
func (p *Pipeline) MissingEnds() []string {
	return slices.DeleteFunc(slices.Clone(p.Jobs), func(ref string) bool {
		return slices.ContainsFunc(p.Ended, func(e PipelineJobEnd) bool { return e.Ref == ref })
	})
}

// Compacted is the record of a pipeline that has come to its end: with all it told if
// that has room in so many bytes, else without what nobody needs any more.
func (p Pipeline) Compacted(bytes int) Pipeline {
	if len(Encode(p)) > bytes {
		p.Links, p.Choices = nil, nil
	}
	if len(Encode(p)) > bytes {
		p.Ended = nil // each job's own record tells it
	}
	return p
}

// ApplyEnd takes a job's end into a running pipeline.
func (p *Pipeline) ApplyEnd(run *fragment.Pipeline, e PipelineJobEnd) {
	pick, cancelled := "", ""
	for _, c := range p.Choices {
		if c.At == e.Ref {
			pick, cancelled = c.Done, c.Cancelled
		}
	}
	switch {
	case e.State == wire.Done:
		run.Finish(e.Ref, pick)
	case cancelled == "" || !run.Finish(e.Ref, cancelled):
		run.Abort(e.Ref) // also one that was cancelled before its turn
	}
}

// FinishedJob is a finished job's durable state.
type FinishedJob struct {
	State      string `json:"state"`
	Tasks      int    `json:"n,omitempty"`
	FinishedAt int64  `json:"at,omitempty"` // milliseconds, when that was; 0: not told
}

// TaskPlacement is where an attempt of a task was recorded.
type TaskPlacement struct {
	Machine string
	Attempt uint64
}

// MarshalJSON writes a place as a short pair.
func (p TaskPlacement) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{p.Machine, p.Attempt})
}

// UnmarshalJSON reads a pair.
func (p *TaskPlacement) UnmarshalJSON(b []byte) error {
	pair := []any{&p.Machine, &p.Attempt} // each element is decoded to where it belongs
	if err := json.Unmarshal(b, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return fmt.Errorf("place: %d elements", len(pair))
	}
	return nil
}

// TaskRange holds the placements and completions of a range of tasks.
type TaskRange struct {
	Attempt   uint64                `json:"a"` // highest attempt ever recorded here
	Placed    map[int]TaskPlacement `json:"on,omitempty"`
	Completed [][2]int              `json:"done,omitempty"` // first and last of each span
	// Size is the range's size and Turn how often it was entered in a slot: of
	// ranges that overlap the one with the highest counts. Both are 0 in a plain
	// slot.
	Size       int `json:"n,omitempty"`
	Generation int `json:"g,omitempty"`
}

// Placements holds the placements of several jobs of one part, so that one write
// serves all that changed among them.
//
// Upgrade: a slot without a format is a plain one, as the first version writes
// it. Its ranges are named by their number, and their size follows from the
// state service's present limit of a value. That version reads and keeps nothing
// else, so stated ranges are written only once every controller has given its
// word (Format). Plain slots may be dropped when no deployment has any.
type Placements struct {
	Format int                  `json:"f,omitempty"`
	Ranges map[string]TaskRange `json:"r"`
}

// LargestFitting returns the largest n up to most for which a record of n elements keeps to
// so many bytes, and at least one that no record can be without. Its size must
// grow with n.
func LargestFitting(bytes, least, most int, rec func(n int) any) int {
	if most <= least {
		return most
	}
	return least + sort.Search(most-least, func(n int) bool { return len(Encode(rec(least+n+1))) > bytes })
}

// Encode marshals a record. The types of this package always marshal.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("record: " + err.Error())
	}
	return b
}

// ShardForJob deals teams to parts in the order of their names; without teams, jobs
// go by a hash of their reference.
func ShardForJob(teams []string, team, ref string, parts int) int {
	if len(teams) == 0 {
		return int(Hash(ref) % uint32(parts))
	}
	return sort.SearchStrings(teams, team) % parts
}

// Hash spreads names evenly, the same way on every controller.
func Hash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}
