package main

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// recoverSettings is a controller's settings file, as a format with the addresses of the cloud and the state
// service.
const recoverSettings = `
label = "c-0"
zone = "a"
public_addr = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
[outside]
cloud = %q
state = %q
[params]
count = 1
zones = ["a"]
clock_error_ms = 5.0
[params.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 20.0
gang_peer_s = 2.0
cancel_s = 30.0
[params.state]
rps = 1000.0
write_rps = 500.0
value_kb = 16.0
txn_ops = 16
[params.cloud]
rps = 10.0
list_lag_s = 5.0
[params.resources]
cpu_share = 1.0
memory_mb = 256.0
max_sockets = 1000
`

// recoverFixture is a fixture with a cloud and the settings of a controller that does not answer.
type recoverFixture struct {
	*fixture
	config, dir string // path of the settings file, and its directory
}

// newRecoverFixture starts a state service and a cloud, and writes the settings file.
func newRecoverFixture(t *testing.T) *recoverFixture {
	t.Helper()
	s := newFixture(t)
	world := testkit.NewWorld([]string{"c-0"}, nil, testkit.Timing{}, testkit.NewChecker(nil, 0), 1)
	t.Cleanup(world.Stop)
	cloud := httptest.NewServer(world.CloudHTTP())
	t.Cleanup(cloud.Close)
	dir := t.TempDir()
	config := filepath.Join(dir, "c-0.toml")
	text := fmt.Sprintf(recoverSettings, strings.TrimPrefix(cloud.URL, "http://"), s.addr)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return &recoverFixture{s, config, dir}
}

// expectWithConfig is expect with the settings file instead of the state service's address.
func (s *recoverFixture) expectWithConfig(code int, text string, args ...string) string {
	s.t.Helper()
	addr := s.addr
	s.addr = ""
	defer func() { s.addr = addr }()
	return s.expect(code, text, append([]string{"--config", s.config}, args...)...)
}

// An operator can recover lost records and end the safe mode although no controller answers.
func TestRecoverCommands(t *testing.T) {
	s := newRecoverFixture(t)
	plan, secondPlan := filepath.Join(s.dir, "plan.json"), filepath.Join(s.dir, "again.json")
	s.expect(0, "no safe mode", "recover", "status")
	s.expectWithConfig(1, "there is no safe mode", "recover", "plan", "--file", plan)
	s.expect(0, "5 records", "snapshot", "take", "--dir", s.dir)
	s.put(recovery.SafeModeKey, recovery.SafeMode{Active: true, Epoch: 1, By: "c-0", Floor: 40, Sign: recovery.Finding{Kind: recovery.RevisionRegressed, Held: 9, Found: 4}})
	s.expect(0, "noticed by c-0: revision fell: 4, was 9", "recover", "status")
	s.service.Lose(func(key string) bool { return strings.HasPrefix(key, record.ActiveJobPrefix) })
	s.expectWithConfig(0, "controller c-0 did not answer", "recover", "plan", "--dir", s.dir, "--file", plan)
	s.expectWithConfig(1, "some records are undecided: 1", "recover", "apply", "--file", plan)
	s.expect(0, "done cancelled again", "recover", "report", "--file", plan)
	s.expect(0, `"undecided"`, "recover", "report", "--file", plan, "-o", "json")
	key := record.ActiveJobKey("run-000001")
	s.expect(0, key+": again", "recover", "decide", key, "again")
	s.expectWithConfig(0, "undecided      0", "recover", "plan", "--dir", s.dir, "--file", secondPlan)
	s.expectWithConfig(0, "the safe mode has ended", "recover", "apply", "--file", secondPlan)
	if _, ok := s.service.Entry(key); !ok {
		t.Error("the job was not recovered")
	}
	s.expect(0, "no safe mode", "recover", "status")
	s.expect(0, "<td>unfinished jobs</td>", "recover", "report", "--file", secondPlan)
}

// Recover commands with bad input fail with an error in one line, before anything is written.
func TestRecoverBadInput(t *testing.T) {
	s := newRecoverFixture(t)
	s.put(recovery.SafeModeKey, recovery.SafeMode{Active: true, Epoch: 1})
	s.expect(0, "records", "snapshot", "take", "--dir", s.dir)
	plan, other := filepath.Join(s.dir, "plan.json"), filepath.Join(s.dir, "other")
	if err := os.WriteFile(plan, []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		code int
		text string
		args string
	}{
		{2, "--file is missing", "recover plan"},
		{2, "--file is missing", "recover apply"},
		{2, "--file is missing", "recover report"},
		{2, "no such file", "recover apply --file " + other},
		{2, "is not a plan", "recover apply --file " + plan},
		{2, "is not a plan", "recover report --file " + plan},
		{2, "want a key and a choice, not 1", "recover decide open/run-000001"},
		{2, "none of the choices", "recover decide open/run-000001 perhaps"},
		{2, "is not the key of a job", "recover decide ctl/leader done"},
		{1, "file exists", "recover plan --file " + plan},
		{1, "no such snapshot", "recover plan --snapshot x --dir " + s.dir + " --file " + other},
		{1, "no such file", "recover plan --dir " + other + " --file " + other},
		{1, "no such snapshot in", "recover plan --dir " + t.TempDir() + " --file " + other},
	} {
		s.expectWithConfig(x.code, x.text, strings.Fields(x.args)...)
	}
	s.expect(2, "--config is missing", "recover", "plan", "--file", other)
	snapshots, err := filepath.Glob(filepath.Join(s.dir, "2*"))
	if err != nil || len(snapshots) != 1 {
		t.Fatal(snapshots, err)
	}
	if err := os.Truncate(filepath.Join(snapshots[0], "open.parquet"), 5); err != nil {
		t.Fatal(err)
	}
	s.expectWithConfig(1, "section open/ is damaged", "recover", "plan", "--dir", s.dir, "--file", other)
	s.expectWithConfig(0, "intact", "recover", "plan", "--partial", "--dir", s.dir, "--file", other)
	if err := s.service.Put(wire.Txn{Then: []wire.Op{{Put: record.ClusterKey, Value: []byte(`{"id":"other"}`)}}}); err != nil {
		t.Fatal(err)
	}
	s.expectWithConfig(1, "the snapshot is of another cluster", "recover", "plan", "--partial", "--dir", s.dir, "--file", other+"2")
	if _, err := os.Stat(other + "2"); err == nil {
		t.Error("a plan was written from the snapshot of another cluster")
	}
}
