package wire

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

func TestInvalidHeartbeatsAreRefused(t *testing.T) {
	good := func() *Heartbeat {
		return &Heartbeat{Machine: "i-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Session: 1, Seq: 88, Token: 41,
			Tasks: []HeartbeatTask{{Task: "run-000412/3", Attempt: 2, State: Running}, {Task: "run-000398/0", Attempt: 1, State: Exited, Why: Done}}}
	}
	if err := good().Check(); err != nil {
		t.Fatal(err)
	}
	notice := func(s float64) func(*Heartbeat) { return func(r *Heartbeat) { r.NoticeS = &s } }
	for name, change := range map[string]func(*Heartbeat){
		"no machine":         func(r *Heartbeat) { r.Machine = "" },
		"a long name":        func(r *Heartbeat) { r.Machine = strings.Repeat("x", maxName+1) },
		"a long address":     func(r *Heartbeat) { r.Addr = strings.Repeat("x", maxName+1) },
		"no session":         func(r *Heartbeat) { r.Session = 0 },
		"an infinite notice": notice(1e300),
		"a notice of NaN":    notice(math.NaN()),
		"too many tasks":     func(r *Heartbeat) { r.Tasks = make([]HeartbeatTask, maxTasksPerMachine+1) },
		"an unknown state":   func(r *Heartbeat) { r.Tasks[0].State = "dreaming" },
		"an attempt twice":   func(r *Heartbeat) { r.Tasks[1] = r.Tasks[0] },
		"one twice of many": func(r *Heartbeat) {
			r.Tasks = nil
			for i := range 2 * pairwiseLimit {
				r.Tasks = append(r.Tasks, HeartbeatTask{Task: "run-000412/3", Attempt: uint64(i%(2*pairwiseLimit-1) + 1), State: Exited, Why: ExitInUse})
			}
		},
		"an empty task name": func(r *Heartbeat) { r.Tasks[0].Task = "" },
		"a long task name":   func(r *Heartbeat) { r.Tasks[0].Task = strings.Repeat("x", maxName+1) },
	} {
		r := good()
		change(r)
		if err := r.Check(); !errors.Is(err, ErrInvalidMessage) {
			t.Errorf("%s: err %v, want ErrInvalidMessage", name, err)
		}
	}
	for name, change := range map[string]func(*Heartbeat){
		"a notice in the past": notice(-0.5),
		"two attempts":         func(r *Heartbeat) { r.Tasks[1].Task = r.Tasks[0].Task },
		"sequence number 0":    func(r *Heartbeat) { r.Seq = 0 }, // the protocol only says that it increases
	} {
		r := good()
		change(r)
		if err := r.Check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Seconds beyond the range of a duration must not overflow to a negative duration.
func TestSecondsDoNotOverflow(t *testing.T) {
	for s, want := range map[float64]time.Duration{0: 0, 1.5: 1500 * time.Millisecond, 1e300: maxDuration, -1e300: -maxDuration, 1e12: maxDuration} {
		if got := Seconds(s); got != want {
			t.Errorf("%g s: %v, want %v", s, got, want)
		}
	}
}
