package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"bramblespur/internal/testkit"
)

// recordVariable is the environment variable that names the directory for the recordings of
// schedules that fail. Without it nothing is recorded.
const recordVariable = "CLUSTER_RECORD"

// maxRecordedLines bounds the recording of one schedule: the latest lines are kept.
const maxRecordedLines = 20000

// recorder keeps the latest lines of one schedule: faults with their ends, the log lines of all
// controllers, every transaction with its conditions and outcome, and every heartbeat with its
// answer. A nil recorder keeps nothing.
type recorder struct {
	log *slog.Logger

	mu    sync.Mutex
	lines [][]byte // a ring buffer once it holds maxRecordedLines
	next  int      // index in lines of the next write
}

// newRecorder returns a recorder, nil unless recordVariable is set.
func newRecorder() *recorder {
	if os.Getenv(recordVariable) == "" {
		return nil
	}
	r := &recorder{}
	r.log = slog.New(slog.NewTextHandler(r, &slog.HandlerOptions{Level: slog.LevelDebug}))
	return r
}

// Write implements io.Writer. Each call writes one line.
func (r *recorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) < maxRecordedLines {
		r.lines = append(r.lines, nil)
	}
	r.lines[r.next] = bytes.Clone(line)
	r.next = (r.next + 1) % maxRecordedLines
	return len(line), nil
}

// note records an action of the test itself.
func (r *recorder) note(event string, args ...any) {
	if r != nil {
		r.log.Info(event, args...)
	}
}

// observer returns what records heartbeats and transactions at the simulated peers, nil for a nil
// recorder.
func (r *recorder) observer() testkit.Observer {
	if r == nil {
		return nil
	}
	return func(event string, args ...any) {
		for i := 1; i < len(args); i += 2 {
			if _, isError := args[i].(error); isError {
				continue
			}
			if encoded, err := json.Marshal(args[i]); err == nil {
				args[i] = string(encoded)
			}
		}
		r.log.Debug(event, args...)
	}
}

// save writes the recording of a failed test to a new file in the directory that recordVariable
// names.
func (r *recorder) save(t *testing.T) {
	t.Helper()
	if r == nil || !t.Failed() {
		return
	}
	pattern := strings.ReplaceAll(t.Name(), "/", "-") + ".*.log"
	file, err := os.CreateTemp(os.Getenv(recordVariable), pattern)
	if err != nil {
		t.Error(err)
		return
	}
	defer file.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.next % max(1, len(r.lines))
	for i := range r.lines {
		fmt.Fprintf(file, "%s", r.lines[(oldest+i)%len(r.lines)])
	}
	t.Logf("recorded in %s", filepath.Base(file.Name()))
}
