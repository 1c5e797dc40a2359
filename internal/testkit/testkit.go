// Package testkit holds scripted peers for tests, all in memory and under the test's control: a
// clock, the state service, the cloud, workers, users and the network between them. A World joins
// them in the time of a testing/synctest bubble, injects faults, and has a Checker verify that the
// controllers keep the protocol's rules. The same peers can be served over loopback HTTP.
package testkit

import (
	"errors"
	"time"
)

// Clock is a clock that a test advances. It is not safe for concurrent use.
type Clock struct{ T time.Time }

// NewClock returns a clock at a fixed time.
func NewClock() *Clock { return &Clock{time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)} }

// Now returns the clock's time.
func (c *Clock) Now() time.Time { return c.T }

// Advance moves the clock.
func (c *Clock) Advance(d time.Duration) { c.T = c.T.Add(d) }

// ErrLost is returned for a request whose answer never arrives.
var ErrLost = errors.New("testkit: no answer")
