package controller

import (
	"encoding/json"
	"strings"
	"time"

	"bramblespur/internal/controller/messagecheck"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

const (
	// userTimeout bounds the work on one user request: a user waits 2 s for a
	// poll, and what can't be taken is to be said soon.
	userTimeout     = 1500 * time.Millisecond
	statusQueryWait = 2 * time.Second // a user's for the answer to a poll
	requestWait     = 5 * time.Second // and to a submission or a cancellation
	statusTimeout   = 400 * time.Millisecond
)

// serveUserRequest answers a user's request. One that can't be served for want of the
// state service, or of this controller's part of its limits, is passed on to a
// controller that reaches it, if its answer can still come in time: else it would
// cost that controller's part as well, for nobody.
func (c *Controller) serveUserRequest(req httpwire.Request) transport.Response {
	begun, wait := time.Now(), requestWait
	if req.Method == "GET" {
		wait = statusQueryWait
	}
	work, no := c.route(req)
	if !no.IsZero() {
		return no
	}
	if c.dataLoss.Active() {
		return work()
	}
	if c.leaseOverdue() {
		if r, ok := c.forward(req); ok {
			return r
		}
		return work()
	}
	r := work()
	if r.Status == 503 && !r.Authoritative && time.Since(begun)+userTimeout <= wait {
		if other, ok := c.forward(req); ok {
			return other
		}
	}
	return r
}

// resource is what users submit, poll and cancel under a path.
type resource struct {
	submit         func(body []byte) transport.Response
	status, cancel func(ref string) transport.Response
}

// route finds the work that a request asks for, or the answer to one that asks
// for none.
func (c *Controller) route(req httpwire.Request) (work func() transport.Response, no transport.Response) {
	for path, r := range map[string]resource{
		wire.JobsPath:      {c.submit, c.statusQuery, c.cancel},
		wire.PipelinesPath: {c.submitPipeline, c.pipelineStatusQuery, c.cancelPipeline},
	} {
		if req.Path == path {
			if req.Method != "POST" {
				return nil, transport.Response{Status: 405}
			}
			return func() transport.Response { return r.submit(req.Body) }, transport.Response{}
		}
		rest, ok := strings.CutPrefix(req.Path, path+"/")
		if !ok {
			continue
		}
		ref, action, sub := strings.Cut(rest, "/")
		switch {
		case sub && action != wire.CancelWord:
			return nil, transport.Response{Status: 404}
		case sub && req.Method == "POST":
			return func() transport.Response { return r.cancel(ref) }, transport.Response{}
		case !sub && req.Method == "GET":
			return func() transport.Response { return r.status(ref) }, transport.Response{}
		default:
			return nil, transport.Response{Status: 405}
		}
	}
	return nil, transport.Response{Status: 404}
}

// leaseOverdue reports whether the lease's last renewal is so old that the state
// service may be out of reach.
func (c *Controller) leaseOverdue() bool {
	return c.lease.Current().Overdue(time.Now())
}

// forward lets another controller that lately reached the state service serve a
// request. It reports false when there is none or it can't either.
func (c *Controller) forward(req httpwire.Request) (transport.Response, bool) {
	c.mu.Lock()
	now := time.Now()
	var best peer.Caller
	for label, p := range c.peers { // any order: they are all as good
		if contact := c.peerHealth.Contact(label); contact.ReachesStateService(now) && contact.Answers(now) {
			best = p
			break
		}
	}
	c.mu.Unlock()
	if best == nil {
		return transport.Response{}, false
	}
	var r peer.UserReply
	err := best.Call("User", peer.UserArgs{Method: req.Method, Path: req.Path, Body: req.Body}, &r, userTimeout)
	if err = c.messages.Reply("reply to a forwarded request", "a controller", err, func() error { return messagecheck.UserReply(&r) }); err != nil {
		c.log.Debug("request passed on", "path", req.Path, "err", err)
		return transport.Response{}, false
	}
	out := transport.Response{Status: r.Status, RetryAfter: r.RetryAfter}
	if len(r.Body) > 0 {
		out.Body = json.RawMessage(r.Body)
	}
	return out, r.Status != 0 && r.Status != 503
}

// User implements peer.Handler: a request passed on is served here or not at all.
func (c *Controller) User(a peer.UserArgs) peer.UserReply {
	r := transport.Response{Status: 503, RetryAfter: transport.RetryAfter}
	if !c.leaseOverdue() {
		work, no := c.route(httpwire.Request{Method: a.Method, Path: a.Path, Body: a.Body})
		if r = no; no.IsZero() {
			r = work()
		}
	}
	out := peer.UserReply{Status: r.Status, RetryAfter: r.RetryAfter}
	if r.Body != nil {
		out.Body = record.Encode(r.Body)
	}
	return out
}

func retryReply() transport.Response {
	return transport.Response{Status: 503, RetryAfter: transport.RetryAfter}
}

// leaseLost reports whether the state service could not be reached for a while, or has lost
// data: what needs it is refused at once then.
func (c *Controller) leaseLost() bool {
	return c.lease.Current().Lost(time.Now()) || c.dataLoss.Active()
}
