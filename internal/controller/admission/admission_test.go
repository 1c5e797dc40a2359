package admission

import (
	"testing"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

// While the process falls behind a few status queries are served and other requests go on;
// what was released makes room again.
func TestQueriesAreBoundedWhileBehind(t *testing.T) {
	behind := true
	l := NewLimiter(config.Resources{MemoryMB: 1000}, func() bool { return behind })
	query, submission := httpwire.Request{Method: "GET"}, httpwire.Request{Method: "POST"}
	for i := range MaxQueriesBehind {
		if !l.Admit(query) {
			t.Errorf("query %d is rejected", i)
		}
	}
	if l.Admit(query) {
		t.Error("one query too many is admitted")
	}
	if !l.Admit(submission) {
		t.Error("a submission is rejected for queries")
	}
	l.Release(query)
	if !l.Admit(query) {
		t.Error("a query is rejected though one was released")
	}
	behind = false
	if !l.Admit(query) {
		t.Error("a query is rejected by a process that keeps up")
	}
}
