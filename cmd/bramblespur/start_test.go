package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// asProgram is the environment variable that makes the test binary run the program instead of its tests,
// so that tests can check exit codes.
const asProgram = "BRAMBLESPUR_TEST_RUNS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const validSettings = `
label = "c-0"
zone = "z"
public_addr = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[params]
count = 1
zones = ["z"]
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

// runProgram runs the program and returns its exit code and its output.
func runProgram(t *testing.T, args ...string) (code int, output string) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	out, err := cmd.CombinedOutput()
	var exitError *exec.ExitError
	if err != nil && !errors.As(err, &exitError) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// With settings that a controller cannot run with, both the start and the check command end with exit
// code 2 and an error of one line that names the field.
func TestUnusableSettingsStopTheStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	for _, x := range []struct{ old, new, field string }{
		{"memory_mb = 100.0", "memory_mb = 10.0", "params.resources.memory_mb"},
		{"cpu_share = 0.1", "cpu_share = 0.0", "params.resources.cpu_share"},
		{"max_sockets = 100", "max_sockets = -1", "params.resources.max_sockets"},
		{"value_kb = 16.0", "value_kb = 0.01", "params.state.value_kb"},
		{"lease_s = 10.0", "lease_s = 0.5", "params.workers.lease_s"},
		{"count = 1", "count = 3", "params.count"},
		{"count = 1", "count = \"x\"", "count"},
		{"count = 1", "count =", "settings"},
		{"zone = \"z\"", "zone = \"z\"\npolicy_file = \"/nowhere/policy.toml\"", "policy"},
	} {
		if err := os.WriteFile(file, []byte(strings.Replace(validSettings, x.old, x.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, args := range [][]string{{"--config", file}, {"check", "--config", file}} {
			code, output := runProgram(t, args...)
			if code != 2 || !strings.Contains(output, x.field) || strings.Count(strings.TrimSpace(output), "\n") != 0 {
				t.Errorf("%s, %v: code %d, output %q, want code 2 and one line naming %s", x.new, args, code, output, x.field)
			}
		}
	}
}

// Invalid arguments end with exit code 2 and an error. The check of valid settings prints ok.
func TestArgumentsAreChecked(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, output := runProgram(t, "check", "--config", file); code != 0 || output != "ok\n" {
		t.Errorf("valid settings: code %d, output %q, want 0 and ok", code, output)
	}
	for _, args := range [][]string{{}, {"--config"}, {"--config", "/nowhere/settings.toml"}, {"--nonsense"}, {"nonsense"}} {
		if code, output := runProgram(t, args...); code != 2 || output == "" {
			t.Errorf("%v: code %d, output %q, want code 2 and an error", args, code, output)
		}
	}
}
