package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// Minimums below which a controller cannot work.
const (
	// minCPUShare is several times the share that a controller without machines and users needs.
	minCPUShare = 0.005
	// minMemoryMB leaves the Go runtime some megabytes in addition to NonRuntimeMB.
	minMemoryMB = 24.0
	// outboundSockets is the number of sockets to the state service and the cloud.
	outboundSockets = 8
	// minRPS is the requests per second to the state service that each controller needs: one
	// for its lease, and most of another for its three views.
	minRPS = 2.0
	// minWriteRPS is the writes per second that each controller needs. A job takes three writes;
	// with a lower rate they would take longer than its user waits for the response.
	minWriteRPS = 0.5
	// minValueKB is enough for a job record with names of the usual length.
	minValueKB = 1.0
	// minTxnOps is the number of writes in the transaction that ends a job.
	minTxnOps = 2
)

// Maximums of durations and labels. Larger values are mistakes.
const (
	maxSeconds    = 1e6 // bounds params.clock_error_ms, too, as a number of milliseconds
	maxLabelBytes = 100 // a label is part of keys
)

// check returns an error that names the field if a controller cannot run with the settings.
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

// checkLabel returns an error if a label cannot be part of a key. name is the field's name.
func checkLabel(name, label string) error {
	if len(label) > maxLabelBytes || strings.ContainsAny(label, "/ \t\r\n") {
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
		return fmt.Errorf("cluster_listen and public_addr are the same address, want two")
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

// amount is a numeric field with the range of its valid values.
type amount struct {
	name     string
	value    float64
	min, max float64
}

func checkAmounts(amounts ...amount) error {
	for _, a := range amounts {
		if !(a.value >= a.min) || !(a.value <= a.max) {
			return fmt.Errorf("%s is %g, want %g to %g", a.name, a.value, a.min, a.max)
		}
	}
	return nil
}

// minSeconds is the shortest valid duration where 0 is not allowed.
const minSeconds = 1e-3

func (s *Settings) checkTimes() error {
	w := s.Params.Workers
	err := checkAmounts(
		amount{"params.workers.report_s", w.HeartbeatS, minSeconds, maxSeconds},
		amount{"params.workers.lease_s", w.LeaseS, minSeconds, maxSeconds},
		amount{"params.workers.gang_wait_s", w.GangWaitS, minSeconds, maxSeconds},
		amount{"params.workers.gang_peer_s", w.GangPeerS, minSeconds, maxSeconds},
		amount{"params.workers.cancel_s", w.CancelS, minSeconds, maxSeconds},
		amount{"params.cloud.list_lag_s", s.Params.Cloud.ListLagS, 0, maxSeconds},
		amount{"params.clock_error_ms", s.Params.ClockErrorMS, 0, maxSeconds},
	)
	if err == nil && w.LeaseS <= w.HeartbeatS {
		err = fmt.Errorf("params.workers.lease_s is too short, want more than params.workers.report_s")
	}
	return err
}

func (s *Settings) checkServices() error {
	p := &s.Params
	n := float64(max(1, p.Count))
	amounts := []amount{
		{"params.state.rps", p.State.RPS, n * minRPS, math.MaxFloat64},
		{"params.state.write_rps", p.State.WriteRPS, n * minWriteRPS, math.MaxFloat64},
		{"params.state.value_kb", p.State.ValueKB, minValueKB, math.MaxInt32},
		{"params.state.txn_ops", float64(p.State.TxnOps), minTxnOps, math.MaxInt32},
		{"params.cloud.rps", p.Cloud.RPS, math.SmallestNonzeroFloat64, math.MaxFloat64},
	}
	next := p.State.Next
	for _, f := range []struct {
		name     string
		value    *float64
		min, max float64
	}{
		{"rps", next.RPS, n * minRPS, math.MaxFloat64}, {"write_rps", next.WriteRPS, n * minWriteRPS, math.MaxFloat64},
		{"value_kb", next.ValueKB, minValueKB, math.MaxInt32},
	} {
		if f.value != nil {
			amounts = append(amounts, amount{"params.state.next." + f.name, *f.value, f.min, f.max})
		}
	}
	if next.TxnOps != nil {
		amounts = append(amounts, amount{"params.state.next.txn_ops", float64(*next.TxnOps), minTxnOps, math.MaxInt32})
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
			return fmt.Errorf("seeds: label, zone or peer_addr is missing in an entry")
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
			return fmt.Errorf("params.zones: %q is empty or used twice", z)
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
			return fmt.Errorf("params.teams: the guarantee of %s is above its limit", t.Name)
		}
	}
	return nil
}

func (p *Params) checkObjectives() error {
	for _, o := range p.Objectives {
		if err := checkAmounts(
			amount{"params.objectives: within_s of " + o.Kind, o.WithinS, 0, maxSeconds}, amount{"params.objectives: share of " + o.Kind, o.Share, 0, 1},
		); err != nil {
			return err
		}
	}
	return nil
}

// minSockets returns the least number of sockets for each of so many controllers. A quarter of the
// sockets is left for connections that are not those of workers or users: two to each of the other
// controllers, and those to the state service and the cloud.
func minSockets(controllers int) int { return 4 * (2*(controllers-1) + outboundSockets) }

func (r Resources) check(controllers int) error {
	for _, f := range []struct {
		name       string
		value, min float64
	}{
		{"cpu_share", r.CPUShare, minCPUShare}, {"memory_mb", r.MemoryMB, minMemoryMB},
		{"max_sockets", float64(r.MaxSockets), float64(minSockets(controllers))},
	} {
		if !(f.value >= f.min) || math.IsInf(f.value, 0) {
			return fmt.Errorf("params.resources.%s is %g, want %g at least", f.name, f.value, f.min)
		}
	}
	return nil
}
