package testkit

import (
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// CommandLog are the starts and stops that workers were given, as they saw them.
type CommandLog struct {
	mu  sync.Mutex
	all []receivedCommand
}

type receivedCommand struct {
	at    time.Time
	start bool
}

// CommandLog returns the orders of all workers.
func (w *World) CommandLog() *CommandLog { return &w.commandLog }

func (o *CommandLog) add(op string) {
	if op == wire.Forget {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, receivedCommand{time.Now(), op == wire.Start})
}

// MostWithin returns the most starts within any time of length d between two moments, or of
// starts and stops.
func (o *CommandLog) MostWithin(d time.Duration, after, before time.Time, stops bool) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	var seen []time.Time
	for _, x := range o.all {
		if !x.at.Before(after) && x.at.Before(before) && (x.start || stops) {
			seen = append(seen, x.at)
		}
	}
	most, first := 0, 0
	for i, at := range seen {
		for at.Sub(seen[first]) >= d {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// CountSince returns how many orders there were after some moment.
func (o *CommandLog) CountSince(after time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, x := range o.all {
		if x.at.After(after) {
			n++
		}
	}
	return n
}
