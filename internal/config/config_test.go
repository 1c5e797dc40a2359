package config

import (
	"strings"
	"testing"
)

const validSettings = `
label = "c-0"
zone = "z"
public_addr = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
unknown = 1
[[seeds]]
label = "c-1"
zone = "z"
peer_addr = "127.0.0.1:3"
[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[params]
count = 2
zones = ["z"]
[[params.teams]]
name = "a"
gpus = 2.0
gpus_max = 4.0
[params.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 10.0
gang_peer_s = 4.0
cancel_s = 30.0
[params.state]
rps = 10.0
write_rps = 10.0
value_kb = 16.0
txn_ops = 16
[params.cloud]
rps = 1.0
[params.resources]
cpu_share = 0.1
memory_mb = 100.0
max_sockets = 100
`

func TestParse(t *testing.T) {
	s, err := Parse(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Labels(); len(got) != 2 || got[0] != "c-0" {
		t.Fatalf("labels %v", got)
	}
}

// An error names the field that is wrong.
func TestParseNamesTheField(t *testing.T) {
	for _, c := range []struct{ old, new, field string }{
		{`label = "c-0"`, ``, "label"},
		{`state = "127.0.0.1:5"`, ``, "outside.state"},
		{`lease_s = 10.0`, `lease_s = 0.5`, "lease_s"},
		{`count = 2`, `count = 3`, "params.count"},
		{`txn_ops = 16`, ``, "txn_ops"},
		{`gpus_max = 4.0`, `gpus_max = 1.0`, "params.teams"},
		{`label = "c-1"`, `label = "c-0"`, "seeds"},
		{`rps = 1.0`, `rps = "x"`, "rps"},
		{`txn_ops = 16`, `txn_ops = 1`, "params.state.txn_ops"},
		{`gpus = 2.0`, `gpus = -1.0`, "params.teams"},
		{`cpu_share = 0.1`, ``, "params.resources.cpu_share"},
		{`cpu_share = 0.1`, `cpu_share = 0.0`, "params.resources.cpu_share"},
		{`cpu_share = 0.1`, `cpu_share = -0.1`, "params.resources.cpu_share"},
		{`cpu_share = 0.1`, `cpu_share = inf`, "params.resources.cpu_share"},
		{`cpu_share = 0.1`, `cpu_share = 0.001`, "params.resources.cpu_share"},
		{`memory_mb = 100.0`, `memory_mb = 0.0`, "params.resources.memory_mb"},
		{`memory_mb = 100.0`, `memory_mb = -100.0`, "params.resources.memory_mb"},
		{`memory_mb = 100.0`, `memory_mb = nan`, "params.resources.memory_mb"},
		{`memory_mb = 100.0`, `memory_mb = 15.0`, "params.resources.memory_mb"},
		{`max_sockets = 100`, `max_sockets = 0`, "params.resources.max_sockets"},
		{`max_sockets = 100`, `max_sockets = -5`, "params.resources.max_sockets"},
		{`max_sockets = 100`, `max_sockets = 39`, "params.resources.max_sockets"},
	} {
		_, err := Parse(strings.Replace(validSettings, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("without %q: err %v, want one naming %s", c.old, err, c.field)
		}
	}
}

// Each of the next limits is optional, and a malformed one is refused.
func TestNextLimits(t *testing.T) {
	with := func(next string) string {
		return strings.Replace(validSettings, "[params.cloud]", "[params.state.next]\n"+next+"\n[params.cloud]", 1)
	}
	s, err := Parse(with("value_kb = 2.0\ntxn_ops = 20\nother = 1"))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Params.State.LowestLimits(); got.ValueKB != 2 || got.TxnOps != 16 || got.RPS != 10 || got.MaxValueBytes() != 2048 {
		t.Errorf("lowest limits %+v", got)
	}
	if s, err = Parse(validSettings); err != nil || s.Params.State.LowestLimits() != s.Params.State {
		t.Errorf("without next limits: %+v, %v", s, err)
	}
	for _, c := range []struct{ next, field string }{
		{"rps = 0.0", "params.state.next.rps"},
		{"write_rps = -1.0", "params.state.next.write_rps"},
		{"value_kb = nan", "params.state.next.value_kb"},
		{"value_kb = inf", "params.state.next.value_kb"},
		{"txn_ops = 1", "params.state.next.txn_ops"},
		{"txn_ops = \"x\"", "next"},
	} {
		_, err := Parse(with(c.next))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("with %s: err %v, want one line naming %s", c.next, err, c.field)
		}
	}
}
