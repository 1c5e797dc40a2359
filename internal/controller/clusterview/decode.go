package clusterview

import (
	"encoding/json"

	"bramblespur/internal/wire"
)

// RecordError reports a record that can't be decoded.
type RecordError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RecordError) Error() string { return "decode " + e.Key + ": " + e.Err.Error() }

// Unwrap returns what the decoder said.
func (e *RecordError) Unwrap() error { return e.Err }

// decode returns the record that a change writes, or a *RecordError.
func decode[T any](change wire.Change) (T, error) {
	var r T
	if err := json.Unmarshal(change.Value, &r); err != nil {
		return r, &RecordError{Key: change.Put, Err: err}
	}
	return r, nil
}
