package controller

import (
	"context"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Defaults of who leads and who is heard.
const quietAfter = 15 * time.Second // and does not lead for this long

func (c *Controller) isLeader(now time.Time) bool {
	lease := c.lease.Current()
	leader := c.cluster.Leader().Rec
	return leader.Label == c.cfg.Label && leader.Incarnation == lease.Incarnation && lease.Incarnation != 0 && lease.Certain(now)
}

func (c *Controller) campaign(ctx context.Context, cur record.Versioned[record.Leader]) {
	lease := c.lease.Current()
	head := record.Leader{Label: c.cfg.Label, Incarnation: lease.Incarnation}
	rev, err := c.store.Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If:   []wire.Condition{{Key: record.LeaderKey, Version: cur.Version}},
		Then: []wire.Op{{Put: record.LeaderKey, Value: record.Encode(head), Lease: lease.ID}},
	})
	if err != nil {
		return
	}
	c.log.Info("elected leader")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cluster.SetLeader(head, rev)
}

// transferBack gives a part back to its home: whoever writes the record loses the
// token with it, so the core is dropped first. The lock is held.
func (c *Controller) transferBack(ctx context.Context, id int) {
	r, _ := c.cluster.Shard(id)
	home := c.preferredOwner(id)
	if c.shards[id] == nil || home == c.cfg.Label {
		return
	}
	go func() {
		_, err := c.store.Txn(ctx, statestore.Urgent("claim"), wire.Txn{
			If:   []wire.Condition{{Key: record.ShardKey(id), Version: r.Version}},
			Then: []wire.Op{{Put: record.ShardKey(id), Value: record.Encode(record.Shard{TransferTo: home})}},
		})
		c.log.Info("shard transferred back", "shard", id, "to", home, "err", err)
		c.rereadShardRecord(id)
	}()
}

// stepDown gives the lead up: nobody can be reached from here.
func (c *Controller) stepDown(ctx context.Context) {
	c.mu.Lock()
	version := c.cluster.Leader().Version
	c.quietUntil = time.Now().Add(quietAfter)
	c.duties.EndTermLocked()
	c.mu.Unlock()
	c.log.Info("stepping down as leader")
	if _, err := c.store.Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If: []wire.Condition{{Key: record.LeaderKey, Version: version}}, Then: []wire.Op{{Delete: record.LeaderKey}},
	}); err != nil {
		c.log.Info("leader record not deleted", "err", err)
	}
}
