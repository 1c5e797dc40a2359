package userapi

import (
	"errors"
	"fmt"
	"net/http"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/transport"
)

// Why a request is not served as asked. What is malformed or can never run is told by the
// errors of package jobspec.
var (
	// ErrNotFound says that there is no such job, pipeline or path.
	ErrNotFound = errors.New("not found")
	// ErrMethodNotAllowed says that a path has no such method.
	ErrMethodNotAllowed = errors.New("method not allowed")
	// ErrUnavailable says that the request can't be decided now, so that the user should
	// repeat it.
	ErrUnavailable = errors.New("temporarily unavailable")
	// ErrNotTerminal says of a cancellation that not all tasks are proven gone yet. Every
	// controller would say so.
	ErrNotTerminal = errors.New("cancelled, but not terminal yet")
	// ErrReferenceInUse says of a pipeline that one of its jobs exists already.
	ErrReferenceInUse = errors.New("a job of that reference exists")
	// ErrRecordTooLarge says that the state service's limits leave no room for a record.
	ErrRecordTooLarge = errors.New("record too large")
)

// A DependencyError says that a job can't depend on another.
type DependencyError struct {
	Dependency string
	Reason     string
}

func (e *DependencyError) Error() string {
	return fmt.Sprintf("dependency on %s: %s", e.Dependency, e.Reason)
}

// respond makes the response to a request: its body, or what its error says. This is the
// only place where errors become statuses.
func respond(status int, body any, err error) transport.Response {
	switch {
	case err == nil:
		return transport.Response{Status: status, Body: body}
	case errors.Is(err, ErrUnavailable):
		return RetryLater()
	case errors.Is(err, ErrNotTerminal):
		response := RetryLater()
		response.Authoritative = true
		return response
	case errors.Is(err, ErrNotFound):
		return transport.Response{Status: http.StatusNotFound}
	case errors.Is(err, ErrMethodNotAllowed):
		return transport.Response{Status: http.StatusMethodNotAllowed}
	case isInvalid(err) || errors.Is(err, ErrReferenceInUse):
		return transport.Response{Status: http.StatusBadRequest}
	case isRefusal(err):
		return transport.Response{Status: http.StatusUnprocessableEntity}
	}
	return RetryLater()
}

// RetryLater is the response to a request that can't be decided now.
func RetryLater() transport.Response {
	return transport.Response{Status: http.StatusServiceUnavailable, RetryAfter: transport.RetryAfter}
}

// isInvalid reports whether an error says that a submission is malformed.
func isInvalid(err error) bool {
	var invalid *jobspec.InvalidError
	return errors.As(err, &invalid)
}

// isRefusal reports whether an error says that a well-formed job can't be accepted under
// the present settings, limits and jobs, as against one that can't be decided on.
func isRefusal(err error) bool {
	var infeasible *jobspec.InfeasibleError
	var dependency *DependencyError
	return errors.Is(err, ErrRecordTooLarge) || errors.As(err, &infeasible) || errors.As(err, &dependency)
}
