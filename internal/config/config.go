// Package config reads and checks the settings file that the platform hands
// over at start.
package config

import (
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the platform's file. Unknown fields are ignored.
type Settings struct {
	Label      string           `toml:"label"`
	Zone       string           `toml:"zone"`
	Listen     string           `toml:"public_addr"`
	PeerListen string           `toml:"cluster_listen"`
	Peers      []Peer           `toml:"seeds"`
	Services   ExternalServices `toml:"outside"`
	Params     Params           `toml:"params"`
	// PolicyFile optionally names the operators' own policy file.
	PolicyFile string `toml:"policy_file"`
}

// Peer is another controller.
type Peer struct {
	Label string `toml:"label"`
	Zone  string `toml:"zone"`
	Addr  string `toml:"peer_addr"`
}

// ExternalServices names the services that controllers depend on.
type ExternalServices struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params describes the deployment.
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

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one aim at start or at finish.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the workers' timing.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are the limits that it will have from some moment on, without
	// notice; what is not given stays as it is.
	Next NextState `toml:"next"`
}

// NextState holds the state service's limits to come.
type NextState struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// LowestLimits returns the tighter of the limits now and those to come: what keeps to
// it is taken whichever are in force.
func (s State) LowestLimits() State {
	t := State{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	lower(&t.RPS, s.Next.RPS)
	lower(&t.WriteRPS, s.Next.WriteRPS)
	lower(&t.ValueKB, s.Next.ValueKB)
	lower(&t.TxnOps, s.Next.TxnOps)
	return t
}

func lower[N int | float64](to *N, next *N) {
	if next != nil {
		*to = min(*to, *next)
	}
}

// MaxValueBytes is the largest value that it takes.
func (s State) MaxValueBytes() int { return int(s.ValueKB * 1024) }

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources holds what this process may use.
type Resources struct {
	CPUShare   float64 `toml:"cpu_share"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// NonRuntimeMB is what the process holds that its runtime does not count: the
// program's and the C library's pages, 11 MB, and the threads' stacks.
const NonRuntimeMB = 14.0

// Seconds converts an amount of seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(string(data))
}

// Parse decodes and checks settings.
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

// Labels returns every controller's label in order.
func (s *Settings) Labels() []string {
	out := []string{s.Label}
	for _, p := range s.Peers {
		out = append(out, p.Label)
	}
	sort.Strings(out)
	return out
}
