// Package record holds the layout of what controllers keep in the state
// service. A record's version doubles as a fencing token where noted.
package record

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"
	"strconv"
	"strings"

	"bramblespur/internal/wire"
)

// Keys and prefixes. Cluster records share a prefix so that one watch serves.
const (
	ClusterPrefix = "ctl/"
	Leader        = "ctl/leader"
	Types         = "ctl/types"
	MemberPrefix  = "ctl/members/"
	PartPrefix    = "ctl/parts/"
	MachinePrefix = "machines/"
	RentalPrefix  = "rentals/"
	OpenPrefix    = "open/"
	JobPrefix     = "jobs/"
	RunPrefix     = "runs/"
)

// PartKey names a part's record; the version of its last claim is the part's token.
func PartKey(p int) string { return PartPrefix + strconv.Itoa(p) }

// MachineKey names a machine's record; its version is the machine's token when
// larger than the part's.
func MachineKey(id string) string { return MachinePrefix + id }

// OpenKey names an unfinished job's record with its specification.
func OpenKey(p int, ref string) string { return OpenPrefix + strconv.Itoa(p) + "/" + ref }

// JobKey names a job's record with its state, kept for ever.
func JobKey(ref string) string { return JobPrefix + ref }

// RunsOf is the prefix of a job's placement records.
func RunsOf(p int, ref string) string { return RunPrefix + strconv.Itoa(p) + "/" + ref + "/" }

// RunKey names the placements of one range of a job's tasks.
func RunKey(p int, ref string, chunk int) string { return RunsOf(p, ref) + strconv.Itoa(chunk) }

// SplitRunKey undoes RunKey.
func SplitRunKey(key string) (ref string, chunk int, ok bool) {
	f := strings.Split(key, "/")
	if len(f) != 4 {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(f[3])
	return f[2], chunk, err == nil
}

// Last returns the last element of a key.
func Last(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Head is who leads, and Member a live controller; both go with their lease.
type Head struct {
	Label string `json:"label"`
	Inc   uint64 `json:"inc"`
}

// Member is a live controller.
type Member struct {
	Inc uint64 `json:"inc"`
	// Deaf says that it hears neither workers nor other controllers, though it
	// reaches the state service: its parts are better off elsewhere.
	Deaf bool `json:"deaf,omitempty"`
}

// Part says who owns a part of the work.
type Part struct {
	Owner string `json:"owner"`
	Inc   uint64 `json:"inc"`
	To    string `json:"to,omitempty"` // the controller invited to claim it
}

// Phases of a machine.
const (
	InUse     = ""
	Returning = "returning" // being given back; nothing may start there again
)

// Image is an image on a machine.
type Image struct {
	Name string  `json:"name"`
	GB   float64 `json:"gb"`
}

// Machine is a rented machine.
type Machine struct {
	Type  string `json:"type"`
	Zone  string `json:"zone"`
	Spot  bool   `json:"spot,omitempty"`
	Part  int    `json:"part"`
	Phase string `json:"phase,omitempty"`
	Born  int64  `json:"born"` // milliseconds, when it was rented
	// Images are those it was seen to have when this was written.
	Images []Image `json:"images,omitempty"`
}

// Rental is a request to the cloud, written before it is made.
type Rental struct {
	Type  string `json:"type"`
	Zone  string `json:"zone"`
	Spot  bool   `json:"spot,omitempty"`
	Parts []int  `json:"parts"` // whom each machine is for
}

// Open is an unfinished job.
type Open struct {
	Spec      wire.Spec `json:"spec"`
	At        int64     `json:"at"` // milliseconds, when it was accepted
	Cancelled bool      `json:"cancelled,omitempty"`
}

// Job is a job's durable state.
type Job struct {
	Part  int    `json:"part"`
	State string `json:"state"`
	Tasks int    `json:"n,omitempty"`
}

// Final reports whether the state can't change any more.
func (j Job) Final() bool { return j.State == wire.Done || j.State == wire.Cancelled }

// Place is where an attempt of a task was recorded.
type Place struct {
	Machine string
	Attempt uint64
}

// MarshalJSON writes a place as a short pair.
func (p Place) MarshalJSON() ([]byte, error) { return json.Marshal([]any{p.Machine, p.Attempt}) }

// UnmarshalJSON reads a pair.
func (p *Place) UnmarshalJSON(b []byte) error {
	var pair []json.RawMessage
	if err := json.Unmarshal(b, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return fmt.Errorf("place: %d elements", len(pair))
	}
	if err := json.Unmarshal(pair[0], &p.Machine); err != nil {
		return err
	}
	return json.Unmarshal(pair[1], &p.Attempt)
}

// Run holds the placements and completions of a range of tasks.
type Run struct {
	Attempt uint64        `json:"a"` // highest attempt ever recorded here
	On      map[int]Place `json:"on,omitempty"`
	Done    [][2]int      `json:"done,omitempty"` // first and last of each span
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
		h := fnv.New32a()
		h.Write([]byte(ref))
		return int(h.Sum32() % uint32(parts))
	}
	return sort.SearchStrings(teams, team) % parts
}
