package controller

import (
	"encoding/json"
	"strconv"
	"strings"

	"bramblespur/internal/record"
)

func decode(b json.RawMessage, v any) error { return json.Unmarshal(b, v) }

func hasPrefix(s, prefix string) bool { return strings.HasPrefix(s, prefix) }

func atoi(s string) (int, bool) {
	n, err := strconv.Atoi(s)
	return n, err == nil && n >= 0
}

// openPart returns the part of an open job's key.
func openPart(key string) (int, bool) {
	rest, ok := strings.CutPrefix(key, record.OpenPrefix)
	if !ok {
		return 0, false
	}
	part, _, ok := strings.Cut(rest, "/")
	if !ok {
		return 0, false
	}
	return atoi(part)
}
