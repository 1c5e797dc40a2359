package statestore

import (
	"time"

	"golang.org/x/time/rate"
)

// The service's bursts, of a second's worth, hold for all controllers together. They
// need several changes at once, as for the jobs of a pipeline, but seldom at the same
// time. So each saves up only a little itself, and the leader lends the rest to
// whoever needs it.
const (
	// localBurstShare is the part of the service's burst that controllers save up themselves.
	localBurstShare = 0.3
	// totalBurstShare is the part of it that is saved up in all: what is late on the way
	// comes together with what follows it.
	totalBurstShare = 0.9
	// LoanShare is the part of the limit of changes that is lent. A quarter cost
	// submissions when the rest was used up, and more brings nothing.
	LoanShare = 0.5
)

// localWriteBurst is how many changes each of so many controllers may save up.
func localWriteBurst(controllers int, writeRPS float64) int {
	return max(1, int(writeRPS*localBurstShare/float64(controllers)))
}

// LoanPool is the changes that a leader lends. It begins with nothing: the leader before
// may have lent all there was.
type LoanPool struct{ tokens *rate.Limiter }

// NewLoanPool returns a pool without a limit, which lends nothing.
func NewLoanPool() *LoanPool { return &LoanPool{rate.NewLimiter(0, 0)} }

// SetLimit sets the service's limit of changes, which so many controllers share.
func (p *LoanPool) SetLimit(controllers int, writeRPS float64, now time.Time) {
	own := controllers * localWriteBurst(controllers, writeRPS)
	p.tokens.SetLimitAt(now, rate.Limit(writeRPS*LoanShare))
	p.tokens.SetBurstAt(now, max(0, int(writeRPS*totalBurstShare)-own))
}

// Lend reports whether so many changes may be made now. Who asks modestly leaves half
// of what can be saved up to those that need many at once.
func (p *LoanPool) Lend(changes int, modest bool, now time.Time) bool {
	if changes <= 0 || (modest && p.tokens.TokensAt(now) < float64(changes+p.tokens.Burst()/2)) {
		return false
	}
	return p.tokens.AllowN(now, changes)
}
