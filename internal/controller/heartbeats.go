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

// maxRelayedLongPoll is how long the response to a relayed heartbeat may be parked, well
// below relayTimeout.
const maxRelayedLongPoll = 1200 * time.Millisecond

// heartbeatOutcome is what is done with a heartbeat.
type heartbeatOutcome int

const (
	// renewInSafeMode: the state service has lost data; leases are renewed at most.
	renewInSafeMode heartbeatOutcome = iota
	// renewUnrecorded: the machine has no record; its lease is renewed if it may be.
	renewUnrecorded
	// redirectWorker: the worker is sent to another controller.
	redirectWorker
	// serveHere: the machine's shard is hosted here.
	serveHere
	// renewForOwner: the owner can't be reached; the lease is renewed on its behalf.
	renewForOwner
	// relayToOwner: the worker's place is here, or it was redirected and has come back,
	// while the shard is another's.
	relayToOwner
)

// heartbeatRoute is how a heartbeat is handled.
type heartbeatRoute struct {
	outcome heartbeatOutcome
	machine record.MachineView // of a machine with a record
	shard   *scheduler.Shard   // serveHere: the machine's
	to      string             // redirectWorker: the controller
	owner   string             // of the machine's shard, unless that is hosted here
	token   uint64             // under which the lease may be renewed for an owner; 0: none is known
}

// handleHeartbeat responds to a worker's heartbeat, at once or by respond.
func (c *Controller) handleHeartbeat(req httpwire.Request, respond func(transport.Response)) (transport.Response, bool) {
	var h wire.Heartbeat
	err := json.Unmarshal(req.Body, &h)
	if err == nil {
		err = h.Check()
	}
	if err != nil {
		c.rejections.Reject("heartbeat", h.Machine, err)
		return transport.Response{Status: 400}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.lastHeartbeatAt = now
	route := c.routeHeartbeatLocked(&h, now)
	switch route.outcome {
	case renewInSafeMode:
		return c.dataLoss.RenewLocked(&h), true
	case redirectWorker:
		return redirectTo(route.to), true
	case serveHere:
		return c.serveOrParkLocked(route.shard, &h, respond, now)
	case relayToOwner:
		go c.relay(&h, route, respond)
	case renewUnrecorded:
		c.log.Debug("heartbeat of an unknown machine", "machine", h.Machine)
		c.staleReads.InvestigateMachineLocked(&h)
		go c.respondForOwner(&h, route.token, respond)
	case renewForOwner:
		c.log.Debug("heartbeat not relayed to an owner out of reach", "machine", h.Machine, "owner", route.owner)
		go c.respondForOwner(&h, route.token, respond)
	}
	return transport.Response{}, false
}

// routeHeartbeatLocked decides how a heartbeat is handled. The shards' lock is held.
func (c *Controller) routeHeartbeatLocked(h *wire.Heartbeat, now time.Time) heartbeatRoute {
	if c.dataLoss.ActiveLocked() {
		return heartbeatRoute{outcome: renewInSafeMode}
	}
	c.dataLoss.CheckTokenLocked(h)
	machine, recorded := c.machines.Machine(h.Machine)
	if !recorded {
		token := uint64(0) // restarted while the state service is out of reach
		if c.dataLoss.Enabled() {
			token = h.Token // its record may be lost: its tasks live until that is known
		}
		return heartbeatRoute{outcome: renewUnrecorded, token: token}
	}
	if shard := c.shards.GetLocked(machine.Shard); shard != nil {
		return c.routeToOwnShardLocked(shard, machine, h, now)
	}
	return c.routeToOwnerLocked(machine, h, now)
}

// routeToOwnShardLocked decides on the heartbeat of a machine whose shard is hosted here.
func (c *Controller) routeToOwnShardLocked(shard *scheduler.Shard, machine record.MachineView, h *wire.Heartbeat, now time.Time) heartbeatRoute {
	if to := c.router.RedirectLocked(machine.Zone, h.Machine, c.cfg.Label, now); to != "" {
		return heartbeatRoute{outcome: redirectWorker, machine: machine, to: to}
	}
	return heartbeatRoute{outcome: serveHere, machine: machine, shard: shard}
}

// routeToOwnerLocked decides on the heartbeat of a machine whose shard is another's.
func (c *Controller) routeToOwnerLocked(machine record.MachineView, h *wire.Heartbeat, now time.Time) heartbeatRoute {
	shard, _ := c.cluster.Shard(machine.Shard)
	owner := shard.Rec.Owner
	_, alive := c.cluster.Member(owner)
	served := alive && c.peers[owner] != nil
	route := heartbeatRoute{outcome: relayToOwner, machine: machine, owner: owner, token: max(shard.Version, machine.Version)}
	if served && c.router.MayRedirectLocked(h, owner, now) {
		if to := c.router.RedirectLocked(machine.Zone, h.Machine, owner, now); to != "" {
			route.outcome, route.to = redirectWorker, to
			return route
		}
	}
	if !served || !c.peerHealth.Contact(owner).Reachable(now) {
		route.outcome = renewForOwner
	}
	return route
}

// redirectTo returns the response that sends a worker to another controller; with none it
// is to search for one.
func redirectTo(label string) transport.Response {
	return transport.Response{Status: 421, Body: wire.Redirect{Label: label}}
}

// serveOrParkLocked responds to a heartbeat of one of this controller's machines, or parks
// the response while it would bring no commands. The shards' lock is held.
func (c *Controller) serveOrParkLocked(shard *scheduler.Shard, h *wire.Heartbeat, respond func(transport.Response), now time.Time) (transport.Response, bool) {
	response := c.serveHeartbeatLocked(shard, h, now)
	if !withoutCommands(response) {
		return response, true
	}
	timeout := c.longPollTimeoutLocked(shard, h.Machine, now)
	if timeout <= 0 {
		return response, true
	}
	c.longPolls.ParkLocked(shard, h.Machine, timeout, respond)
	return transport.Response{}, false
}

// withoutCommands reports whether a response renews the lease and brings no commands.
func withoutCommands(response transport.Response) bool {
	orders, ok := response.Body.(wire.Orders)
	return ok && len(orders.Commands) == 0
}

// relay responds to a heartbeat with what its machine's owner says, or on the owner's
// behalf where that does not reply. It takes the shards' lock.
func (c *Controller) relay(h *wire.Heartbeat, route heartbeatRoute, respond func(transport.Response)) {
	var reply peer.HeartbeatReply
	err := c.peers[route.owner].Call("Report", *h, &reply, relayTimeout)
	err = c.messages.Reply("reply to a relayed heartbeat", route.owner, err, func() error { return messagecheck.HeartbeatReply(&reply) })
	if err == nil {
		respond(relayedResponse(&reply))
		return
	}
	c.log.Debug("heartbeat not relayed", "machine", h.Machine, "owner", route.owner, "err", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		if to := c.redirectAfterRefusal(h, route); to != "" {
			respond(redirectTo(to))
			return
		}
	}
	c.respondForOwner(h, route.token, respond)
}

// redirectAfterRefusal returns where a worker is sent whose owner refuses connections from
// here, which says nothing of the worker's. It takes the shards' lock.
func (c *Controller) redirectAfterRefusal(h *wire.Heartbeat, route heartbeatRoute) string {
	c.peerHealth.RecordRefusal(route.owner, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.router.RedirectLocked(route.machine.Zone, h.Machine, route.owner, time.Now())
}

// relayedResponse returns the response to a worker that an owner's reply stands for.
func relayedResponse(reply *peer.HeartbeatReply) transport.Response {
	if reply.Status == 200 {
		return transport.Response{Status: 200, Body: reply.Orders}
	}
	return transport.Response{Status: reply.Status, RetryAfter: 1}
}

// longPollTimeoutLocked returns how long the response to a machine's heartbeat may be parked. A
// strained controller parks none: each costs it a timer and another wake-up, while a start
// only waits for the machine's next heartbeat. The shards' lock is held.
func (c *Controller) longPollTimeoutLocked(shard *scheduler.Shard, machine string, now time.Time) time.Duration {
	if c.overload.Strained() {
		return 0
	}
	return shard.LongPollTimeout(machine, now)
}

// ParkedResponseLocked implements workerapi.ParkedResponder.
func (h workerHost) ParkedResponseLocked(shard *scheduler.Shard, machine string, now time.Time) transport.Response {
	c := h.c
	if c.shards.GetLocked(shard.ID()) == shard {
		c.shards.RefreshAuthorityLocked(shard, now)
		if orders, ok := shard.ParkedResponse(machine, now); ok {
			return transport.Response{Status: 200, Body: orders}
		}
	}
	return transport.Response{Status: 503, RetryAfter: 1}
}

// serveHeartbeatLocked responds to a heartbeat of one of this controller's machines. The
// shards' lock is held.
func (c *Controller) serveHeartbeatLocked(shard *scheduler.Shard, h *wire.Heartbeat, now time.Time) transport.Response {
	if to, look := c.router.BetterControllerLocked(h.Machine, now); look {
		return redirectTo(to)
	}
	c.shards.RefreshAuthorityLocked(shard, now)
	orders, verdict := shard.Heartbeat(h, false, now)
	c.shards.StepLocked(shard, now)
	switch verdict {
	case scheduler.Answered:
		return transport.Response{Status: 200, Body: orders}
	case scheduler.Deposed:
		// A 200 would be dropped by the worker while its lease expires.
		go c.shards.RereadOwnership(shard.ID())
		return redirectTo("")
	}
	return transport.Response{Status: 503, RetryAfter: 1}
}

// Report implements peer.Handler: a heartbeat relayed by another controller.
func (c *Controller) Report(h wire.Heartbeat) peer.HeartbeatReply {
	response, parked := c.serveRelayed(&h)
	if parked != nil {
		response = <-parked
	}
	return heartbeatReply(response)
}

// serveRelayed responds to a relayed heartbeat, or parks the response and returns the
// channel that it will be sent on. It takes the shards' lock.
func (c *Controller) serveRelayed(h *wire.Heartbeat) (transport.Response, <-chan transport.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	machine, recorded := c.machines.Machine(h.Machine)
	shard := c.shards.GetLocked(machine.Shard)
	if !recorded || shard == nil {
		return transport.Response{Status: 503}, nil
	}
	response := c.serveHeartbeatLocked(shard, h, now)
	if !withoutCommands(response) {
		return response, nil
	}
	timeout := min(c.longPollTimeoutLocked(shard, h.Machine, now), maxRelayedLongPoll)
	if timeout <= 0 {
		return response, nil
	}
	done := make(chan transport.Response, 1)
	c.longPolls.ParkLocked(shard, h.Machine, timeout, func(r transport.Response) { done <- r })
	return transport.Response{}, done
}

// heartbeatReply returns the reply to the relaying controller that a response stands for.
func heartbeatReply(response transport.Response) peer.HeartbeatReply {
	reply := peer.HeartbeatReply{Status: response.Status}
	if orders, ok := response.Body.(wire.Orders); ok {
		reply.Orders = orders
	}
	return reply
}
