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
	ClusterPrefix = "ctl/"
	Leader        = "ctl/leader"
	Types         = "ctl/types"
	MemberPrefix  = "ctl/members/"
	PartPrefix    = "ctl/parts/"
	FormatPrefix  = "ctl/formats/"
	ClusterKey    = "ctl/cluster" // tells this cluster from others
	FleetPrefix   = "fleet/"
	RentalPrefix  = "fleet/rent/"
	OwnPrefix     = "fleet/own/"
	BackPrefix    = "fleet/back/"
	OpenPrefix    = "open/"
	JobPrefix     = "jobs/"
	PipePrefix    = "pipes/"
	SlotPrefix    = "runs/"
)

// Prefixes returns the prefixes of all records, none of which begins with another.
func Prefixes() []string {
	return []string{ClusterPrefix, FleetPrefix, JobPrefix, OpenPrefix, PipePrefix, SlotPrefix}
}

// PartKey names a part's record; the version of its last claim is the part's token.
func PartKey(p int) string { return PartPrefix + strconv.Itoa(p) }

// FormatKey names the record by which a controller tells for ever that it writes
// records in a later format than that of the first version.
func FormatKey(label string) string { return FormatPrefix + label }

// RentalKey names a rental; it stands for all its machines.
func RentalKey(name string) string { return RentalPrefix + name }

// OwnKey names the record of a machine that differs from its rental's word; its
// version is the machine's token when larger than the part's.
func OwnKey(id string) string { return OwnPrefix + id }

// BackKey names a batch of machines that a part's owner gives back.
func BackKey(p int, token uint64, seq int) string {
	return fmt.Sprintf("%s%d-%d-%d", BackPrefix, p, token, seq)
}

// OpenKey names an unfinished job's record with its specification.
func OpenKey(ref string) string { return OpenPrefix + ref }

// JobKey names the record of a finished job's state, kept for ever.
func JobKey(ref string) string { return JobPrefix + ref }

// PipeKey names a pipeline's record, kept for ever.
func PipeKey(ref string) string { return PipePrefix + ref }

// SlotsOf is the prefix of a part's placement records.
func SlotsOf(p int) string { return SlotPrefix + strconv.Itoa(p) + "/" }

// SlotKey names one of a part's placement records.
func SlotKey(p, n int) string { return SlotsOf(p) + strconv.Itoa(n) }

// RunName names a range of a job's tasks within a slot by a number: of the range
// in a plain slot, of its first task in a stated one.
func RunName(ref string, n int) string { return ref + ":" + strconv.Itoa(n) }

// SplitRunName undoes RunName.
func SplitRunName(name string) (ref string, n int, ok bool) {
	ref, num, ok := strings.Cut(name, ":")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return ref, n, err == nil && n >= 0
}

// Last returns the last element of a key.
func Last(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Head is who leads, and Member a live controller; both go with their lease.
type Head struct {
	Label       string `json:"label"`
	Incarnation uint64 `json:"inc"`
}

// Member is a live controller.
type Member struct {
	Incarnation uint64 `json:"inc"`
	// Deaf says that it hears neither workers nor other controllers, though it
	// reaches the state service: its parts are better off elsewhere.
	Deaf bool `json:"deaf,omitempty"`
	// Alone says that it hears no other controller.
	Alone bool `json:"alone,omitempty"`
	// Overloaded says that it falls behind for want of a processor, so that its parts
	// are better off elsewhere.
	Overloaded bool `json:"overloaded,omitempty"`
}

// Format is a controller's word on the records that it writes and reads. Once
// every configured controller has given its word, none of the first version owns
// a part again: a process that dies comes back as what it was last.
type Format struct {
	N int `json:"n"`
}

// Stated is the format of records whose ranges of tasks state their own size.
const Stated = 1

// Part says who owns a part of the work.
type Part struct {
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"inc"`
	To          string `json:"to,omitempty"` // the controller invited to claim it
}

// Image is an image on a machine.
type Image struct {
	Name string  `json:"name"`
	GB   float64 `json:"gb"`
}

// Machine is a rented machine. Most need no record of their own: their rental
// says it all until they change parts.
type Machine struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot,omitempty"`
	Part int    `json:"part"`
	Born int64  `json:"born"` // milliseconds, when it was rented
	// Images are those it was seen to have when this was written.
	Images []Image `json:"images,omitempty"`
}

// Rental is a request to the cloud, written before it is made. The machines
// are added once the cloud has answered; the record stands for all of them.
type Rental struct {
	Type  string   `json:"type"`
	Zone  string   `json:"zone"`
	Spot  bool     `json:"spot,omitempty"`
	Parts []int    `json:"parts"` // whom each machine is for
	IDs   []string `json:"ids,omitempty"`
	Born  int64    `json:"born,omitempty"`
	// Addrs are the machines' addresses, in the order of IDs, once they have
	// reported: who takes a part over can ask its machines at once.
	Addrs []string `json:"addrs,omitempty"`
}

// Back is a batch of machines to be given back. Nothing may start on them any
// more; they are proven gone once Done is set, after the cloud's answer.
type Back struct {
	IDs  []string `json:"ids"`
	Done bool     `json:"done,omitempty"`
}

// Open is an unfinished job.
type Open struct {
	Spec      wire.Spec `json:"spec"`
	Part      int       `json:"part"`
	At        int64     `json:"at"` // milliseconds, when it was accepted
	Cancelled bool      `json:"cancelled,omitempty"`
	// Pipe is the pipeline it belongs to, if it was submitted with one, and
	// Held says that it has not been released yet.
	Pipe string `json:"pipe,omitempty"`
	Held bool   `json:"held,omitempty"`
}

// Pipe is a pipeline of several jobs. What was released follows from what has
// ended, by the paper's algorithm.
type Pipe struct {
	Part    int           `json:"part"`
	Jobs    []string      `json:"jobs"`
	Links   []wire.Link   `json:"links,omitempty"`
	Choices []wire.Choice `json:"choices,omitempty"`
	Ended   []PipeEnd     `json:"ended,omitempty"` // in order
	State   string        `json:"state,omitempty"` // once it is over or cancelled
}

// PipeEnd is a job of a pipeline that has ended.
type PipeEnd struct {
	Ref   string `json:"ref"`
	State string `json:"state"`
}

// Net returns the pipeline as a net of its jobs.
func (p *Pipe) Net() (*fragment.Net, error) {
	var links []fragment.Place
	for _, l := range p.Links {
		links = append(links, fragment.Place{In: l.From, Out: l.To})
	}
	return fragment.Linked(p.Jobs, links)
}

// Replay takes into a running pipeline the ends that its record tells, and then
// others that are known from the jobs' own final records, in whatever order: a
// step that was too large to be recorded in one piece left them there alone.
func (p *Pipe) Replay(run *fragment.Pipeline, others []PipeEnd) {
	for _, e := range p.Ended {
		p.Finish(run, e)
	}
	left := slices.Clone(others)
	take := func(want func(PipeEnd) bool) bool {
		i := slices.IndexFunc(left, want)
		if i >= 0 {
			p.Finish(run, left[i])
			left = slices.Delete(left, i, i+1)
		}
		return i >= 0
	}
	for {
		ready, may := run.Ready(), run.Left()
		if !take(func(e PipeEnd) bool { return slices.Contains(ready, e.Ref) }) &&
			!take(func(e PipeEnd) bool { return may[e.Ref] && e.State == wire.Cancelled }) {
			return // what is left has no more use: branches that were not taken
		}
	}
}

// InPieces reports whether steps of a pipeline may be too large to be recorded
// whole: its record grows by each job's end, and such a step takes two changes for
// the job, one for the pipeline, and one for each job that it releases.
func (p *Pipe) InPieces(bytes, ops int) bool {
	whole := *p
	whole.Ended = nil
	widest := 0
	for _, j := range p.Jobs {
		whole.Ended = append(whole.Ended, PipeEnd{Ref: j, State: wire.Cancelled})
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

// Untold returns the jobs whose ends a pipeline's record does not tell.
func (p *Pipe) Untold() []string {
	return slices.DeleteFunc(slices.Clone(p.Jobs), func(ref string) bool {
		return slices.ContainsFunc(p.Ended, func(e PipeEnd) bool { return e.Ref == ref })
	})
}

// Over is the record of a pipeline that has come to its end: with all it told if
// that has room in so many bytes, else without what nobody needs any more.
func (p Pipe) Over(bytes int) Pipe {
	if len(Encode(p)) > bytes {
		p.Links, p.Choices = nil, nil
	}
	if len(Encode(p)) > bytes {
		p.Ended = nil // each job's own record tells it
	}
	return p
}

// Finish takes a job's end into a running pipeline.
func (p *Pipe) Finish(run *fragment.Pipeline, e PipeEnd) {
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

// Job is a finished job's durable state.
type Job struct {
	State string `json:"state"`
	Tasks int    `json:"n,omitempty"`
	At    int64  `json:"at,omitempty"` // milliseconds, when that was; 0: not told
}

// Place is where an attempt of a task was recorded.
type Place struct {
	Machine string
	Attempt uint64
}

// MarshalJSON writes a place as a short pair.
func (p Place) MarshalJSON() ([]byte, error) { return json.Marshal([]any{p.Machine, p.Attempt}) }

// UnmarshalJSON reads a pair.
func (p *Place) UnmarshalJSON(b []byte) error {
	pair := []any{&p.Machine, &p.Attempt} // each element is decoded to where it belongs
	if err := json.Unmarshal(b, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return fmt.Errorf("place: %d elements", len(pair))
	}
	return nil
}

// Run holds the placements and completions of a range of tasks.
type Run struct {
	Attempt uint64        `json:"a"` // highest attempt ever recorded here
	On      map[int]Place `json:"on,omitempty"`
	Done    [][2]int      `json:"done,omitempty"` // first and last of each span
	// Tasks is the range's size and Turn how often it was entered in a slot: of
	// ranges that overlap the one with the highest counts. Both are 0 in a plain
	// slot.
	Tasks int `json:"n,omitempty"`
	Turn  int `json:"g,omitempty"`
}

// Slot holds the placements of several jobs of one part, so that one write
// serves all that changed among them.
//
// Upgrade: a slot without a format is a plain one, as the first version writes
// it. Its ranges are named by their number, and their size follows from the
// state service's present limit of a value. That version reads and keeps nothing
// else, so stated ranges are written only once every controller has given its
// word (Format). Plain slots may be dropped when no deployment has any.
type Slot struct {
	Format int            `json:"f,omitempty"`
	Runs   map[string]Run `json:"r"`
}

// Within returns the largest n up to most for which a record of n elements keeps to
// so many bytes, and at least one that no record can be without. Its size must
// grow with n.
func Within(bytes, least, most int, rec func(n int) any) int {
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

// PartOf deals teams to parts in the order of their names; without teams, jobs
// go by a hash of their reference.
func PartOf(teams []string, team, ref string, parts int) int {
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
