package controller

import (
	"encoding/json"
	"strings"
	"time"

	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// notifyOwner applies a transaction on jobs of a shard, which was committed at a revision, to this
// controller's views and shards. If another controller owns the shard, it sends that one the jobs'
// records in the background, ahead of the watch. It takes the shards' lock.
func (c *Controller) notifyOwner(shard int, written wire.Txn, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyOwnWritesLocked(written, revision, time.Now())
	owner := c.peers[c.cluster.Owner(shard)]
	if c.shards.GetLocked(shard) != nil || owner == nil {
		return
	}
	go c.sendJobRecords(owner, written, revision)
}

// sendJobRecords sends the records of active jobs that a transaction wrote to their owner.
func (c *Controller) sendJobRecords(owner peer.Caller, written wire.Txn, revision uint64) {
	for _, op := range written.Then {
		if !strings.HasPrefix(op.Put, record.ActiveJobPrefix) {
			continue
		}
		args := peer.NotifyArgs{Key: op.Put, Value: op.Value, Version: revision}
		if err := owner.Call("Nudge", args, new(struct{}), peerNoticeTimeout); err != nil {
			c.log.Debug("owner of a job not notified", "key", args.Key, "err", err) // its watch delivers the record
		}
	}
}

// ReceiveJobRecord implements peer.Handler: it applies a job's record, active or terminal, that the
// sender has just written. The notice may come late, also after the job's end. It takes the shards'
// lock.
//
// Upgrade: the first version applies records of active jobs only and ignores others.
func (c *Controller) ReceiveJobRecord(a peer.NotifyArgs) {
	switch {
	case strings.HasPrefix(a.Key, record.ActiveJobPrefix):
		c.mu.Lock()
		defer c.mu.Unlock()
		c.applyActiveJobAheadLocked(wire.Change{Put: a.Key, Value: a.Value, Version: a.Version}, time.Now())
	case strings.HasPrefix(a.Key, record.FinishedJobPrefix):
		var j record.FinishedJob
		if err := json.Unmarshal(a.Value, &j); err != nil {
			c.log.Error("malformed terminal record", "key", a.Key, "err", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.applyTerminalRecordLocked(record.LastElement(a.Key), j, time.Now())
	}
}
