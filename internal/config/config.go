// Package config reads and checks the settings file that the platform passes to a controller at start.
// Settings that it returns are complete and valid: a controller can run with them.
package config

import (
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings holds the contents of the settings file. Unknown fields of the file are ignored.
type Settings struct {
	Label      string           `toml:"label"`
	Zone       string           `toml:"zone"`
	Listen     string           `toml:"public_addr"`
	PeerListen string           `toml:"cluster_listen"`
	Peers      []Peer           `toml:"seeds"`
	Services   ExternalServices `toml:"outside"`
	Params     Params           `toml:"params"`
	// PolicyFile is the path of the operators' policy file, empty for the built-in policy.
	PolicyFile string `toml:"policy_file"`
}

// Peer is another controller.
type Peer struct {
	Label string `toml:"label"`
	Zone  string `toml:"zone"`
	Addr  string `toml:"peer_addr"`
}

// ExternalServices holds the addresses of the services that controllers depend on.
type ExternalServices struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params describes the deployment. Count is the number of controllers, which is also that of shards.
type Params struct {
	Count        int         `toml:"count"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team holds the quota of a team: CPUs and GPUs are its guarantee, CPUsMax and GPUsMax its limit. 0 means
// none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective for the start or the end of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the timing of the workers' protocol, in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	GangWaitS  float64 `toml:"gang_wait_s"`
	GangPeerS  float64 `toml:"gang_peer_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// State holds the limits of the state service: requests and writes per second, the size of a value and
// the number of writes in a transaction.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the state service will have from some moment on, without
	// notice. A limit that is not given stays as it is.
	Next NextState `toml:"next"`
}

// NextState holds the future limits of the state service, nil where a limit does not change.
type NextState struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// LowestLimits returns the lower of the present and the next value of each limit. The state service
// accepts a write within them whichever limits are in force.
func (s State) LowestLimits() State {
	t := State{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	lower(&t.RPS, s.Next.RPS)
	lower(&t.WriteRPS, s.Next.WriteRPS)
	lower(&t.ValueKB, s.Next.ValueKB)
	lower(&t.TxnOps, s.Next.TxnOps)
	return t
}

// lower sets *to to *next if that is given and lower.
func lower[N int | float64](to *N, next *N) {
	if next != nil {
		*to = min(*to, *next)
	}
}

// MaxValueBytes returns the size of the largest value that the state service accepts.
func (s State) MaxValueBytes() int { return int(s.ValueKB * 1024) }

// Cloud holds the cloud's limit of calls per second, and by how many seconds its list of machines lags.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources holds the limits on what this process may use. CPUShare counts processor cores.
type Resources struct {
	CPUShare   float64 `toml:"cpu_share"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// NonRuntimeMB is the memory of the process that the Go runtime does not count: the pages of the
// program and the C library, 11 MB, and the stacks of the threads.
const NonRuntimeMB = 14.0

// heapShare is the fraction of the Go runtime's memory that HeapBytes allows: a burst of requests
// exceeds it before a collection ends.
const heapShare = 0.85

// HeapBytes returns the limit of the Go runtime's memory, in bytes. The process's other memory is
// subtracted first, as it is the same on small machines as on large ones.
func (r Resources) HeapBytes() int64 {
	return int64((r.MemoryMB - NonRuntimeMB) * heapShare * (1 << 20))
}

// Seconds converts seconds to a duration. It does not check for overflow: use it for checked settings.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(string(data))
}

// Parse decodes and checks the text of a settings file. The error names the field that is wrong.
func Parse(text string) (*Settings, error) {
	var s Settings
	if _, err := toml.Decode(text, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Labels returns the labels of all controllers in ascending order.
func (s *Settings) Labels() []string {
	out := []string{s.Label}
	for _, p := range s.Peers {
		out = append(out, p.Label)
	}
	sort.Strings(out)
	return out
}
