package controller

import (
	"context"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
)

const (
	// isolatedAfter is how long a controller must be without an answer from any other
	// to count as isolated from them.
	isolatedAfter = 4 * time.Second
	// memberSeen is how long a member record may take to show in its writer's view.
	memberSeen = 2 * time.Second
)

// isolation is from whom a controller is cut off, as its member record tells the others.
type isolation struct {
	fromPeers bool // no other controller answers; Alone in the record
	fromAll   bool // nor does any worker report; Deaf in the record
}

// member returns the member record of an incarnation that is isolated so.
func (i isolation) member(incarnation uint64) record.Member {
	return record.Member{Incarnation: incarnation, Alone: i.fromPeers, Deaf: i.fromAll}
}

// isolatedNow returns from whom this controller is cut off. The lock is held.
func (c *Controller) isolatedNow(now time.Time) isolation {
	i := isolation{fromPeers: len(c.peers) > 0}
	for label := range c.peers {
		if c.peerHealth.contact(label).answeredWithin(isolatedAfter, now) {
			i.fromPeers = false
		}
	}
	silent := config.Seconds(c.cfg.Params.Workers.ReportS)*2 + time.Second
	i.fromAll = i.fromPeers && c.fleet.Len() > 0 && now.Sub(c.lastReportAt) > silent
	return i
}

// publishIsolation keeps the member record's word on whom this controller is cut off
// from. One cut off from all is still the owner of its parts, but of no use to them. It
// also writes the record anew where the view shows another or none: one of this label's
// last process may have come late, and goes with that one's lease.
func (c *Controller) publishIsolation(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	isolated := c.isolatedNow(now)
	lease := c.lease.current()
	rec := isolated.member(lease.incarnation)
	lost := c.members[c.cfg.Label] != rec && c.viewAt.Sub(c.memberPut) > 0 && now.Sub(c.memberPut) > memberSeen
	change := (isolated != c.isolation || lost) && lease.certain(now)
	c.mu.Unlock()
	if !change {
		return
	}
	if c.putMember(ctx, rec, lease.id) != nil {
		return
	}
	c.mu.Lock()
	c.isolation = isolated
	c.mu.Unlock()
	c.log.Info("isolation", "from_peers", isolated.fromPeers, "from_all", isolated.fromAll)
}
