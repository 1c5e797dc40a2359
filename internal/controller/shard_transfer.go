package controller

import (
	"context"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// transferBackLocked transfers a shard back to its preferred owner, by a write of the ownership
// record in the background. The write invalidates this controller's fencing token; afterwards the
// record is read again, which drops the shard here. It does nothing if the shard is not hosted here
// or this controller is its preferred owner. The shards' lock is held.
func (c *Controller) transferBackLocked(ctx context.Context, id int) {
	r, _ := c.cluster.Shard(id)
	home := c.shards.PreferredOwner(id)
	if c.shards.GetLocked(id) == nil || home == c.cfg.Label {
		return
	}
	go func() {
		_, err := c.store.Txn(ctx, statestore.Urgent("claim"), wire.Txn{
			If:   []wire.Condition{{Key: record.ShardKey(id), Version: r.Version}},
			Then: []wire.Op{{Put: record.ShardKey(id), Value: record.Encode(record.Shard{TransferTo: home})}},
		})
		c.log.Info("shard transferred back", "shard", id, "to", home, "err", err)
		c.shards.RereadOwnership(id)
	}()
}
