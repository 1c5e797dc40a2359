package statestore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/wire"
)

// A transaction that gets no request token in time must leave its write tokens to the others: each one
// taken for nothing delays a start, a completion or a cancellation.
func TestRefusedTransactionUsesNoWriteTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("127.0.0.1:1", 1, 10, 10, nil)
		time.Sleep(time.Second)                  // fills both budgets
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
			t.Errorf("%.1f changes left of %.1f: refused, it used some", got, before)
		}
		if n := c.TakeUsage()["accept"]; n != (Usage{Refused: 1}) {
			t.Errorf("counted %+v, want one refused and nothing used", n)
		}
		if reqs, changes := c.TakeDemand(); reqs != 0 || changes != 0 {
			t.Errorf("needed %d requests and %d changes, want none", reqs, changes)
		}
	})
}

// Nor does it use a request token when it gets no write tokens.
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
			t.Errorf("%.1f requests left of %.1f: refused, it used some", got, before)
		}
	})
}

// Waiting requests are admitted as both buckets allow it, in turn.
func TestLimitsAreKeptTo(t *testing.T) {
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
		// 30 at 4 a second, with nothing saved up.
		if last < 7450*time.Millisecond || last > 7550*time.Millisecond {
			t.Errorf("all were let through after %v, want 7.5 s", last)
		}
		if reqs, changes := c.TakeDemand(); reqs != 30 || changes != 30 {
			t.Errorf("needed %d requests and %d changes, want 30 of each", reqs, changes)
		}
	})
}
