package statestore

import (
	"time"

	"golang.org/x/time/rate"
)

// The store's bursts, of a second's worth, hold for all controllers together. They need several
// writes at once, as for the jobs of a pipeline, but seldom at the same time. So each has a small
// burst of its own, and the leader lends the rest to whoever needs it.
const (
	// localBurstShare is the share of the store's burst that all controllers' own bursts make
	// up together.
	localBurstShare = 0.3
	// totalBurstShare is the share of it that is used in all: requests that are late on the
	// way arrive together with those that follow.
	totalBurstShare = 0.9
	// LoanShare is the share of the limit of writes that is lent. With a quarter submissions
	// were refused when the rest was used up, and more brings nothing.
	LoanShare = 0.5
)

// localWriteBurst is the burst of writes of each of so many controllers.
func localWriteBurst(controllers int, writeRPS float64) int {
	return max(1, int(writeRPS*localBurstShare/float64(controllers)))
}

// LoanPool is the token bucket from which a leader lends writes to other controllers. It begins
// empty: the previous leader may have lent everything. It is safe for concurrent use.
type LoanPool struct{ tokens *rate.Limiter }

// NewLoanPool returns a pool that lends nothing before its limit is set.
func NewLoanPool() *LoanPool { return &LoanPool{rate.NewLimiter(0, 0)} }

// SetLimit sets the store's limit of writes, which so many controllers share.
func (p *LoanPool) SetLimit(controllers int, writeRPS float64, now time.Time) {
	localBursts := controllers * localWriteBurst(controllers, writeRPS)
	p.tokens.SetLimitAt(now, rate.Limit(writeRPS*LoanShare))
	p.tokens.SetBurstAt(now, max(0, int(writeRPS*totalBurstShare)-localBursts))
}

// Lend takes so many writes out of the pool, or reports that they are not there. A modest
// request leaves half of the burst to those that need many at once.
func (p *LoanPool) Lend(changes int, modest bool, now time.Time) bool {
	if changes <= 0 || (modest && p.tokens.TokensAt(now) < float64(changes+p.tokens.Burst()/2)) {
		return false
	}
	return p.tokens.AllowN(now, changes)
}
