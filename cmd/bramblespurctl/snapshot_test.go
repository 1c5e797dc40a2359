package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"bramblespur/internal/snapshot"
	"bramblespur/internal/testkit"
)

// An operator can take, list, verify and prune snapshots, and verify names every damaged section.
func TestSnapshotCommands(t *testing.T) {
	s := newFixture(t)
	dir := t.TempDir()
	var m snapshot.Manifest
	if err := json.Unmarshal([]byte(s.expect(0, `"cluster"`, "snapshot", "take", "--dir", dir, "-o", "json")), &m); err != nil {
		t.Fatal(err)
	}
	if m.Records() != 5 { // four of the fixture, and the record with the cluster's ID
		t.Errorf("%d records, want 5", m.Records())
	}
	s.expect(0, m.Cluster, "snapshot", "list", "--dir", dir)
	s.expect(0, "is intact: 5 records", "snapshot", "verify", m.Name(), "--dir", dir)
	s.expect(0, "", "snapshot", "prune", "--dir", dir, "--keep", "1")
	s.expect(1, "no such snapshot: x", "snapshot", "verify", "x", "--dir", dir)
	for _, file := range []string{"open.parquet", "runs.parquet"} {
		if err := os.Truncate(filepath.Join(dir, m.Name(), file), 10); err != nil {
			t.Fatal(err)
		}
	}
	out := s.expect(1, "section open/ is damaged", "snapshot", "verify", m.Name(), "--dir", dir)
	if strings.Contains(out, "intact") {
		t.Errorf("a damaged snapshot is reported as intact: %s", out)
	}
	s.expect(1, "section runs/ is damaged", "snapshot", "verify", m.Name(), "--dir", dir)
	s.expect(1, "3 records of other sections", "snapshot", "verify", m.Name(), "--dir", dir)
}

// cancelOnWrite is the output of a command that it cancels at the first write.
type cancelOnWrite struct{ cancel func() }

func (w cancelOnWrite) Write(b []byte) (int, error) {
	w.cancel()
	return len(b), nil
}

// If a periodic snapshot fails, its error is printed, and the next one is taken.
func TestPeriodicSnapshotsContinueAfterAFailure(t *testing.T) {
	state := testkit.NewState()
	ctx, cancel := context.WithCancel(t.Context())
	cmd := &cobra.Command{}
	cmd.SetOut(cancelOnWrite{cancel})
	var stderr bytes.Buffer
	cmd.SetErr(&stderr)
	dir := t.TempDir()
	now := time.Now()
	taker := &snapshot.Taker{Source: state, Directory: filepath.Join(dir, "later"), Now: func() time.Time { return now }, Sleep: sleep}
	tool := &tool{output: textOutput, now: func() time.Time {
		if stderr.Len() > 0 { // the first snapshot failed: create its directory, and let the interval pass
			os.Mkdir(taker.Directory, 0o700)
			now = now.Add(time.Hour)
		}
		return now
	}}
	if err := tool.takePeriodically(ctx, cmd, taker, snapshot.Retention{Latest: 1}, time.Hour); err != nil {
		t.Fatal(err)
	}
	all, err := snapshot.List(taker.Directory)
	if err != nil || len(all) != 1 || !strings.Contains(stderr.String(), "no such file") {
		t.Errorf("taken %v, %v, stderr %q; want one snapshot and the error of the first", all, err, stderr.String())
	}
}

// Snapshot commands with bad input, or without the state service, fail with an error in one line.
func TestSnapshotBadInput(t *testing.T) {
	s := newFixture(t)
	dir := t.TempDir()
	for _, x := range []struct {
		code int
		text string
		args string
	}{
		{2, "--dir is missing", "snapshot take"},
		{2, "--dir is missing", "snapshot list"},
		{2, "--every is 1s, want 1m0s at least", "snapshot take --every 1s --dir " + dir},
		{2, "--keep is 0", "snapshot prune --keep 0 --dir " + dir},
		{2, "--keep-days is -1", "snapshot prune --keep-days -1 --dir " + dir},
		{2, "want one name", "snapshot verify --dir " + dir},
		{1, "no such file or directory", "snapshot take --dir " + dir + "/none"},
		{1, "no such file or directory", "snapshot list --dir " + dir + "/none"},
		{1, "not a directory", "snapshot take --dir /dev/null"},
	} {
		s.expect(x.code, x.text, strings.Fields(x.args)...)
	}
	s.service.Outage(true)
	s.expect(1, "no answer from the state service for 1s", "snapshot", "take", "--dir", dir, "--timeout", "1s")
}
