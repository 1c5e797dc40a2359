package testkit

import (
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// CommandLog is a log of the start and stop commands that workers received. Its methods are safe for
// concurrent use.
type CommandLog struct {
	mu  sync.Mutex
	all []receivedCommand
}

// receivedCommand is a start or a stop.
type receivedCommand struct {
	at    time.Time
	start bool
}

// CommandLog returns the log of the commands of all workers.
func (w *World) CommandLog() *CommandLog { return &w.commandLog }

// add logs a command, unless it is a forget.
func (o *CommandLog) add(op string) {
	if op == wire.Forget {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, receivedCommand{time.Now(), op == wire.Start})
}

// MostWithin returns the largest number of starts within any period of length d, counting those received
// at after or later and before before. With stops, it counts starts and stops.
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

// CountSince returns the number of starts and stops received after a time.
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
