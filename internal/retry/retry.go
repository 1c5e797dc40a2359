// Package retry waits between attempts.
package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and reports whether the context still stands. It returns early
// when the context ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Jitter returns a random duration of mean d, from half of it to one and a half, so that
// several processes do not retry at the same moment.
func Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
