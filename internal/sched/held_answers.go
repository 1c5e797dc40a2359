package sched

import (
	"time"

	"bramblespur/internal/wire"
)

// Hold says how long a report's answer may be kept back so that a start that
// is decided meanwhile reaches the machine at once. A machine without tasks has
// nothing to tell; one with some tells of their ends a little later.
func (p *Part) Hold(id string, now time.Time) time.Duration {
	m := p.machines[id]
	if m == nil || !p.usable(m, now) || !m.fenced {
		return 0
	}
	if len(m.on) == 0 {
		return min(p.cfg.Report*4/5, longestHold)
	}
	f := free(m)
	if f.cpus < m.Type.CPUs/4 || (m.Type.GPUs > 0 && f.gpus < m.Type.GPUs/4) {
		return 0
	}
	return p.cfg.Report / 4
}

// longestHold keeps a held answer well below the 4 s after which a worker
// drops it.
const longestHold = 2500 * time.Millisecond

// Held returns the answer to a held report as things stand now.
func (p *Part) Held(id string, now time.Time) (wire.Orders, bool) {
	m := p.machines[id]
	if m == nil {
		return wire.Orders{}, false
	}
	return wire.Orders{Token: m.token(p), Commands: append([]wire.Command{}, p.starts(m, now)...)}, true
}
