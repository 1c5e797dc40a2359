package controller

import (
	"encoding/json"
	"strings"
	"time"

	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// notifyOwner brings jobs' new records to their owner without waiting for the watch.
func (c *Controller) notifyOwner(part int, t wire.Txn, rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyOwnWrites(t, rev, time.Now())
	owner := c.peers[c.cluster.Owner(part)]
	if c.shards[part] != nil || owner == nil {
		return
	}
	go func() {
		for _, op := range t.Then {
			if !strings.HasPrefix(op.Put, record.ActiveJobPrefix) {
				continue
			}
			a := peer.NotifyArgs{Key: op.Put, Value: op.Value, Version: rev}
			if err := owner.Call("Nudge", a, new(struct{}), peerNoticeTimeout); err != nil {
				c.log.Debug("nudge", "key", a.Key, "err", err) // the watch tells it as well
			}
		}
	}()
}

// Nudge implements peer.Handler: a job's record, open or final, as the sender has
// just written it.
//
// Upgrade: the first version takes open records only and passes over others.
func (c *Controller) Nudge(a peer.NotifyArgs) {
	switch {
	case strings.HasPrefix(a.Key, record.ActiveJobPrefix):
		c.applyActiveJobChange(wire.Change{Put: a.Key, Value: a.Value, Version: a.Version}, time.Now())
	case strings.HasPrefix(a.Key, record.FinishedJobPrefix):
		var j record.FinishedJob
		if err := json.Unmarshal(a.Value, &j); err != nil {
			c.log.Error("final record", "key", a.Key, "err", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dependencyEnded(record.LastElement(a.Key), j, time.Now())
	}
}
