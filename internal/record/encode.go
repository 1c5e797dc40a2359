package record

import (
	"encoding/json"
	"fmt"
	"sort"

	"bramblespur/internal/wire"
)

// LargestFitting returns the largest n, from least to most, for which the record rec(n) encodes to at
// most a number of bytes, and least if no record is that small. If most is not above least, it
// returns most. The encoded size must grow with n.
func LargestFitting(bytes, least, most int, rec func(n int) any) int {
	if most <= least {
		return most
	}
	return least + sort.Search(most-least, func(n int) bool { return len(Encode(rec(least+n+1))) > bytes })
}

// Encode encodes a record as JSON. It panics on a value that cannot be encoded; all types of records
// can.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("record: encode: " + err.Error())
	}
	return b
}

// decode decodes the record that a change puts. Its errors name the key.
func decode[T any](e wire.Change) (T, error) {
	var rec T
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		var none T
		return none, fmt.Errorf("%s: %w", e.Put, err)
	}
	return rec, nil
}

// Versioned is a record with its version.
type Versioned[T any] struct {
	Rec     T
	Version uint64
}
