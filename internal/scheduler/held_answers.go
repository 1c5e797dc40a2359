package scheduler

import (
	"time"

	"bramblespur/internal/wire"
)

// Hold says how long a report's answer may be kept back so that a start that
// is decided meanwhile reaches the machine at once. A machine without tasks has
// nothing to tell; one with some tells of their ends a little later.
func (s *Shard) Hold(id string, now time.Time) time.Duration {
	m := s.machines[id]
	if m == nil || !s.usable(m, now) || !m.fenced {
		return 0
	}
	if len(m.on) == 0 {
		return min(s.cfg.Report*4/5, longestHold)
	}
	f := free(m)
	if f.cpus < m.Type.CPUs/4 || (m.Type.GPUs > 0 && f.gpus < m.Type.GPUs/4) {
		return 0
	}
	return s.cfg.Report / 4
}

// longestHold keeps a held answer well below the 4 s after which a worker
// drops it.
const longestHold = 2500 * time.Millisecond

// Held returns the answer to a held report as things stand now.
func (s *Shard) Held(id string, now time.Time) (wire.Orders, bool) {
	m := s.machines[id]
	if m == nil {
		return wire.Orders{}, false
	}
	return wire.Orders{Token: m.token(s), Commands: append([]wire.Command{}, s.starts(m, now)...)}, true
}
