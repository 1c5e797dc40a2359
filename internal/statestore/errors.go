package statestore

import (
	"errors"
	"fmt"
)

// Errors of requests. Any other error, except a ConflictError, leaves open whether the request
// was executed or will still be executed.
var (
	ErrNotFound = errors.New("statestore: not found")
	ErrRefused  = errors.New("statestore: not executed") // 429, 503, or never sent
	ErrTooOld   = errors.New("statestore: revision too old")
	ErrNoLease  = errors.New("statestore: no such lease")
	ErrInvalid  = errors.New("statestore: request refused as malformed")
)

// ConflictError is returned for a transaction whose conditions failed. Keys are those of the failed
// conditions.
type ConflictError struct{ Keys []string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("statestore: conflict on %v", e.Keys) }

// Outcome says whether a transaction was applied.
type Outcome int

// Outcomes of transactions.
const (
	// Unknown means that the transaction may have been applied, or may be applied later.
	Unknown Outcome = iota
	// Applied means that all changes were made.
	Applied
	// NotApplied means that no change was made, and none will be.
	NotApplied
)

// String returns the outcome in words, for logs and messages.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not applied"
	default:
		return "unknown"
	}
}

// OutcomeOf returns the outcome of a transaction for which Store.Txn returned err.
func OutcomeOf(err error) Outcome {
	var conflict *ConflictError
	switch {
	case err == nil:
		return Applied
	case errors.As(err, &conflict), errors.Is(err, ErrRefused), errors.Is(err, ErrInvalid):
		return NotApplied
	}
	return Unknown
}

// Answered reports whether a request got an answer that would be the same if the request were
// repeated at once: it succeeded, or it failed with ErrNotFound, ErrTooOld, ErrInvalid or a
// ConflictError. A refusal for lack of capacity is not such an answer.
func Answered(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrTooOld) || errors.Is(err, ErrInvalid) || errors.As(err, &conflict)
}
