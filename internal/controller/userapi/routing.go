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
	Method, Path string // of the HTTP request
	Body         []byte
}

// ForwardedResponse is the response to a ForwardedRequest.
type ForwardedResponse struct {
	Status     int    // HTTP status
	Body       []byte // JSON as encoded by the controller that served the request; empty: no body
	RetryAfter int    // seconds; 0: none
}

// ErrNoController says that there is no controller to forward a request to.
var ErrNoController = errors.New("no other controller reaches the state service")

// operation is the work that a request asks for.
type operation func() transport.Response

// resource is a kind of object that users submit, query and cancel: jobs or pipelines.
type resource struct {
	path          string // of the collection; items have paths below it
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

// respondAccepted returns the response to a submission: 201 if it was newly accepted, 200 if
// it was accepted before.
func respondAccepted(accepted Acceptance, err error) transport.Response {
	status := http.StatusOK
	if accepted.New {
		status = http.StatusCreated
	}
	return respond(status, accepted.JobState, err)
}

// Serve answers a user's request. If the request cannot be served because the state service
// is out of reach or this controller's share of its limits is used up, the request is
// forwarded to a controller that reaches the state service, but only if the answer can still
// come in time: a late answer would use up that controller's share for nothing.
func (a *API) Serve(req httpwire.Request) transport.Response {
	startedAt := time.Now()
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
	if canForward(&response, time.Since(startedAt), userWait(req.Method)) {
		if forwarded, ok := a.forward(&req); ok {
			return forwarded
		}
	}
	return response
}

// canForward reports whether another controller may give a better answer than this one's
// response, and in time: elapsed is how long this controller took, wait how long the user waits.
func canForward(response *transport.Response, elapsed, wait time.Duration) bool {
	return response.Status == http.StatusServiceUnavailable && !response.Authoritative && elapsed+RequestTimeout <= wait
}

// userWait returns how long a user waits for the answer to a request with an HTTP method.
func userWait(method string) time.Duration {
	if method == http.MethodGet {
		return statusQueryWait
	}
	return changeWait
}

// ServeForwarded answers a request that another controller forwarded. It does not forward the
// request again, and answers with RetryLater while the renewal of this controller's lease is overdue.
func (a *API) ServeForwarded(req ForwardedRequest) ForwardedResponse {
	response := RetryLater()
	if !a.cluster.LeaseOverdue() {
		response = a.ServeLocally(httpwire.Request{Method: req.Method, Path: req.Path, Body: req.Body})
	}
	forwarded := ForwardedResponse{Status: response.Status, RetryAfter: response.RetryAfter}
	if response.Body != nil {
		forwarded.Body = record.Encode(response.Body)
	}
	return forwarded
}

// ServeLocally answers a request without forwarding it to another controller.
func (a *API) ServeLocally(req httpwire.Request) transport.Response {
	serve, err := a.route(&req)
	if err != nil {
		return respond(0, nil, err)
	}
	return serve()
}

// route returns the operation that a request asks for, ErrNotFound if there is no such path,
// or ErrMethodNotAllowed if the path does not support the request's method.
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

// routeCollection routes a request for the path of the collection, which only allows submissions.
func (r *resource) routeCollection(req *httpwire.Request) (operation, error) {
	if req.Method != http.MethodPost {
		return nil, ErrMethodNotAllowed
	}
	body := req.Body
	return func() transport.Response { return r.submit(body) }, nil
}

// routeItem routes a request for one job or pipeline. rest is the part of the request's path that
// follows the path of the collection and a slash.
func (r *resource) routeItem(method, rest string) (operation, error) {
	ref, action, hasAction := strings.Cut(rest, "/")
	switch {
	case hasAction && action != wire.CancelAction:
		return nil, ErrNotFound
	case hasAction && method == http.MethodPost:
		return func() transport.Response { return r.cancel(ref) }, nil
	case !hasAction && method == http.MethodGet:
		return func() transport.Response { return r.query(ref) }, nil
	}
	return nil, ErrMethodNotAllowed
}

// forward lets another controller serve a request. It reports false if there is none, or if
// that controller cannot serve the request either.
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
