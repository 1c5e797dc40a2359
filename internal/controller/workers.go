package controller

import (
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"bramblespur/internal/controller/messagecheck"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/controller/workerapi"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// workerHost is the controller as the parts that serve workers see it.
type workerHost struct{ c *Controller }

var (
	_ workerapi.ParkedResponder = workerHost{}
	_ workerapi.Process         = workerHost{}
)

// Behind implements workerapi.Process.
func (h workerHost) Behind() bool { return h.c.overload.Behind() }

// ActiveJobsStaleLocked implements workerapi.Process.
func (h workerHost) ActiveJobsStaleLocked(now time.Time) bool { return h.c.activeJobsStale(now) }

func (c *Controller) handleHeartbeat(req httpwire.Request, answer func(transport.Response)) (transport.Response, bool) {
	var r wire.Heartbeat
	err := json.Unmarshal(req.Body, &r)
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		c.rejections.Reject("heartbeat", r.Machine, err)
		return transport.Response{Status: 400}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.lastHeartbeatAt = now
	if c.dataLoss.ActiveLocked() {
		return c.dataLoss.RenewLocked(&r), true
	}
	c.dataLoss.CheckTokenLocked(&r)
	m, known := c.machines.Machine(r.Machine)
	if !known {
		c.log.Debug("report of an unknown machine", "machine", r.Machine)
		c.staleReads.InvestigateMachineLocked(&r)
		token := uint64(0) // restarted while the state service is out of reach
		if c.dataLoss.Enabled() {
			token = r.Token // its record may be lost: its tasks live until that is known
		}
		go c.answerForOwner(&r, token, answer)
		return transport.Response{}, false
	}
	if shard := c.shards[m.Shard]; shard != nil {
		if to := c.router.RedirectLocked(m.Zone, r.Machine, c.cfg.Label, now); to != "" {
			return transport.Response{Status: 421, Body: wire.Redirect{Label: to}}, true
		}
		rep := c.ownReport(shard, &r, now)
		if o, ok := rep.Body.(wire.Orders); ok && len(o.Commands) == 0 {
			if d := c.longPollTimeout(shard, r.Machine, now); d > 0 {
				c.longPolls.ParkLocked(shard, r.Machine, d, answer)
				return transport.Response{}, false
			}
		}
		return rep, true
	}
	part, _ := c.cluster.Shard(m.Shard)
	owner := part.Rec.Owner
	peerc := c.peers[owner]
	token := max(part.Version, m.Version)
	_, lives := c.cluster.Member(owner)
	if peerc != nil && lives && c.router.MayRedirectLocked(&r, owner, now) {
		if to := c.router.RedirectLocked(m.Zone, r.Machine, owner, now); to != "" {
			return transport.Response{Status: 421, Body: wire.Redirect{Label: to}}, true
		}
	}
	if peerc == nil || !lives || !c.peerHealth.Contact(owner).Reachable(now) {
		c.log.Debug("report kept", "machine", r.Machine, "owner", owner, "lives", lives)
		go c.answerForOwner(&r, token, answer)
		return transport.Response{}, false
	}
	go c.relay(&r, m, owner, token, answer) // its place is here, or it was sent on and has come back
	return transport.Response{}, false
}

// relay answers a report with what its machine's owner says.
func (c *Controller) relay(r *wire.Heartbeat, m record.MachineView, owner string, token uint64, answer func(transport.Response)) {
	var rr peer.HeartbeatReply
	err := c.peers[owner].Call("Report", *r, &rr, relayTimeout)
	err = c.messages.Reply("reply to a relayed heartbeat", owner, err, func() error { return messagecheck.HeartbeatReply(&rr) })
	if err == nil {
		rep := transport.Response{Status: rr.Status, RetryAfter: 1}
		if rr.Status == 200 {
			rep = transport.Response{Status: 200, Body: rr.Orders}
		}
		answer(rep)
		return
	}
	c.log.Debug("report not relayed", "machine", r.Machine, "owner", owner, "err", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.peerHealth.RecordRefusal(owner, time.Now())
		c.mu.Lock()
		to := c.router.RedirectLocked(m.Zone, r.Machine, owner, time.Now())
		c.mu.Unlock()
		if to != "" {
			answer(transport.Response{Status: 421, Body: wire.Redirect{Label: to}})
			return
		}
	}
	c.answerForOwner(r, token, answer)
}

// longPollTimeout returns how long the response to a machine's heartbeat may be parked. A
// strained controller parks none: each costs it a timer and another wake-up, while a start
// only waits for the machine's next heartbeat. The shards' lock is held.
func (c *Controller) longPollTimeout(shard *scheduler.Shard, machine string, now time.Time) time.Duration {
	if c.overload.Strained() {
		return 0
	}
	return shard.LongPollTimeout(machine, now)
}

// ParkedResponseLocked implements workerapi.ParkedResponder.
func (h workerHost) ParkedResponseLocked(shard *scheduler.Shard, machine string, now time.Time) transport.Response {
	c := h.c
	if c.shards[shard.ID()] == shard {
		c.refreshAuthority(shard, now)
		if orders, ok := shard.ParkedOrders(machine, now); ok {
			return transport.Response{Status: 200, Body: orders}
		}
	}
	return transport.Response{Status: 503, RetryAfter: 1}
}

// ownReport answers a report of one of our machines. The lock is held.
func (c *Controller) ownReport(shard *scheduler.Shard, r *wire.Heartbeat, now time.Time) transport.Response {
	if to, look := c.router.BetterControllerLocked(r.Machine, now); look {
		return transport.Response{Status: 421, Body: wire.Redirect{Label: to}}
	}
	c.refreshAuthority(shard, now)
	orders, verdict := shard.Heartbeat(r, false, now)
	c.step(shard, now)
	switch verdict {
	case scheduler.Answered:
		return transport.Response{Status: 200, Body: orders}
	case scheduler.Deposed:
		// A 200 would be dropped by the worker while its lease runs out.
		go c.rereadShardRecord(shard.ID())
		return transport.Response{Status: 421, Body: wire.Redirect{}}
	}
	return transport.Response{Status: 503, RetryAfter: 1}
}

// Report implements peer.Handler: a report relayed by another controller.
func (c *Controller) Report(r wire.Heartbeat) peer.HeartbeatReply {
	c.mu.Lock()
	now := time.Now()
	m, known := c.machines.Machine(r.Machine)
	shard := c.shards[m.Shard]
	if !known || shard == nil {
		c.mu.Unlock()
		return peer.HeartbeatReply{Status: 503}
	}
	rep := c.ownReport(shard, &r, now)
	if o, ok := rep.Body.(wire.Orders); ok && len(o.Commands) == 0 {
		if d := min(c.longPollTimeout(shard, r.Machine, now), relayHold); d > 0 {
			done := make(chan transport.Response, 1)
			c.longPolls.ParkLocked(shard, r.Machine, d, func(r transport.Response) { done <- r })
			c.mu.Unlock()
			return relayed(<-done)
		}
	}
	c.mu.Unlock()
	return relayed(rep)
}

func relayed(rep transport.Response) peer.HeartbeatReply {
	out := peer.HeartbeatReply{Status: rep.Status}
	if o, ok := rep.Body.(wire.Orders); ok {
		out.Orders = o
	}
	return out
}

// relayHold is how long an answer to a relayed report may be held, well below
// relayTimeout.
const relayHold = 1200 * time.Millisecond
