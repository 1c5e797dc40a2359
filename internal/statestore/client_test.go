package statestore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/wire"
)

// A transaction that gets no request token in time must use no write tokens: each one used for nothing
// delays a start, a completion or a cancellation.
func TestRefusedTransactionUsesNoWriteTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 10, 10, nil)
		time.Sleep(time.Second)                  // fills both buckets
		for range c.requestTokens.Burst() + 20 { // others' requests, for two seconds
			c.requestTokens.ReserveN(time.Now(), 1)
		}
		before := c.writeTokens.Tokens()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Txn(ctx, Urgent("accept"), wire.Txn{Then: []wire.Op{{Put: "a"}, {Delete: "b"}}})
		if !errors.Is(err, ErrRefused) {
			t.Fatalf("got %v, want %v", err, ErrRefused)
		}
		if got := c.writeTokens.Tokens(); got < before {
			t.Errorf("%.1f write tokens left of %.1f: the refused transaction used some", got, before)
		}
		if n := c.TakeUsage()["accept"]; n != (Usage{Refused: 1}) {
			t.Errorf("usage %+v, want one refused request and nothing else", n)
		}
		if requests, writes := c.TakeDemand(); requests != 0 || writes != 0 {
			t.Errorf("demand of %d requests and %d writes, want none", requests, writes)
		}
	})
}

// A transaction that gets no write tokens in time must use no request token.
func TestRefusedTransactionUsesNoRequestToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 10, 10, nil)
		time.Sleep(time.Second)
		for range c.writeTokens.Burst() + 20 {
			c.writeTokens.ReserveN(time.Now(), 1)
		}
		before := c.requestTokens.Tokens()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := c.Txn(ctx, Urgent("cancel"), wire.Txn{Then: []wire.Op{{Put: "a"}}}); !errors.Is(err, ErrRefused) {
			t.Fatalf("got %v, want %v", err, ErrRefused)
		}
		if got := c.requestTokens.Tokens(); got < before {
			t.Errorf("%.1f request tokens left of %.1f: the refused transaction used some", got, before)
		}
	})
}

// Waiting requests are admitted at the rate that both buckets allow.
func TestLimitsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 10, 4, nil)
		begun, done := time.Now(), make(chan time.Duration, 30)
		for range 30 {
			go func() {
				if err := c.admit(t.Context(), 1, Urgent("start")); err != nil {
					t.Error(err)
				}
				done <- time.Since(begun)
			}()
		}
		var last time.Duration
		for range 30 {
			last = <-done
		}
		// 30 writes at 4 per second, from an empty bucket.
		if last < 7450*time.Millisecond || last > 7550*time.Millisecond {
			t.Errorf("all requests were admitted after %v, want 7.5 s", last)
		}
		if requests, writes := c.TakeDemand(); requests != 30 || writes != 30 {
			t.Errorf("demand of %d requests and %d writes, want 30 of each", requests, writes)
		}
	})
}
