package controller

import (
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// memberProcess adapts a Controller to membership.Process.
type memberProcess struct{ c *Controller }

var _ membership.Process = memberProcess{}

// newMember returns the membership component for this controller.
func (c *Controller) newMember() *membership.Member {
	return membership.NewMember(c.cfg.Label, c.currentStore, &c.lease, memberProcess{c}, c.log)
}

// Strained implements membership.Process.
func (p memberProcess) Strained() bool {
	return p.c.overload.Strained()
}

// Observe implements membership.Process.
func (p memberProcess) Observe() membership.Observation {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	now := time.Now()
	recorded, _ := p.c.cluster.Member(p.c.cfg.Label)
	return membership.Observation{
		At:       now,
		Status:   p.statusLocked(now),
		Recorded: recorded,
		ViewAsOf: p.c.cluster.AsOf(),
	}
}

// statusLocked returns the controller's health for its member record. The shards' lock is
// held.
func (p memberProcess) statusLocked(now time.Time) membership.Status {
	c := p.c
	withoutPeers := len(c.peers) > 0
	for label := range c.peers {
		if c.peerHealth.Contact(label).AnsweredWithin(membership.WithoutPeersAfter, now) {
			withoutPeers = false
		}
	}
	silence := config.Seconds(c.cfg.Params.Workers.HeartbeatS)*2 + time.Second
	withoutWorkers := c.machines.Len() > 0 && now.Sub(c.lastHeartbeatAt) > silence
	return membership.Status{
		WithoutPeers: withoutPeers,
		Isolated:     withoutPeers && withoutWorkers,
		Overloaded:   c.overload.Overloaded(),
	}
}

// FormatView implements membership.Process.
func (p memberProcess) FormatView(label string) membership.FormatView {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	return membership.FormatView{Loaded: p.c.cluster.Loaded(), Format: p.c.cluster.Format(label)}
}

// ApplyClusterChange implements membership.Process.
func (p memberProcess) ApplyClusterChange(change wire.Change, now time.Time) {
	p.c.applyClusterChange(change, now)
}

// Format implements peer.Handler: it returns the record format that this controller writes.
func (c *Controller) Format() int { return record.SizedRanges }

// Ping implements peer.Handler: it reports whether this controller reaches the state service. It
// takes the shards' lock.
func (c *Controller) Ping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseCertain(time.Now())
}

// leaseCertain reports whether this controller's member lease has certainly not expired.
func (c *Controller) leaseCertain(now time.Time) bool {
	return c.lease.Current().CertainlyValid(now)
}
