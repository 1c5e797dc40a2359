package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// What a controller can't do with less of.
const (
	// leastCPU is several times what one uses that has no machines and no users.
	leastCPU = 0.005
	// leastMemoryMB leaves the runtime some megabytes besides NonRuntimeMB.
	leastMemoryMB = 24.0
	// ownSockets are those to the state service and the cloud.
	ownSockets = 8
	// leastRPS is each controller's requests a second to the state service: its lease
	// takes one, its three views most of another.
	leastRPS = 2.0
	// leastWriteRPS is each one's changes: below that a job, which takes three, would
	// wait longer for its records than its user for the answer.
	leastWriteRPS = 0.5
	// leastValueKB holds a job's record with names of the usual length.
	leastValueKB = 1.0
	// leastOps is the changes in the transaction that ends a job.
	leastOps = 2
)

// Above these nothing is a time or a name any more.
const (
	mostSeconds = 1e6
	mostLabel   = 100 // bytes; it is part of keys
)

// check refuses settings that a controller can't run with, naming the field.
func (s *Settings) check() error {
	for _, check := range []func() error{
		s.checkNames, s.checkAddresses, s.checkTimes, s.checkServices, s.checkPeers,
		s.Params.checkZones, s.Params.checkTeams, s.Params.checkObjectives,
		func() error { return s.Params.Resources.check(s.Params.Count) },
	} {
		if err := check(); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	for _, t := range []struct{ name, value string }{
		{"label", s.Label}, {"zone", s.Zone}, {"public_addr", s.Listen}, {"cluster_listen", s.PeerListen},
		{"outside.cloud", s.Services.Cloud}, {"outside.state", s.Services.State},
	} {
		if t.value == "" {
			return fmt.Errorf("%s is missing", t.name)
		}
	}
	return checkLabel("label", s.Label)
}

// checkLabel refuses a label that can't be a part of a key.
func checkLabel(name, label string) error {
	if len(label) > mostLabel || strings.ContainsAny(label, "/ \t\r\n") {
		return fmt.Errorf("%s %.40q is too long or holds a space or a slash", name, label)
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	for _, a := range []struct{ name, value string }{
		{"public_addr", s.Listen}, {"cluster_listen", s.PeerListen}, {"outside.cloud", s.Services.Cloud}, {"outside.state", s.Services.State},
	} {
		if err := checkAddress(a.name, a.value); err != nil {
			return err
		}
	}
	if s.Listen == s.PeerListen {
		return fmt.Errorf("cluster_listen is the same as public_addr")
	}
	return nil
}

func checkAddress(name, value string) error {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%s %q has no port between 1 and 65535", name, value)
	}
	return nil
}

// amount is a field with the bounds of its value.
type amount struct {
	name        string
	value       float64
	least, most float64
}

func checkAmounts(amounts ...amount) error {
	for _, a := range amounts {
		if !(a.value >= a.least) || !(a.value <= a.most) {
			return fmt.Errorf("%s is %g, must be from %g to %g", a.name, a.value, a.least, a.most)
		}
	}
	return nil
}

// leastSeconds is the shortest time that is one: there is none of zero.
const leastSeconds = 1e-3

func (s *Settings) checkTimes() error {
	w := s.Params.Workers
	err := checkAmounts(
		amount{"params.workers.report_s", w.ReportS, leastSeconds, mostSeconds},
		amount{"params.workers.lease_s", w.LeaseS, leastSeconds, mostSeconds},
		amount{"params.workers.gang_wait_s", w.GangWaitS, leastSeconds, mostSeconds},
		amount{"params.workers.gang_peer_s", w.GangPeerS, leastSeconds, mostSeconds},
		amount{"params.workers.cancel_s", w.CancelS, leastSeconds, mostSeconds},
		amount{"params.cloud.list_lag_s", s.Params.Cloud.ListLagS, 0, mostSeconds},
		amount{"params.clock_error_ms", s.Params.ClockErrorMS, 0, mostSeconds},
	)
	if err == nil && w.LeaseS <= w.ReportS {
		err = fmt.Errorf("params.workers.lease_s must be above params.workers.report_s")
	}
	return err
}

func (s *Settings) checkServices() error {
	p := &s.Params
	n := float64(max(1, p.Count))
	amounts := []amount{
		{"params.state.rps", p.State.RPS, n * leastRPS, math.MaxFloat64},
		{"params.state.write_rps", p.State.WriteRPS, n * leastWriteRPS, math.MaxFloat64},
		{"params.state.value_kb", p.State.ValueKB, leastValueKB, math.MaxInt32},
		{"params.state.txn_ops", float64(p.State.TxnOps), leastOps, math.MaxInt32},
		{"params.cloud.rps", p.Cloud.RPS, math.SmallestNonzeroFloat64, math.MaxFloat64},
	}
	next := p.State.Next
	for _, f := range []struct {
		name        string
		value       *float64
		least, most float64
	}{
		{"rps", next.RPS, n * leastRPS, math.MaxFloat64}, {"write_rps", next.WriteRPS, n * leastWriteRPS, math.MaxFloat64},
		{"value_kb", next.ValueKB, leastValueKB, math.MaxInt32},
	} {
		if f.value != nil {
			amounts = append(amounts, amount{"params.state.next." + f.name, *f.value, f.least, f.most})
		}
	}
	if next.TxnOps != nil {
		amounts = append(amounts, amount{"params.state.next.txn_ops", float64(*next.TxnOps), leastOps, math.MaxInt32})
	}
	return checkAmounts(amounts...)
}

func (s *Settings) checkPeers() error {
	if s.Params.Count != len(s.Peers)+1 {
		return fmt.Errorf("params.count is %d, but seeds names %d other controllers", s.Params.Count, len(s.Peers))
	}
	labels, addresses := map[string]bool{s.Label: true}, map[string]bool{s.PeerListen: true}
	for _, q := range s.Peers {
		if q.Label == "" || q.Zone == "" || q.Addr == "" {
			return fmt.Errorf("seeds: an entry lacks label, zone or peer_addr")
		}
		if err := checkLabel("seeds: label", q.Label); err != nil {
			return err
		}
		if err := checkAddress("seeds: peer_addr", q.Addr); err != nil {
			return err
		}
		if labels[q.Label] || addresses[q.Addr] {
			return fmt.Errorf("seeds: label %q or peer_addr %q is used twice", q.Label, q.Addr)
		}
		labels[q.Label], addresses[q.Addr] = true, true
	}
	return nil
}

func (p *Params) checkZones() error {
	zones := map[string]bool{}
	for _, z := range p.Zones {
		if z == "" || zones[z] {
			return fmt.Errorf("params.zones: %q is empty or named twice", z)
		}
		zones[z] = true
	}
	if len(zones) == 0 {
		return fmt.Errorf("params.zones is missing")
	}
	return nil
}

func (p *Params) checkTeams() error {
	teams := map[string]bool{}
	for _, t := range p.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("params.teams: name %q is missing or used twice", t.Name)
		}
		teams[t.Name] = true
		if err := checkAmounts(
			amount{"params.teams: cpus of " + t.Name, t.CPUs, 0, math.MaxFloat64}, amount{"params.teams: cpus_max of " + t.Name, t.CPUsMax, 0, math.MaxFloat64},
			amount{"params.teams: gpus of " + t.Name, t.GPUs, 0, math.MaxFloat64}, amount{"params.teams: gpus_max of " + t.Name, t.GPUsMax, 0, math.MaxFloat64},
		); err != nil {
			return err
		}
		if (t.CPUsMax > 0 && t.CPUs > t.CPUsMax) || (t.GPUsMax > 0 && t.GPUs > t.GPUsMax) {
			return fmt.Errorf("params.teams: %s is guaranteed more than its limit", t.Name)
		}
	}
	return nil
}

func (p *Params) checkObjectives() error {
	for _, o := range p.Objectives {
		if err := checkAmounts(
			amount{"params.objectives: within_s of " + o.Kind, o.WithinS, 0, mostSeconds}, amount{"params.objectives: share of " + o.Kind, o.Share, 0, 1},
		); err != nil {
			return err
		}
	}
	return nil
}

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
			return fmt.Errorf("params.resources.%s is %g, a controller needs %g at least", f.name, f.v, f.least)
		}
	}
	return nil
}
