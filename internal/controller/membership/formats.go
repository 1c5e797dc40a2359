package membership

import (
	"context"
	"time"

	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/retry"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// formatRetryInterval is about how long a process waits before it checks its format record
// again, and writes it if it is missing.
const formatRetryInterval = 300 * time.Millisecond

// FormatView is what the view of the cluster says about a controller's record format.
type FormatView struct {
	Loaded bool // the view has been listed
	Format int  // the format recorded; 0: the view has no record of it
}

// Known reports whether the controller is recorded to read and write the current format.
func (v FormatView) Known() bool { return v.Format >= record.SizedRanges }

// RecordOwnFormat records the format of this process and retries until it is recorded or the
// context ends. The record is never deleted.
//
// Upgrade: the first version has no such record, and a process that dies before its turn in
// the upgrade restarts as that version. So a format counts only once a process of this version
// has reported it. This method can be removed when no deployment has records of the first
// format left.
func (m *Member) RecordOwnFormat(ctx context.Context) {
	for ctx.Err() == nil {
		view := m.process.FormatView(m.label)
		if view.Known() || (view.Loaded && m.recordFormat(ctx, m.label, record.SizedRanges)) {
			return
		}
		retry.Sleep(ctx, retry.Jitter(formatRetryInterval))
	}
}

// recordFormat records the format of a controller and reports whether that succeeded. The
// write needs no conditions, since every write of the record has the same value.
func (m *Member) recordFormat(ctx context.Context, label string, format int) bool {
	key, value := record.FormatKey(label), record.Encode(record.Format{Version: format})
	revision, err := m.store().Txn(ctx, statestore.Urgent("member"), wire.Txn{Then: []wire.Op{{Put: key, Value: value}}})
	if err != nil {
		m.log.Debug("format not recorded", "controller", label, "err", err)
		return false
	}
	m.process.ApplyClusterChange(wire.Change{Put: key, Value: value, Version: revision}, time.Now())
	return true
}

// RecordPeerFormats asks the peers whose format is not recorded for their format and records
// it on their behalf. A peer that only the state service refuses cannot record it itself, and
// the state service's limits may be lowered meanwhile. An answer alone shows that the peer is
// of this version. The calls run in the background.
func (m *Member) RecordPeerFormats(ctx context.Context, peers map[string]peer.Caller) {
	for label, caller := range peers {
		view := m.process.FormatView(label)
		if view.Known() || !view.Loaded || !m.lease.Current().CertainlyValid(time.Now()) {
			continue
		}
		go func() {
			var format int
			// An error proves nothing: the first version lacks the method, and other peers
			// may just not answer.
			if err := caller.Call("Format", m.label, &format, PingTimeout); err == nil && format >= record.SizedRanges {
				m.recordFormat(ctx, label, format)
			}
		}()
	}
}
