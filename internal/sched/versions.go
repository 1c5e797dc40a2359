package sched

import (
	"strconv"
	"strings"
	"time"

	"bramblespur/internal/record"
)

// Version returns the version of a record as the part knows it: of a job, a machine or a slot
// of its own; 0 if it knows none.
func (p *Part) Version(key string) uint64 {
	last := record.Last(key)
	switch {
	case strings.HasPrefix(key, record.OpenPrefix):
		if j := p.jobs[last]; j != nil {
			return j.version
		}
	case strings.HasPrefix(key, record.OwnPrefix):
		if m := p.machines[last]; m != nil {
			return m.version
		}
	case strings.HasPrefix(key, record.SlotsOf(p.id)):
		n, err := strconv.Atoi(last)
		if s := p.slots[n]; err == nil && s != nil && !s.unreadable {
			return s.version
		}
	}
	return 0
}

// HeardWithin reports whether a machine was heard in some time.
func (p *Part) HeardWithin(id string, d time.Duration, now time.Time) bool {
	m := p.machines[id]
	return m != nil && m.up && now.Sub(m.heard) < d
}

// Lease is how long a worker's tasks outlive its last answered report.
func (p *Part) Lease() time.Duration { return p.cfg.Lease }
