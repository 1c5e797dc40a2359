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

// workerHost adapts a Controller to the interfaces of workerapi.
type workerHost struct{ c *Controller }

var (
	_ workerapi.ParkedResponder = workerHost{}
	_ workerapi.Process         = workerHost{}
)

// Behind implements workerapi.Process.
func (h workerHost) Behind() bool { return h.c.overload.Behind() }

// ActiveJobsStaleLocked implements workerapi.Process.
func (h workerHost) ActiveJobsStaleLocked(now time.Time) bool { return h.c.activeJobsStaleLocked(now) }

// maxRelayedLongPoll is the longest time for which the response to a relayed heartbeat may be
// parked. It is well below relayTimeout.
const maxRelayedLongPoll = 1200 * time.Millisecond

// heartbeatOutcome is the way in which a heartbeat is handled.
type heartbeatOutcome int

const (
	// renewInSafeMode means that the state service has lost data. The lease may be renewed, and
	// nothing else is done.
	renewInSafeMode heartbeatOutcome = iota
	// renewUnrecorded means that the machine has no record. Its lease is renewed if that is allowed.
	renewUnrecorded
	// redirectWorker means that the worker is sent to another controller.
	redirectWorker
	// serveHere means that the machine's shard is hosted here.
	serveHere
	// renewForOwner means that the owner cannot be reached. The lease is renewed on its behalf.
	renewForOwner
	// relayToOwner means that another controller owns the machine's shard, but the worker is to
	// report to this one, or it was redirected and has come back.
	relayToOwner
)

// heartbeatRoute is the decision on how a heartbeat is handled.
type heartbeatRoute struct {
	outcome heartbeatOutcome
	machine record.MachineView // the merged records of the machine, if it has any
	shard   *scheduler.Shard   // serveHere: the machine's shard
	to      string             // redirectWorker: the label of the controller to report to
	owner   string             // the label of the shard's owner, unless the shard is hosted here
	token   uint64             // the fencing token for renewing the lease for an owner; 0: none is known
}

// handleHeartbeat handles a worker's heartbeat. It returns the response and true, or false if
// respond will be called with the response later. It takes the shards' lock.
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
		c.log.Debug("heartbeat of a machine without a record", "machine", h.Machine)
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
		token := uint64(0) // this controller may have restarted while the state service is out of reach
		if c.dataLoss.Enabled() {
			token = h.Token // the record may be lost: the tasks are kept alive until that is known
		}
		return heartbeatRoute{outcome: renewUnrecorded, token: token}
	}
	if shard := c.shards.GetLocked(machine.Shard); shard != nil {
		return c.routeToOwnShardLocked(shard, machine, h, now)
	}
	return c.routeToOwnerLocked(machine, h, now)
}

// routeToOwnShardLocked decides how the heartbeat of a machine whose shard is hosted here is
// handled. The shards' lock is held.
func (c *Controller) routeToOwnShardLocked(shard *scheduler.Shard, machine record.MachineView, h *wire.Heartbeat, now time.Time) heartbeatRoute {
	if to := c.router.RedirectLocked(machine.Zone, h.Machine, c.cfg.Label, now); to != "" {
		return heartbeatRoute{outcome: redirectWorker, machine: machine, to: to}
	}
	return heartbeatRoute{outcome: serveHere, machine: machine, shard: shard}
}

// routeToOwnerLocked decides how the heartbeat of a machine whose shard another controller owns is
// handled. The shards' lock is held.
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

// redirectTo returns the response that redirects a worker to the controller with a label. An empty
// label makes the worker search for a controller.
func redirectTo(label string) transport.Response {
	return transport.Response{Status: 421, Body: wire.Redirect{Label: label}}
}

// serveOrParkLocked responds to a heartbeat of one of this controller's machines. If the response
// has no commands and may be parked, it parks it and returns false: respond is then called with
// the response later. The shards' lock is held.
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

// withoutCommands reports whether a response renews the lease and contains no commands.
func withoutCommands(response transport.Response) bool {
	orders, ok := response.Body.(wire.CommandBatch)
	return ok && len(orders.Commands) == 0
}

// relay relays a heartbeat to its machine's owner and responds with the owner's reply. If the owner
// does not reply, it redirects the worker or responds on the owner's behalf. It takes the shards'
// lock.
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

// redirectAfterRefusal returns the label of the controller to redirect a worker to after its owner
// refused a connection from this controller, or "" for none. The owner may still accept the
// worker's own connections. It takes the shards' lock.
func (c *Controller) redirectAfterRefusal(h *wire.Heartbeat, route heartbeatRoute) string {
	c.peerHealth.RecordRefusal(route.owner, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.router.RedirectLocked(route.machine.Zone, h.Machine, route.owner, time.Now())
}

// relayedResponse converts an owner's reply to a relayed heartbeat into the response to the worker.
func relayedResponse(reply *peer.HeartbeatReply) transport.Response {
	if reply.Status == 200 {
		return transport.Response{Status: 200, Body: reply.Orders}
	}
	return transport.Response{Status: reply.Status, RetryAfter: 1}
}

// longPollTimeoutLocked returns how long the response to a machine's heartbeat may be parked; 0 if
// it may not be parked. A strained controller parks no responses: each costs it a timer and another
// wake-up, while without parking a start is only delayed until the machine's next heartbeat. The
// shards' lock is held.
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

// serveHeartbeatLocked applies a heartbeat of one of this controller's machines and returns the
// response. The shards' lock is held.
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
		// The worker would drop a 200 response, and its lease would expire meanwhile.
		go c.shards.RereadOwnership(shard.ID())
		return redirectTo("")
	}
	return transport.Response{Status: 503, RetryAfter: 1}
}

// Report implements peer.Handler: it serves a heartbeat that another controller relays.
func (c *Controller) Report(h wire.Heartbeat) peer.HeartbeatReply {
	response, parked := c.serveRelayed(&h)
	if parked != nil {
		response = <-parked
	}
	return heartbeatReply(response)
}

// serveRelayed returns the response to a relayed heartbeat, or parks the response and returns the
// channel on which it will be sent. It takes the shards' lock.
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

// heartbeatReply converts the response to a worker into the reply to the relaying controller.
func heartbeatReply(response transport.Response) peer.HeartbeatReply {
	reply := peer.HeartbeatReply{Status: response.Status}
	if orders, ok := response.Body.(wire.CommandBatch); ok {
		reply.Orders = orders
	}
	return reply
}
