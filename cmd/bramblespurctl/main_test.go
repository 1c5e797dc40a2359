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

// site is a state service that the tool is run against.
type site struct {
	t       *testing.T
	service *testkit.StateService
	addr    string
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, service: testkit.NewStateService()}
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

func (s *site) put(key string, v any) {
	s.t.Helper()
	if err := s.service.Put(wire.Txn{Then: []wire.Op{{Put: key, Value: record.Encode(v)}}}); err != nil {
		s.t.Fatal(err)
	}
}

// run runs the tool and returns its exit code, output and messages.
func (s *site) run(args ...string) (code int, out, said string) {
	var o, e bytes.Buffer
	if s.addr != "" {
		args = append([]string{"--state", s.addr}, args...)
	}
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

// want runs the tool, which must end with a code and say something in one line.
func (s *site) want(code int, says string, args ...string) string {
	s.t.Helper()
	got, out, said := s.run(args...)
	if got != code || !strings.Contains(out+said, says) || strings.Count(said, "\n") > 1 {
		s.t.Errorf("%v: exit %d, %q %q; want %d and %q", args, got, out, said, code, says)
	}
	return out
}

func (s *site) drainWrites() int {
	n := 0
	for _, w := range s.service.Writes() {
		if w.From == "operator" {
			n++
		}
	}
	return n
}

// What an operator does from asking for a drain to its end.
func TestDrainCommands(t *testing.T) {
	s := newSite(t)
	steps := s.want(0, "STEP", "drain", "start", "old", "--type", "big", "--at-once", "2", "--dry-run", "--output", "text")
	if !strings.Contains(steps, "i-1 i-3") || !strings.Contains(steps, "i-2 i-4") || !strings.Contains(steps, "vision:1") {
		t.Errorf("the machines of a gang don't go together: %s", steps)
	}
	if s.drainWrites() != 0 {
		t.Error("a dry run wrote something")
	}
	s.want(0, "drain old started", "drain", "start", "old", "--type", "big", "--reason", "end of lease")
	s.want(1, "there is a drain old already", "drain", "start", "old", "--zone", "a")
	s.want(0, "drain old is paused", "drain", "pause", "old")
	s.want(1, "drain old is paused", "drain", "pause", "old")
	s.want(0, "drain old is active", "drain", "resume", "old")
	s.want(0, "end of lease", "drain", "list")
	var status struct {
		Left int `json:"machines_left"`
	}
	if err := json.Unmarshal([]byte(s.want(0, "machines_left", "drain", "show", "old", "-o", "json")), &status); err != nil || status.Left != 4 {
		t.Errorf("%d machines left, %v", status.Left, err)
	}
	s.put(drain.ProgressKey("old", 0), drain.Progress{Cordoned: 2, Returned: 1, Teams: map[string]drain.TeamImpact{"vision": {Evicted: 1, LostS: 90}},
		HoldSeconds: map[drain.HoldReason]float64{drain.HoldBudgetExhausted: 60},
		Samples:     []drain.Sample{{At: 1000, Cordoned: 1}, {At: 61000, Cordoned: 2, Returned: 1, Teams: map[string]drain.BudgetUse{"vision": {Concurrent: 1, InWindow: 1}}}}})
	html := filepath.Join(t.TempDir(), "report.html")
	s.want(0, "", "drain", "report", "old", "--file", html)
	page, err := os.ReadFile(html)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"<svg", "Disruptions of vision", "budget used up", "1m30s"} {
		if !strings.Contains(string(page), part) {
			t.Errorf("the report lacks %q", part)
		}
	}
	s.want(0, `"budget used up"`, "drain", "report", "old", "--output", "json")
	s.want(0, "drain old is cancelled", "drain", "cancel", "old")
	s.want(1, "is cancelled already", "drain", "resume", "old")
}

// What an operator sees of restarts.
func TestRestartCommands(t *testing.T) {
	s := newSite(t)
	s.put(restart.Key("c-0"), restart.History{Episodes: []restart.Episode{
		{Incarnation: 4, Cause: restart.Started, BeganAt: 1000, CompletedAt: 9000, Shards: []int{0, 1}, Outcomes: map[string]int{"adopted": 12}, CommandsPerSecond: []int{3, 5}, CommandLimit: 10, Malformed: 1},
		{Incarnation: 7, Cause: restart.FailedOver, BeganAt: 20000, Shards: []int{2}, PendingTasks: 3, SilentMachines: 1, PendingNames: []string{"i-000007"}},
	}})
	s.put(restart.Key("c-1"), "nonsense")
	s.want(0, "invalid", "restart", "list")
	s.want(0, "3 tasks, 1 machines", "restart", "list")
	s.want(0, "i-000007", "restart", "show", "c-0")
	s.want(0, "5 at most, of 10.0", "restart", "show", "c-0/1000", "--follow")
	s.want(0, "<svg", "restart", "report", "c-0/1000")
	s.want(0, `"adopted": 12`, "restart", "report", "c-0/1000", "-o", "json")
	s.want(1, "unknown restart c-9", "restart", "show", "c-9")
	s.want(2, "want one name", "restart", "show")
}

// What makes no sense is refused in one line, before anything is written: with exit code 2
// if it was not asked for properly, and 1 if it can't be done.
func TestDrainBadInput(t *testing.T) {
	s := newSite(t)
	for _, x := range []struct {
		code int
		says string
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
		s.want(x.code, x.says, strings.Fields(x.args)...)
	}
	if s.drainWrites() != 0 {
		t.Error("something was written")
	}
	s.put(drain.PlanKey("bad"), map[string]any{"name": "bad", "at_once": -1})
	s.want(0, "invalid", "drain", "list")
}

// Without the state service the tool says so.
func TestDrainWithoutStateService(t *testing.T) {
	s := newSite(t)
	s.service.Outage(true)
	s.want(1, "read the drains", "drain", "list")
}
