package admission

import (
	"testing"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

// While the process is behind, up to MaxQueriesBehind status queries are served at a time, and other
// requests are admitted as usual. A released query makes room for another.
func TestQueriesAreBoundedWhileBehind(t *testing.T) {
	behind := true
	l := NewLimiter(config.Resources{MemoryMB: 1000}, func() bool { return behind })
	query, submission := httpwire.Request{Method: "GET"}, httpwire.Request{Method: "POST"}
	for i := range MaxQueriesBehind {
		if !l.Admit(query) {
			t.Errorf("query %d of MaxQueriesBehind is rejected", i)
		}
	}
	if l.Admit(query) {
		t.Error("a query beyond MaxQueriesBehind is admitted")
	}
	if !l.Admit(submission) {
		t.Error("a submission is rejected because of queries")
	}
	l.Release(query)
	if !l.Admit(query) {
		t.Error("a query is rejected although another was released")
	}
	behind = false
	if !l.Admit(query) {
		t.Error("a query is rejected by a process that keeps up")
	}
}
