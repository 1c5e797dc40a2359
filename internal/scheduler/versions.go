package scheduler

import (
	"strconv"
	"strings"
	"time"

	"bramblespur/internal/record"
)

// Version returns the version that the shard holds of the record at key: an active job record, an
// override record or one of its placement records. It returns 0 if it holds none.
func (s *Shard) Version(key string) uint64 {
	last := record.LastElement(key)
	switch {
	case strings.HasPrefix(key, record.ActiveJobPrefix):
		if j := s.jobs[last]; j != nil {
			return j.record.version
		}
	case strings.HasPrefix(key, record.OverridePrefix):
		if m := s.inventory.byID[last]; m != nil {
			return m.record.version
		}
	case strings.HasPrefix(key, record.ShardPlacementsPrefix(s.id)):
		n, err := strconv.Atoi(last)
		if rec := s.ledger.records[n]; err == nil && rec != nil && !rec.unreadable {
			return rec.version
		}
	}
	return 0
}

// HadContactWithin reports whether a machine has sent heartbeats and its last contact is less than
// d ago.
func (s *Shard) HadContactWithin(id string, d time.Duration, now time.Time) bool {
	m := s.inventory.byID[id]
	return m != nil && m.contact.up && now.Sub(m.contact.lastContactAt) < d
}

// Lease returns how long a worker's tasks outlive its last answered heartbeat.
func (s *Shard) Lease() time.Duration { return s.cfg.Lease }
