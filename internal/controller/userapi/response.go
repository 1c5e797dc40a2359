package userapi

import (
	"errors"
	"fmt"
	"net/http"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/transport"
)

// Errors of requests that are not served as asked. The errors of package jobspec report
// malformed submissions and jobs that can never run.
var (
	// ErrNotFound says that there is no such job, pipeline or path.
	ErrNotFound = errors.New("not found")
	// ErrMethodNotAllowed says that a path does not support the request's method.
	ErrMethodNotAllowed = errors.New("method not allowed")
	// ErrUnavailable says that the request cannot be decided now and that the user should
	// repeat it.
	ErrUnavailable = errors.New("temporarily unavailable")
	// ErrFull says that the active jobs leave no room for another one in the controllers' memory.
	// Every controller would give this answer.
	ErrFull = errors.New("too many active jobs")
	// ErrNotTerminal says that a cancellation is recorded, but that not all tasks are proven
	// gone yet. Every controller would give this answer.
	ErrNotTerminal = errors.New("cancelled, but not terminal yet")
	// ErrReferenceInUse says that a job with the reference of one of a pipeline's jobs exists
	// already.
	ErrReferenceInUse = errors.New("a job of the pipeline has a reference that is in use")
	// ErrRecordTooLarge says that a record exceeds the state service's limits.
	ErrRecordTooLarge = errors.New("record too large")
)

// A DependencyError says that a job cannot depend on another.
type DependencyError struct {
	Dependency string // reference of the other job
	Reason     string
}

func (e *DependencyError) Error() string {
	return fmt.Sprintf("dependency on %s: %s", e.Dependency, e.Reason)
}

// respond returns the response to a request: status and body, or the status of the error if
// there is one. This is the only place that maps errors to HTTP statuses.
func respond(status int, body any, err error) transport.Response {
	switch {
	case err == nil:
		return transport.Response{Status: status, Body: body}
	case errors.Is(err, ErrUnavailable):
		return RetryLater()
	case errors.Is(err, ErrNotTerminal), errors.Is(err, ErrFull):
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

// RetryLater returns the response to a request that cannot be decided now.
func RetryLater() transport.Response {
	return transport.Response{Status: http.StatusServiceUnavailable, RetryAfter: transport.RetryAfter}
}

// isInvalid reports whether an error says that a submission is malformed.
func isInvalid(err error) bool {
	var invalid *jobspec.InvalidError
	return errors.As(err, &invalid)
}

// isRefusal reports whether an error says that a well-formed job cannot be accepted under the
// present settings, limits and jobs, in contrast to one that cannot be decided now.
func isRefusal(err error) bool {
	var infeasible *jobspec.InfeasibleError
	var dependency *DependencyError
	return errors.Is(err, ErrRecordTooLarge) || errors.As(err, &infeasible) || errors.As(err, &dependency)
}
