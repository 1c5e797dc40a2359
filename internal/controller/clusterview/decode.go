package clusterview

import (
	"encoding/json"

	"bramblespur/internal/wire"
)

// RecordError is the error of a record that cannot be decoded.
type RecordError struct {
	Key string // of the record
	Err error  // of the decoder
}

// Error implements error.
func (e *RecordError) Error() string { return "decode " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the decoder's error.
func (e *RecordError) Unwrap() error { return e.Err }

// decode decodes the record that a change wrote. Its error is a *RecordError.
func decode[T any](change wire.Change) (T, error) {
	var r T
	if err := json.Unmarshal(change.Value, &r); err != nil {
		return r, &RecordError{Key: change.Put, Err: err}
	}
	return r, nil
}
