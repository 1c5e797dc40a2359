package controller

import (
	"encoding/json"
	"strconv"
	"strings"
)

func decode(b json.RawMessage, v any) error { return json.Unmarshal(b, v) }

func hasPrefix(s, prefix string) bool { return strings.HasPrefix(s, prefix) }

func atoi(s string) (int, bool) {
	n, err := strconv.Atoi(s)
	return n, err == nil && n >= 0
}
