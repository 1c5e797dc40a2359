package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// ctl runs the operators' tool, built from this module, as docs/recovery.md describes.
type ctl struct {
	l    *loopback
	path string
}

// buildCtl builds the operators' tool.
func (l *loopback) buildCtl() ctl {
	l.t.Helper()
	path := filepath.Join(l.dir, "bramblespurctl")
	if out, err := exec.Command("go", "build", "-o", path, "../bramblespurctl").CombinedOutput(); err != nil {
		l.t.Fatalf("%v: %s", err, out)
	}
	return ctl{l, path}
}

// run runs a command of the tool with the settings of a controller and returns its output.
func (c ctl) run(args ...string) (string, error) {
	args = append([]string{"--config", filepath.Join(c.l.dir, "c-0.toml")}, args...)
	out, err := exec.Command(c.path, args...).CombinedOutput()
	return string(out), err
}

// mustRun is run for a command that must succeed.
func (c ctl) mustRun(args ...string) string {
	c.l.t.Helper()
	out, err := c.run(args...)
	if err != nil {
		c.l.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return out
}

// The state service of real processes on real sockets loses the records of jobs and machines. An
// operator recovers them with the tool alone.
func TestRecoverOverLoopback(t *testing.T) {
	const seed, jobs = 4, 6
	l := newLoopback(t, seed)
	tool := l.buildCtl()
	for n := range jobs {
		l.submitLater(loopbackJob(n), testkit.JobDurations{Run: time.Duration(5+15*(n%2)) * time.Second, Fetch: 200 * time.Millisecond})
	}
	l.waitFor("tasks running", func() bool { return len(l.world.MachinesOf(loopbackJob(jobs-1).Ref)) > 0 })
	dir := filepath.Join(l.dir, "snapshots")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	tool.mustRun("snapshot", "take", "--dir", dir)
	l.waitFor("a job is done", func() bool { return l.world.LastState(loopbackJob(0).Ref) == wire.Done })
	if out := tool.mustRun("recover", "status"); !strings.Contains(out, "no safe mode") {
		t.Errorf("before the loss: %s", out)
	}
	lost := l.world.State.Lose(func(key string) bool {
		return strings.HasPrefix(key, record.ActiveJobPrefix) || strings.HasPrefix(key, record.FleetPrefix)
	})
	if len(lost) < jobs/2 {
		t.Errorf("only %d records were lost", len(lost))
	}
	l.waitFor("safe mode", func() bool { return strings.Contains(tool.mustRun("recover", "status"), "safe mode 1 since") })
	plan, report := filepath.Join(l.dir, "plan.json"), filepath.Join(l.dir, "report.html")
	if out := tool.mustRun("recover", "plan", "--dir", dir, "--file", plan); !strings.Contains(out, "undecided      0") {
		t.Fatalf("the plan: %s", out)
	}
	tool.mustRun("recover", "report", "--file", plan, "--to", report)
	if page, err := os.ReadFile(report); err != nil || !strings.Contains(string(page), "unfinished jobs") {
		t.Errorf("the report: %v", err)
	}
	tool.mustRun("recover", "apply", "--file", plan)
	tool.mustRun("recover", "apply", "--file", plan) // applying a plan is idempotent
	l.waitFor("all jobs done", func() bool {
		for n := range jobs {
			if l.world.LastState(loopbackJob(n).Ref) != wire.Done {
				return false
			}
		}
		return true
	})
	for _, violation := range l.checker.Violations() {
		t.Error(violation)
	}
}
