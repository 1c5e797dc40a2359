package rejectlog

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// However many names a sender uses, the lines and the memory for them are bounded.
func TestRejectionsAreBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(slog.New(slog.NewTextHandler(&out, nil)))
	for i := range 10 * maxPerWindow {
		l.Reject("heartbeat", fmt.Sprint(strings.Repeat("x", i%3), i), errors.New("malformed"))
	}
	if lines := strings.Count(out.String(), "\n"); lines != maxPerWindow || len(l.logged) != maxPerWindow {
		t.Errorf("%d lines, %d senders kept", lines, len(l.logged))
	}
}
