package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

// LongPollTimeout returns how long the response to a heartbeat may be parked so that a start that
// is decided meanwhile reaches the machine at once; 0 if it may not be parked. A machine without
// tasks has nothing to report; one with tasks reports their ends a little later.
func (s *Shard) LongPollTimeout(id string, now time.Time) time.Duration {
	m := s.inventory.byID[id]
	if m == nil || !s.cfg.usable(m, now) || !m.contact.fenced {
		return 0
	}
	if len(m.tasks) == 0 {
		return min(s.cfg.HeartbeatInterval*4/5, maxLongPoll)
	}
	free := freeRoom(m)
	if free.cpus < m.Type.CPUs/4 || (m.Type.GPUs > 0 && free.gpus < m.Type.GPUs/4) {
		return 0
	}
	return s.cfg.HeartbeatInterval / 4
}

// maxLongPoll keeps the delay of a parked response well below the 4 s after which a worker drops it.
const maxLongPoll = 2500 * time.Millisecond

// ParkedResponse returns the parked response to a machine's heartbeat, with the starts that are due
// now, and false if the shard has no such machine.
func (s *Shard) ParkedResponse(id string, now time.Time) (wire.CommandBatch, bool) {
	m := s.inventory.byID[id]
	if m == nil {
		return wire.CommandBatch{}, false
	}
	return wire.CommandBatch{Token: m.fencingToken(s), Commands: append([]wire.Command{}, s.startCommands(m, now)...)}, true
}
