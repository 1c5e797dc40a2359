package statestore

import (
	"errors"
	"fmt"
)

// Errors of requests. One that is none of these, nor a ConflictError, leaves open whether the
// request was, or later will be, carried out.
var (
	ErrNotFound = errors.New("statestore: not found")
	ErrRefused  = errors.New("statestore: not executed") // 429, 503, or never sent
	ErrTooOld   = errors.New("statestore: revision too old")
	ErrNoLease  = errors.New("statestore: no such lease")
	ErrInvalid  = errors.New("statestore: request refused as malformed")
)

// ConflictError says which conditions of a transaction failed.
type ConflictError struct{ Keys []string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("statestore: conflict on %v", e.Keys) }

// Outcome is what became of a transaction.
type Outcome int

// Outcomes of transactions.
const (
	// Unknown: the request may have been carried out, or be carried out later.
	Unknown Outcome = iota
	// Applied: all changes were made.
	Applied
	// NotApplied: no change was made, and none will be.
	NotApplied
)

// String returns an outcome's name.
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

// OutcomeOf returns the outcome of a transaction by the error that Store.Txn returned.
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

// Answered reports whether a request got an answer that would be no other if it were made
// again at once: it succeeded, or the store said what is wrong about it. A refusal for want
// of capacity is no answer.
func Answered(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrTooOld) || errors.Is(err, ErrInvalid) || errors.As(err, &conflict)
}
