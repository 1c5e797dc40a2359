package config

import (
	"strings"
	"testing"
)

// Values that are too small to run with, zero, negative, infinite, contradictory or of the wrong type
// are refused with an error of one line that names the field.
func TestUnusableSettingsAreRefused(t *testing.T) {
	for _, c := range []struct{ old, new, field string }{
		{`label = "c-0"`, `label = "c/0"`, "label"},
		{`label = "c-0"`, `label = "c 0"`, "label"},
		{`label = "c-0"`, `label = "` + strings.Repeat("c", 200) + `"`, "label"},
		{`label = "c-0"`, `label = 7`, "label"},
		{`public_addr = "127.0.0.1:1"`, `public_addr = "127.0.0.1"`, "public_addr"},
		{`public_addr = "127.0.0.1:1"`, `public_addr = "127.0.0.1:0"`, "public_addr"},
		{`public_addr = "127.0.0.1:1"`, `public_addr = "127.0.0.1:-1"`, "public_addr"},
		{`public_addr = "127.0.0.1:1"`, `public_addr = "127.0.0.1:70000"`, "public_addr"},
		{`cluster_listen = "127.0.0.1:2"`, `cluster_listen = "127.0.0.1:1"`, "cluster_listen"},
		{`cloud = "127.0.0.1:4"`, `cloud = "nowhere"`, "outside.cloud"},
		{`state = "127.0.0.1:5"`, `state = "127.0.0.1:x"`, "outside.state"},
		{`peer_addr = "127.0.0.1:3"`, `peer_addr = "127.0.0.1:2"`, "peer_addr"},
		{`peer_addr = "127.0.0.1:3"`, `peer_addr = "x"`, "peer_addr"},
		{"zone = \"z\"\npeer_addr", "peer_addr", "seeds"},
		{`count = 2`, `count = 0`, "params.count"},
		{`count = 2`, `count = -2`, "params.count"},
		{`zones = ["z"]`, ``, "params.zones"},
		{`zones = ["z"]`, `zones = ["z", "z"]`, "params.zones"},
		{`zones = ["z"]`, `zones = [""]`, "params.zones"},
		{`zones = ["z"]`, "zones = [\"z\"]\nclock_error_ms = -1.0", "params.clock_error_ms"},
		{`report_s = 1.0`, `report_s = 0.0`, "params.workers.report_s"},
		{`report_s = 1.0`, `report_s = -1.0`, "params.workers.report_s"},
		{`lease_s = 10.0`, `lease_s = inf`, "params.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = 1e300`, "params.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = nan`, "params.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = 1.0`, "params.workers.lease_s"},
		{`gang_wait_s = 10.0`, `gang_wait_s = 0.0`, "params.workers.gang_wait_s"},
		{`gang_peer_s = 4.0`, `gang_peer_s = -4.0`, "params.workers.gang_peer_s"},
		{`cancel_s = 30.0`, `cancel_s = 0.0`, "params.workers.cancel_s"},
		{"[params.state]\nrps = 10.0", "[params.state]\nrps = 3.0", "params.state.rps"},
		{"[params.state]\nrps = 10.0", "[params.state]\nrps = -3.0", "params.state.rps"},
		{`write_rps = 10.0`, `write_rps = 0.9`, "params.state.write_rps"},
		{`value_kb = 16.0`, `value_kb = 0.001`, "params.state.value_kb"},
		{`value_kb = 16.0`, `value_kb = inf`, "params.state.value_kb"},
		{`txn_ops = 16`, `txn_ops = -16`, "params.state.txn_ops"},
		{`txn_ops = 16`, "txn_ops = 16\nnext = { value_kb = 0.5 }", "params.state.next.value_kb"},
		{`txn_ops = 16`, "txn_ops = 16\nnext = { rps = 1.0 }", "params.state.next.rps"},
		{"[params.cloud]\nrps = 1.0", "[params.cloud]\nrps = 0.0", "params.cloud.rps"},
		{"[params.cloud]\nrps = 1.0", "[params.cloud]\nrps = 1.0\nlist_lag_s = -1.0", "params.cloud.list_lag_s"},
		{`gpus = 2.0`, `gpus = inf`, "params.teams"},
		{`gpus = 2.0`, `cpus_max = nan`, "params.teams"},
		{`[params.workers]`, "[[params.objectives]]\nkind = \"wait\"\nwithin_s = -1.0\n[params.workers]", "params.objectives"},
		{`[params.workers]`, "[[params.objectives]]\nkind = \"wait\"\nshare = 1.5\n[params.workers]", "params.objectives"},
	} {
		if !strings.Contains(validSettings, c.old) {
			t.Errorf("%q is not in the valid settings", c.old)
		}
		_, err := Parse(strings.Replace(validSettings, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("with %q: err %v, want one line naming %s", c.new, err, c.field)
		}
	}
}

// Parse returns either settings or an error for any text, and does not panic.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("")
	f.Add("params = 1")
	f.Add("[[seeds]]\n[[seeds]]")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := Parse(text); (s == nil) == (err == nil) {
			t.Errorf("settings %v, err %v", s, err)
		}
	})
}
