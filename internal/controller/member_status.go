package controller

import (
	"context"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
)

const (
	// isolatedAfter is how long a controller must be without an answer from any other
	// to count as cut off from them.
	isolatedAfter = 4 * time.Second
	// memberSeen is how long a member record may take to show in its writer's view.
	memberSeen = 2 * time.Second
)

// memberStatus is what a controller's member record tells the others of how it serves.
type memberStatus struct {
	cutFromPeers bool // no other controller answers; Alone in the record
	cutFromAll   bool // nor does any worker report; Deaf in the record
	overloaded   bool // it does not keep up
}

// member returns the member record of an incarnation with that status.
func (s memberStatus) member(incarnation uint64) record.Member {
	return record.Member{Incarnation: incarnation, WithoutPeers: s.cutFromPeers, Isolated: s.cutFromAll, Overloaded: s.overloaded}
}

// statusNow returns this controller's status. The lock is held.
func (c *Controller) statusNow(now time.Time) memberStatus {
	s := memberStatus{cutFromPeers: len(c.peers) > 0, overloaded: c.overload.Overloaded()}
	for label := range c.peers {
		if c.peerHealth.Contact(label).AnsweredWithin(isolatedAfter, now) {
			s.cutFromPeers = false
		}
	}
	silent := config.Seconds(c.cfg.Params.Workers.ReportS)*2 + time.Second
	s.cutFromAll = s.cutFromPeers && c.machines.Len() > 0 && now.Sub(c.lastHeartbeatAt) > silent
	return s
}

// publishStatus keeps the member record's word on whom this controller is cut off from
// and whether it keeps up. One cut off from all is still the owner of its parts, but of no
// use to them. It also writes the record anew where the view shows another or none: one of
// this label's last process may have come late, and goes with that one's lease.
func (c *Controller) publishStatus(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	status := c.statusNow(now)
	lease := c.lease.Current()
	rec := status.member(lease.Incarnation)
	seen, _ := c.cluster.Member(c.cfg.Label)
	lost := seen != rec && c.cluster.AsOf().Sub(c.memberPut) > 0 && now.Sub(c.memberPut) > memberSeen
	change := (status != c.status || lost) && lease.Certain(now)
	c.mu.Unlock()
	if !change {
		return
	}
	if c.putMember(ctx, rec, lease.ID) != nil {
		return
	}
	c.mu.Lock()
	c.status = status
	c.mu.Unlock()
	c.log.Info("member status", "cut_from_peers", status.cutFromPeers, "cut_from_all", status.cutFromAll, "overloaded", status.overloaded)
}
