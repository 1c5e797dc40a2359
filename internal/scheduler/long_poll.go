package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

// LongPollTimeout says how long a heartbeat's answer may be kept back so that a start that
// is decided meanwhile reaches the machine at once. A machine without tasks has
// nothing to tell; one with some tells of their ends a little later.
func (s *Shard) LongPollTimeout(id string, now time.Time) time.Duration {
	m := s.inventory.byID[id]
	if m == nil || !s.cfg.usable(m, now) || !m.contact.fenced {
		return 0
	}
	if len(m.tasks) == 0 {
		return min(s.cfg.HeartbeatInterval*4/5, maxLongPoll)
	}
	f := freeRoom(m)
	if f.cpus < m.Type.CPUs/4 || (m.Type.GPUs > 0 && f.gpus < m.Type.GPUs/4) {
		return 0
	}
	return s.cfg.HeartbeatInterval / 4
}

// maxLongPoll keeps a held answer well below the 4 s after which a worker
// drops it.
const maxLongPoll = 2500 * time.Millisecond

// ParkedResponse returns the answer to a held heartbeat as things stand now.
func (s *Shard) ParkedResponse(id string, now time.Time) (wire.Orders, bool) {
	m := s.inventory.byID[id]
	if m == nil {
		return wire.Orders{}, false
	}
	return wire.Orders{Token: m.fencingToken(s), Commands: append([]wire.Command{}, s.startCommands(m, now)...)}, true
}
