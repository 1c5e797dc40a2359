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

// What an operator sees of snapshots.
func TestSnapshotCommands(t *testing.T) {
	s := newSite(t)
	dir := t.TempDir()
	var m snapshot.Manifest
	if err := json.Unmarshal([]byte(s.want(0, `"cluster"`, "snapshot", "take", "--dir", dir, "-o", "json")), &m); err != nil {
		t.Fatal(err)
	}
	if m.Records() != 5 { // four of the site and the cluster's id
		t.Errorf("%d records", m.Records())
	}
	s.want(0, m.Cluster, "snapshot", "list", "--dir", dir)
	s.want(0, "is intact: 5 records", "snapshot", "verify", m.Name(), "--dir", dir)
	s.want(0, "", "snapshot", "prune", "--dir", dir, "--keep", "1")
	s.want(1, "no such snapshot: x", "snapshot", "verify", "x", "--dir", dir)
	for _, file := range []string{"open.parquet", "runs.parquet"} {
		if err := os.Truncate(filepath.Join(dir, m.Name(), file), 10); err != nil {
			t.Fatal(err)
		}
	}
	out := s.want(1, "section open/ is damaged", "snapshot", "verify", m.Name(), "--dir", dir)
	if strings.Contains(out, "intact") {
		t.Errorf("a damaged snapshot is called intact: %s", out)
	}
	s.want(1, "section runs/ is damaged", "snapshot", "verify", m.Name(), "--dir", dir)
	s.want(1, "3 records of other sections", "snapshot", "verify", m.Name(), "--dir", dir)
}

// enough ends a command once it has written something.
type enough struct{ end func() }

func (e enough) Write(b []byte) (int, error) {
	e.end()
	return len(b), nil
}

// Unattended, a snapshot that can't be taken is told, and the next one is taken.
func TestSnapshotsAreTakenAgain(t *testing.T) {
	state := testkit.NewState()
	ctx, end := context.WithCancel(t.Context())
	cmd := &cobra.Command{}
	cmd.SetOut(enough{end})
	var said bytes.Buffer
	cmd.SetErr(&said)
	dir := t.TempDir()
	now := time.Now()
	taker := &snapshot.Taker{Source: state, Directory: filepath.Join(dir, "later"), Now: func() time.Time { return now }, Sleep: sleep}
	tool := &tool{output: textOutput, now: func() time.Time {
		if said.Len() > 0 { // the first one failed: now there is its directory, and an hour is over
			os.Mkdir(taker.Directory, 0o700)
			now = now.Add(time.Hour)
		}
		return now
	}}
	if err := tool.takePeriodically(ctx, cmd, taker, snapshot.Retention{Latest: 1}, time.Hour); err != nil {
		t.Fatal(err)
	}
	all, err := snapshot.List(taker.Directory)
	if err != nil || len(all) != 1 || !strings.Contains(said.String(), "no such file") {
		t.Errorf("taken %v, %v; said %q", all, err, said.String())
	}
}

// What makes no sense is refused in one line.
func TestSnapshotBadInput(t *testing.T) {
	s := newSite(t)
	dir := t.TempDir()
	for _, x := range []struct {
		code int
		says string
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
		s.want(x.code, x.says, strings.Fields(x.args)...)
	}
	s.service.Outage(true)
	s.want(1, "no answer from the state service for 1s", "snapshot", "take", "--dir", dir, "--timeout", "1s")
}
