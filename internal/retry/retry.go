// Package retry provides waits between attempts of an operation.
package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as the context ends.
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

// Jitter returns a random duration between d/2 and 3d/2, with mean d, so that several processes
// do not retry at the same time. d must be positive.
func Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
