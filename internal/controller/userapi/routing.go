package userapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// ForwardedRequest is a user's request that another controller is to serve.
type ForwardedRequest struct {
	Method, Path string
	Body         []byte
}

// ForwardedResponse is its response, the body as it was encoded there.
type ForwardedResponse struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds
}

// ErrNoController says that there is no controller to forward a request to.
var ErrNoController = errors.New("no other controller reaches the state service")

// operation is the work that a request asks for.
type operation func() transport.Response

// resource is what users submit, query and cancel under a path.
type resource struct {
	path          string
	submit        func(body []byte) transport.Response
	query, cancel func(ref string) transport.Response
}

// routes returns the resources that the API serves.
func (a *API) routes() []resource {
	return []resource{{
		path:   wire.JobsPath,
		submit: func(body []byte) transport.Response { return respondAccepted(a.SubmitJob(body)) },
		query: func(ref string) transport.Response {
			status, err := a.QueryJob(ref)
			return respond(http.StatusOK, status, err)
		},
		cancel: func(ref string) transport.Response {
			brief, err := a.CancelJob(ref)
			return respond(http.StatusOK, brief, err)
		},
	}, {
		path:   wire.PipelinesPath,
		submit: func(body []byte) transport.Response { return respondAccepted(a.SubmitPipeline(body)) },
		query: func(ref string) transport.Response {
			status, err := a.QueryPipeline(ref)
			return respond(http.StatusOK, status, err)
		},
		cancel: func(ref string) transport.Response {
			brief, err := a.CancelPipeline(ref)
			return respond(http.StatusOK, brief, err)
		},
	}}
}

// respondAccepted is the response to a submission.
func respondAccepted(accepted Acceptance, err error) transport.Response {
	status := http.StatusOK
	if accepted.New {
		status = http.StatusCreated
	}
	return respond(status, accepted.Brief, err)
}

// Serve answers a user's request. One that can't be served for want of the state service,
// or of this controller's share of its limits, is forwarded to a controller that reaches
// it, if its answer can still come in time: else it would cost that controller's share as
// well, for nobody.
func (a *API) Serve(req httpwire.Request) transport.Response {
	begun := time.Now()
	serve, err := a.route(&req)
	if err != nil {
		return respond(0, nil, err)
	}
	if a.cluster.InSafeMode() {
		return serve()
	}
	if a.cluster.LeaseOverdue() {
		if forwarded, ok := a.forward(&req); ok {
			return forwarded
		}
		return serve()
	}
	response := serve()
	if canForward(&response, time.Since(begun), userWait(req.Method)) {
		if forwarded, ok := a.forward(&req); ok {
			return forwarded
		}
	}
	return response
}

// canForward reports whether another controller may answer better than a response says, and
// in time.
func canForward(response *transport.Response, elapsed, wait time.Duration) bool {
	return response.Status == http.StatusServiceUnavailable && !response.Authoritative && elapsed+RequestTimeout <= wait
}

// userWait is how long a user waits for the answer to a request.
func userWait(method string) time.Duration {
	if method == http.MethodGet {
		return statusQueryWait
	}
	return changeWait
}

// ServeForwarded answers a request that another controller forwarded. It is served here or
// not at all.
func (a *API) ServeForwarded(req ForwardedRequest) ForwardedResponse {
	response := RetryLater()
	if !a.cluster.LeaseOverdue() {
		response = a.ServeLocally(httpwire.Request{Method: req.Method, Path: req.Path, Body: req.Body})
	}
	out := ForwardedResponse{Status: response.Status, RetryAfter: response.RetryAfter}
	if response.Body != nil {
		out.Body = record.Encode(response.Body)
	}
	return out
}

// ServeLocally answers a request without any other controller.
func (a *API) ServeLocally(req httpwire.Request) transport.Response {
	serve, err := a.route(&req)
	if err != nil {
		return respond(0, nil, err)
	}
	return serve()
}

// route finds the operation that a request asks for.
func (a *API) route(req *httpwire.Request) (operation, error) {
	for i := range a.resources {
		r := &a.resources[i]
		if req.Path == r.path {
			return r.routeCollection(req)
		}
		if rest, ok := strings.CutPrefix(req.Path, r.path+"/"); ok {
			return r.routeItem(req.Method, rest)
		}
	}
	return nil, ErrNotFound
}

// routeCollection routes a request for a resource's own path.
func (r *resource) routeCollection(req *httpwire.Request) (operation, error) {
	if req.Method != http.MethodPost {
		return nil, ErrMethodNotAllowed
	}
	body := req.Body
	return func() transport.Response { return r.submit(body) }, nil
}

// routeItem routes a request for one job or pipeline.
func (r *resource) routeItem(method, rest string) (operation, error) {
	ref, action, hasAction := strings.Cut(rest, "/")
	switch {
	case hasAction && action != wire.CancelWord:
		return nil, ErrNotFound
	case hasAction && method == http.MethodPost:
		return func() transport.Response { return r.cancel(ref) }, nil
	case !hasAction && method == http.MethodGet:
		return func() transport.Response { return r.query(ref) }, nil
	}
	return nil, ErrMethodNotAllowed
}

// forward lets another controller serve a request. It reports false when there is none or
// it can't either.
func (a *API) forward(req *httpwire.Request) (transport.Response, bool) {
	r, err := a.cluster.Forward(ForwardedRequest{Method: req.Method, Path: req.Path, Body: req.Body})
	if errors.Is(err, ErrNoController) {
		return transport.Response{}, false
	}
	if err != nil {
		a.log.Debug("forwarded request failed", "path", req.Path, "err", err)
		return transport.Response{}, false
	}
	response := transport.Response{Status: r.Status, RetryAfter: r.RetryAfter}
	if len(r.Body) > 0 {
		response.Body = json.RawMessage(r.Body)
	}
	return response, r.Status != 0 && r.Status != http.StatusServiceUnavailable
}
