// Package config reads and checks the settings file that the platform hands
// over at start.
package config

import (
	"fmt"
	"math"
	"os"
	"sort"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the platform's file. Unknown fields are ignored.
type Settings struct {
	Label      string  `toml:"label"`
	Zone       string  `toml:"zone"`
	Listen     string  `toml:"public_addr"`
	PeerListen string  `toml:"cluster_listen"`
	Peers      []Peer  `toml:"seeds"`
	Outside    Outside `toml:"outside"`
	Params     Params  `toml:"params"`
	// PolicyFile optionally names the operators' own policy file.
	PolicyFile string `toml:"policy_file"`
}

// Peer is another controller.
type Peer struct {
	Label string `toml:"label"`
	Zone  string `toml:"zone"`
	Addr  string `toml:"peer_addr"`
}

// Outside names the services that controllers depend on.
type Outside struct {
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

// Tight returns the tighter of the limits now and those to come: what keeps to
// it is taken whichever are in force.
func (s State) Tight() State {
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

// Bytes is the largest value that it takes.
func (s State) Bytes() int { return int(s.ValueKB * 1024) }

// leastOps is the changes in the transaction that ends a job.
const leastOps = 2

func (s NextState) check() error {
	for _, f := range []struct {
		name string
		v    *float64
	}{{"rps", s.RPS}, {"write_rps", s.WriteRPS}, {"value_kb", s.ValueKB}} {
		if f.v != nil && !(*f.v > 0 && !math.IsInf(*f.v, 0)) {
			return fmt.Errorf("settings: params.state.next.%s must be above 0", f.name)
		}
	}
	if s.TxnOps != nil && *s.TxnOps < leastOps {
		return fmt.Errorf("settings: params.state.next.txn_ops must be %d at least", leastOps)
	}
	return nil
}

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

// What a controller can't do with less of.
const (
	// leastCPU is several times what one uses that has no machines and no users.
	leastCPU = 0.005
	// leastMemoryMB leaves the runtime some megabytes besides UncountedMB.
	leastMemoryMB = 24.0
	// ownSockets are those to the state service and the cloud.
	ownSockets = 8
)

// UncountedMB is what the process holds that its runtime does not count: the
// program's and the C library's pages, 11 MB, and the threads' stacks.
const UncountedMB = 14.0

// leastSockets is how many a controller among so many needs: a quarter is left for
// what is neither a worker's nor a user's, two connections to each of the others
// and its own to the state service and the cloud.
func leastSockets(controllers int) int { return 4 * (2*(controllers-1) + ownSockets) }

func (r Resources) check(controllers int) error {
	for _, f := range []struct {
		name     string
		v, least float64
	}{
		{"cpu_share", r.CPUShare, leastCPU}, {"memory_mb", r.MemoryMB, leastMemoryMB},
		{"max_sockets", float64(r.MaxSockets), float64(leastSockets(controllers))},
	} {
		if !(f.v >= f.least) || math.IsInf(f.v, 0) {
			return fmt.Errorf("settings: params.resources.%s is %g, a controller needs %g at least", f.name, f.v, f.least)
		}
	}
	return nil
}

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

func (s *Settings) check() error {
	texts := []struct{ name, v string }{
		{"label", s.Label}, {"zone", s.Zone}, {"public_addr", s.Listen}, {"cluster_listen", s.PeerListen},
		{"outside.cloud", s.Outside.Cloud}, {"outside.state", s.Outside.State},
	}
	for _, t := range texts {
		if t.v == "" {
			return fmt.Errorf("settings: %s is missing", t.name)
		}
	}
	p := &s.Params
	amounts := []struct {
		name string
		v    float64
	}{
		{"params.workers.report_s", p.Workers.ReportS}, {"params.workers.lease_s", p.Workers.LeaseS},
		{"params.workers.gang_wait_s", p.Workers.GangWaitS}, {"params.workers.gang_peer_s", p.Workers.GangPeerS},
		{"params.workers.cancel_s", p.Workers.CancelS}, {"params.state.rps", p.State.RPS},
		{"params.state.write_rps", p.State.WriteRPS}, {"params.state.value_kb", p.State.ValueKB},
		{"params.state.txn_ops", float64(p.State.TxnOps)}, {"params.cloud.rps", p.Cloud.RPS},
	}
	for _, a := range amounts {
		if !(a.v > 0) || math.IsInf(a.v, 0) {
			return fmt.Errorf("settings: %s must be above 0", a.name)
		}
	}
	if p.State.TxnOps < leastOps {
		return fmt.Errorf("settings: params.state.txn_ops must be %d at least", leastOps)
	}
	if err := p.State.Next.check(); err != nil {
		return err
	}
	if p.Workers.LeaseS <= p.Workers.ReportS {
		return fmt.Errorf("settings: params.workers.lease_s must be above params.workers.report_s")
	}
	if p.Count != len(s.Peers)+1 {
		return fmt.Errorf("settings: params.count is %d, but seeds names %d other controllers", p.Count, len(s.Peers))
	}
	if err := p.Resources.check(p.Count); err != nil {
		return err
	}
	seen := map[string]bool{s.Label: true}
	for _, q := range s.Peers {
		if q.Label == "" || q.Addr == "" {
			return fmt.Errorf("settings: seeds: an entry lacks label or peer_addr")
		}
		if seen[q.Label] {
			return fmt.Errorf("settings: seeds: label %q is used twice", q.Label)
		}
		seen[q.Label] = true
	}
	teams := map[string]bool{}
	for _, t := range p.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("settings: params.teams: name %q is missing or used twice", t.Name)
		}
		teams[t.Name] = true
		if !(t.CPUs >= 0 && t.GPUs >= 0 && t.CPUsMax >= 0 && t.GPUsMax >= 0) {
			return fmt.Errorf("settings: params.teams: cpus, gpus, cpus_max and gpus_max of %s must not be below 0", t.Name)
		}
		if (t.CPUsMax > 0 && t.CPUs > t.CPUsMax) || (t.GPUsMax > 0 && t.GPUs > t.GPUsMax) {
			return fmt.Errorf("settings: params.teams: %s is guaranteed more than its limit", t.Name)
		}
	}
	return nil
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
