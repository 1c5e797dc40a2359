package statestore

import (
	"time"

	"golang.org/x/time/rate"
)

// The state service allows bursts of a second's worth for all controllers together. Controllers
// need several writes at once, for example for the jobs of a pipeline, but seldom at the same time.
// So each has a small burst of its own, and the leader lends the rest to those that need it.
const (
	// localBurstShare is the share of the state service's burst that the own bursts of all
	// controllers make up together.
	localBurstShare = 0.3
	// totalBurstShare is the share of that burst used by own bursts and loans together. The rest
	// stays free because requests delayed on the way arrive together with those that follow.
	totalBurstShare = 0.9
	// LoanShare is the share of the limit of writes that is lent. With a quarter, submissions
	// were refused when the rest was used up; a larger share brings no improvement.
	LoanShare = 0.5
)

// localWriteBurst returns the burst of each controller, in writes, for a number of controllers that
// share a limit of writes per second.
func localWriteBurst(controllers int, writeRPS float64) int {
	return max(1, int(writeRPS*localBurstShare/float64(controllers)))
}

// LoanPool is the token bucket from which a leader lends writes to other controllers. It begins
// empty: the previous leader may have lent everything. It is safe for concurrent use.
type LoanPool struct{ tokens *rate.Limiter }

// NewLoanPool returns a pool that lends nothing until its limit is set.
func NewLoanPool() *LoanPool { return &LoanPool{rate.NewLimiter(0, 0)} }

// SetLimit sets the state service's limit of writes per second, which that many controllers share.
func (p *LoanPool) SetLimit(controllers int, writeRPS float64, now time.Time) {
	localBursts := controllers * localWriteBurst(controllers, writeRPS)
	p.tokens.SetLimitAt(now, rate.Limit(writeRPS*LoanShare))
	p.tokens.SetBurstAt(now, max(0, int(writeRPS*totalBurstShare)-localBursts))
}

// Lend takes a positive number of writes out of the pool and returns true, or returns false if the
// pool has too few. A modest request leaves half of the burst to requests that need many writes at
// once.
func (p *LoanPool) Lend(writes int, modest bool, now time.Time) bool {
	if writes <= 0 || (modest && p.tokens.TokensAt(now) < float64(writes+p.tokens.Burst()/2)) {
		return false
	}
	return p.tokens.AllowN(now, writes)
}
