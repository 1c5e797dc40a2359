package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bramblespur/internal/drain"
	"bramblespur/internal/record"
	"bramblespur/internal/restart"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// fixture is a state service against which the tool is run.
type fixture struct {
	t       *testing.T
	service *testkit.StateService
	addr    string // of the service, for --state; empty if the arguments have --config
}

// newFixture starts a state service with two groups of machines and a gang that runs on two of them.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &fixture{t: t, service: testkit.NewStateService()}
	server := httptest.NewServer(s.service.HTTP("operator"))
	t.Cleanup(server.Close)
	s.addr = strings.TrimPrefix(server.URL, "http://")
	s.put(record.ProvisionKey("r"), record.Provision{Type: "big", Zone: "a", Shards: make([]int, 4), IDs: []string{"i-1", "i-2", "i-3", "i-4"}, CreatedAt: 1000})
	s.put(record.ProvisionKey("others"), record.Provision{Type: "small", Zone: "a", Shards: make([]int, 4), IDs: []string{"i-5", "i-6", "i-7", "i-8"}, CreatedAt: 1000})
	gang := wire.Spec{Ref: "run-000001", Team: "vision", Kind: wire.Gang, Tasks: 2}
	s.put(record.ActiveJobKey(gang.Ref), record.ActiveJob{Spec: gang})
	s.put(record.PlacementsKey(0, 0), record.Placements{Ranges: map[string]record.TaskRange{
		record.RangeName(gang.Ref, 0): {Placed: map[int]record.TaskPlacement{0: {Machine: "i-2", Attempt: 1}, 1: {Machine: "i-4", Attempt: 1}}},
	}})
	return s
}

// put writes a record.
func (s *fixture) put(key string, v any) {
	s.t.Helper()
	if err := s.service.Put(wire.Txn{Then: []wire.Op{{Put: key, Value: record.Encode(v)}}}); err != nil {
		s.t.Fatal(err)
	}
}

// run runs the tool and returns its exit code and what it wrote to standard output and standard error.
func (s *fixture) run(args ...string) (code int, stdout, stderr string) {
	var o, e bytes.Buffer
	if s.addr != "" {
		args = append([]string{"--state", s.addr}, args...)
	}
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

// expect runs the tool and returns its standard output. The tool must exit with code, write text to one of
// its outputs, and write one line at most to standard error.
func (s *fixture) expect(code int, text string, args ...string) string {
	s.t.Helper()
	got, stdout, stderr := s.run(args...)
	if got != code || !strings.Contains(stdout+stderr, text) || strings.Count(stderr, "\n") > 1 {
		s.t.Errorf("%v: exit code %d, stdout %q, stderr %q; want exit code %d and %q", args, got, stdout, stderr, code, text)
	}
	return stdout
}

// toolWrites returns how many transactions of the tool were executed.
func (s *fixture) toolWrites() int {
	n := 0
	for _, w := range s.service.Writes() {
		if w.From == "operator" {
			n++
		}
	}
	return n
}

// An operator can plan, start, pause, resume, inspect, report and cancel a drain.
func TestDrainCommands(t *testing.T) {
	s := newFixture(t)
	steps := s.expect(0, "STEP", "drain", "start", "old", "--type", "big", "--at-once", "2", "--dry-run", "--output", "text")
	if !strings.Contains(steps, "i-1 i-3") || !strings.Contains(steps, "i-2 i-4") || !strings.Contains(steps, "vision:1") {
		t.Errorf("the machines of a gang are not in one step: %s", steps)
	}
	if s.toolWrites() != 0 {
		t.Error("the dry run wrote to the state service")
	}
	s.expect(0, "drain old started", "drain", "start", "old", "--type", "big", "--reason", "end of lease")
	s.expect(1, "there is a drain old already", "drain", "start", "old", "--zone", "a")
	s.expect(0, "drain old is paused", "drain", "pause", "old")
	s.expect(1, "drain old is paused", "drain", "pause", "old")
	s.expect(0, "drain old is active", "drain", "resume", "old")
	s.expect(0, "end of lease", "drain", "list")
	var status struct {
		Left int `json:"machines_left"`
	}
	if err := json.Unmarshal([]byte(s.expect(0, "machines_left", "drain", "show", "old", "-o", "json")), &status); err != nil || status.Left != 4 {
		t.Errorf("%d machines left, %v", status.Left, err)
	}
	s.put(drain.ProgressKey("old", 0), drain.Progress{Cordoned: 2, Returned: 1, Teams: map[string]drain.TeamImpact{"vision": {Evicted: 1, LostS: 90}},
		HoldSeconds: map[drain.HoldReason]float64{drain.HoldBudgetExhausted: 60},
		Samples:     []drain.Sample{{At: 1000, Cordoned: 1}, {At: 61000, Cordoned: 2, Returned: 1, Teams: map[string]drain.BudgetUse{"vision": {Concurrent: 1, InWindow: 1}}}}})
	html := filepath.Join(t.TempDir(), "report.html")
	s.expect(0, "", "drain", "report", "old", "--file", html)
	page, err := os.ReadFile(html)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "Disruptions of vision", "budget used up", "1m30s"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report lacks %q", want)
		}
	}
	s.expect(0, `"budget used up"`, "drain", "report", "old", "--output", "json")
	s.expect(0, "drain old is cancelled", "drain", "cancel", "old")
	s.expect(1, "is cancelled already", "drain", "resume", "old")
}

// An operator can list, show and report restarts, also beside a malformed record.
func TestRestartCommands(t *testing.T) {
	s := newFixture(t)
	s.put(restart.Key("c-0"), restart.History{Episodes: []restart.Episode{
		{Incarnation: 4, Cause: restart.Started, BeganAt: 1000, CompletedAt: 9000, Shards: []int{0, 1}, Outcomes: map[string]int{"adopted": 12}, CommandsPerSecond: []int{3, 5}, CommandLimit: 10, Malformed: 1},
		{Incarnation: 7, Cause: restart.FailedOver, BeganAt: 20000, Shards: []int{2}, PendingTasks: 3, SilentMachines: 1, PendingNames: []string{"i-000007"}},
	}})
	s.put(restart.Key("c-1"), "nonsense")
	s.expect(0, "invalid", "restart", "list")
	s.expect(0, "3 tasks, 1 machines", "restart", "list")
	s.expect(0, "i-000007", "restart", "show", "c-0")
	s.expect(0, "5 at most, of 10.0", "restart", "show", "c-0/1000", "--follow")
	s.expect(0, "<svg", "restart", "report", "c-0/1000")
	s.expect(0, `"adopted": 12`, "restart", "report", "c-0/1000", "-o", "json")
	s.expect(1, "unknown restart c-9", "restart", "show", "c-9")
	s.expect(2, "want one name", "restart", "show")
}

// Drain commands with bad input fail with an error in one line, before anything is written: with exit code
// 2 if the command line is invalid, and 1 if the command cannot be carried out.
func TestDrainBadInput(t *testing.T) {
	s := newFixture(t)
	for _, x := range []struct {
		code int
		text string
		args string
	}{
		{2, "want the name of one drain", "drain start"},
		{2, "no machine is selected", "drain start x"},
		{2, "cannot select them as well", "drain start x --machine i-1 --zone a"},
		{2, "exclude each other", "drain start x --older-than 2h --rented-before 2026-01-01T00:00:00Z"},
		{2, "at-once is 0", "drain start x --zone a --at-once 0"},
		{2, "finish-by is not after", "drain start x --zone a --finish-by 2020-01-01T00:00:00Z"},
		{2, "force without finish-by", "drain start x --zone a --force"},
		{2, "--finish-by", "drain start x --zone a --finish-by tomorrow"},
		{2, "holds a space or a slash", "drain show a/b"},
		{2, "unknown flag", "drain list --nothing"},
		{2, "unknown command", "nothing"},
		{2, "--output is", "drain list --output xml"},
		{2, "no such file", "drain list --operations /nowhere"},
		{1, "unknown machine i-9", "drain start x --machine i-1,i-9"},
		{1, "none is selected", "drain start x --zone nowhere"},
		{1, "unknown drain x", "drain show x"},
		{1, "unknown drain x", "drain cancel x"},
		{1, "unknown drain x", "drain report x"},
	} {
		s.expect(x.code, x.text, strings.Fields(x.args)...)
	}
	if s.toolWrites() != 0 {
		t.Error("a refused command wrote to the state service")
	}
	s.put(drain.PlanKey("bad"), map[string]any{"name": "bad", "at_once": -1})
	s.expect(0, "invalid", "drain", "list")
}

// During an outage of the state service the tool fails with an error that says what it could not read.
func TestDrainWithoutStateService(t *testing.T) {
	s := newFixture(t)
	s.service.Outage(true)
	s.expect(1, "read the drains", "drain", "list")
}
