package membership

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// A failed call ends the run of answered calls, but earlier answers remain valid for a while. Only a
// refused connection counts as a refusal.
func TestPeerHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewPeerHealth()
		check := func(when, want string) {
			t.Helper()
			now := time.Now()
			p := h.Contact("c-1")
			got := fmt.Sprintf("reachable %t, answers %t, state %t, refuses %t, for %v",
				p.Reachable(now), p.Answers(now), p.ReachesStateService(now), p.Refuses(now), p.AnsweringFor(now))
			if got != want {
				t.Errorf("%s: %s, want %s", when, got, want)
			}
		}
		check("never called", "reachable false, answers false, state false, refuses false, for 0s")
		h.RecordCall("c-1", nil, true, time.Now())
		time.Sleep(time.Second)
		h.RecordCall("c-1", nil, false, time.Now())
		check("answered twice", "reachable true, answers true, state true, refuses false, for 1s")
		time.Sleep(2 * time.Second)
		h.RecordCall("c-1", errors.New("no answer"), false, time.Now())
		check("no answer", "reachable true, answers true, state false, refuses false, for 0s")
		time.Sleep(time.Second)
		h.RecordCall("c-1", fmt.Errorf("call: %w", syscall.ECONNREFUSED), false, time.Now())
		check("refused", "reachable true, answers false, state false, refuses true, for 0s")
		time.Sleep(3 * time.Second)
		check("silent", "reachable false, answers false, state false, refuses false, for 0s")
		h.RecordCall("c-1", nil, true, time.Now())
		h.RecordRefusal("c-1", time.Now())
		check("answers calls, refuses a report", "reachable true, answers true, state true, refuses true, for 0s")
	})
}
