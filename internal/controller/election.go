package controller

import (
	"context"
	"sync"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Defaults of who leads and who is heard.
const (
	standAside  = 4 * time.Second // a leader that reaches nobody gives up after this
	pingTimeout = 900 * time.Millisecond
	quietAfter  = 15 * time.Second // and does not lead for this long
)

func (c *Controller) isLeader(now time.Time) bool {
	lease := c.lease.Current()
	return c.leader.rec.Label == c.cfg.Label && c.leader.rec.Incarnation == lease.Incarnation && lease.Incarnation != 0 && lease.Certain(now)
}

// pingPeers learns which controllers answer, and whether they reach the state
// service.
func (c *Controller) pingPeers() {
	var wg sync.WaitGroup
	for label, p := range c.peers {
		wg.Go(func() {
			var ok bool
			err := p.Call("Ping", c.cfg.Label, &ok, pingTimeout)
			c.peerHealth.RecordCall(label, err, ok, time.Now())
		})
	}
	wg.Wait()
}

// Ping implements peer.Handler.
func (c *Controller) Ping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sure(time.Now())
}

func (c *Controller) campaign(ctx context.Context, cur versioned[record.Leader]) {
	lease := c.lease.Current()
	head := record.Leader{Label: c.cfg.Label, Incarnation: lease.Incarnation}
	rev, err := c.store.Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If:   []wire.Cond{{Key: record.LeaderKey, Version: cur.version}},
		Then: []wire.Op{{Put: record.LeaderKey, Value: record.Encode(head), Lease: lease.ID}},
	})
	if err != nil {
		return
	}
	c.log.Info("elected leader")
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev > c.leader.version {
		c.leader = versioned[record.Leader]{head, rev}
	}
}

// transferBack gives a part back to its home: whoever writes the record loses the
// token with it, so the core is dropped first. The lock is held.
func (c *Controller) transferBack(ctx context.Context, id int) {
	r := c.shardRecords[id]
	home := c.preferredOwner(id)
	if c.shards[id] == nil || home == c.cfg.Label {
		return
	}
	go func() {
		_, err := c.store.Txn(ctx, statestore.Urgent("claim"), wire.Txn{
			If:   []wire.Cond{{Key: record.ShardKey(id), Version: r.version}},
			Then: []wire.Op{{Put: record.ShardKey(id), Value: record.Encode(record.Shard{TransferTo: home})}},
		})
		c.log.Info("shard transferred back", "shard", id, "to", home, "err", err)
		c.rereadShardRecord(id)
	}()
}

// reassignShards looks at who owns what: parts of deaf owners are to be claimed by
// somebody who hears, those of overloaded ones by somebody who keeps up, and parts
// away from a stable home go back. An owner that only
// the leader can't reach keeps its parts: between two zones cut off from each
// other there is nothing to gain. It also tells whether this leader is the one
// that is cut off.
func (c *Controller) reassignShards(ctx context.Context, now time.Time) (claims, hand map[string][]int, alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claims, hand = map[string][]int{}, map[string][]int{}
	reach := []string{c.cfg.Label}
	for label, m := range c.members {
		if label != c.cfg.Label && !m.Isolated && c.peerHealth.Contact(label).Reachable(now) {
			reach = append(reach, label)
		}
	}
	if c.status.cutFromAll || (len(reach) == 1 && c.othersMeet() && now.Sub(c.leadership.started) > standAside) ||
		(c.pressure.behind && c.someoneHasRoom(reach, now)) {
		return nil, nil, true
	}
	owners := map[int]string{}
	for id, r := range c.shardRecords {
		owners[id] = r.rec.Owner
	}
	relief := c.rebalance(reach, owners, now)
	for id, r := range c.shardRecords {
		owner, home := r.rec.Owner, c.preferredOwner(id)
		m, lives := c.members[owner]
		to := ""
		switch {
		case lives && m.Isolated && owner != c.cfg.Label:
			to = fleet.ChooseOwner(reach, owners, "")
		case relief.to != "" && relief.part == id:
			to = relief.to
		}
		if to != "" {
			if to == c.cfg.Label {
				if !c.acquiring[id] {
					c.acquire(ctx, id)
				}
			} else {
				claims[to] = append(claims[to], id)
			}
			continue
		}
		if owner == home || !lives {
			continue
		}
		switch atHome := c.peerHealth.Contact(home); {
		case home == c.cfg.Label:
			if now.Sub(c.leadership.started) > preferredOwnerStable && c.keepsUp(home, now) {
				hand[owner] = append(hand[owner], id)
			}
		case atHome.AnsweringFor(now) < preferredOwnerStable || !atHome.Reachable(now) || !atHome.ReachesStateService(now) || c.members[home].Isolated || c.members[home].Incarnation == 0,
			!c.keepsUp(home, now):
			// One that answers but is refused by the state service could not
			// claim its part, and another would, for ever in turn. One that does not
			// keep up would lose it again.
		case owner == c.cfg.Label:
			c.transferBack(ctx, id)
		default:
			hand[owner] = append(hand[owner], id)
		}
	}
	return claims, hand, false
}

// othersMeet reports whether other controllers hear each other: then one of
// them leads better than a leader that hears none. When all are alone, as when
// connections between controllers are refused, nobody would.
func (c *Controller) othersMeet() bool {
	n := 0
	for label, m := range c.members {
		if label != c.cfg.Label && !m.WithoutPeers {
			n++
		}
	}
	return n > 1
}

// stepDown gives the lead up: nobody can be reached from here.
func (c *Controller) stepDown(ctx context.Context) {
	c.mu.Lock()
	version := c.leader.version
	c.quietUntil = time.Now().Add(quietAfter)
	c.leadership = nil
	c.mu.Unlock()
	c.log.Info("stepping down as leader")
	if _, err := c.store.Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If: []wire.Cond{{Key: record.LeaderKey, Version: version}}, Then: []wire.Op{{Delete: record.LeaderKey}},
	}); err != nil {
		c.log.Info("leader record not deleted", "err", err)
	}
}
