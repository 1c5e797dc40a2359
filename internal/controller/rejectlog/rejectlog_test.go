package rejectlog

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// The lines logged per window and the memory to remember them are bounded, however many names
// a sender uses.
func TestRejectionsAreBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(slog.New(slog.NewTextHandler(&out, nil)))
	for i := range 10 * maxPerWindow {
		l.Reject("heartbeat", fmt.Sprint(strings.Repeat("x", i%3), i), errors.New("malformed"))
	}
	if lines := strings.Count(out.String(), "\n"); lines != maxPerWindow || len(l.logged) != maxPerWindow {
		t.Errorf("%d lines are logged and %d rejections remembered, want maxPerWindow of each", lines, len(l.logged))
	}
}
