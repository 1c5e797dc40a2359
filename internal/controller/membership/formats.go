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

// formatRetryInterval is about how long after a failed write of its format record a
// process tries again.
const formatRetryInterval = 300 * time.Millisecond

// FormatView is what the view of the cluster shows of a controller's record format.
type FormatView struct {
	Loaded bool // the cluster has been read
	Format int  // 0: no record of it
}

// Known reports whether the controller is recorded to read and write the current format.
func (v FormatView) Known() bool { return v.Format >= record.SizedRanges }

// RecordOwnFormat records the format of this process, once for ever.
//
// Upgrade: the first version has no such record, and a process that dies before
// its turn comes back as that version; so it counts only what a process of this
// version says itself. It may go when no deployment has records of the first format left.
func (m *Member) RecordOwnFormat(ctx context.Context) {
	for ctx.Err() == nil {
		view := m.process.FormatView(m.label)
		if view.Known() || (view.Loaded && m.recordFormat(ctx, m.label, record.SizedRanges)) {
			return
		}
		retry.Sleep(ctx, retry.Jitter(formatRetryInterval))
	}
}

// recordFormat records the format of a controller. It needs no conditions: it says the
// same each time.
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

// RecordPeerFormats asks the peers whose format is not recorded for it and records it on
// their behalf: one that the state service alone refuses can't do that itself, and the
// limits may fall meanwhile. That it answers at all shows that it is of this version.
func (m *Member) RecordPeerFormats(ctx context.Context, peers map[string]peer.Caller) {
	for label, caller := range peers {
		view := m.process.FormatView(label)
		if view.Known() || !view.Loaded || !m.lease.Current().CertainlyValid(time.Now()) {
			continue
		}
		go func() {
			var format int
			// The first version has no such method; one that is silent says nothing.
			if err := caller.Call("Format", m.label, &format, PingTimeout); err == nil && format >= record.SizedRanges {
				m.recordFormat(ctx, label, format)
			}
		}()
	}
}
