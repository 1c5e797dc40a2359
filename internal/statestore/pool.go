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
	// ownBursts is the part of the service's burst that controllers save up themselves.
	ownBursts = 0.3
	// burstUse is the part of it that is saved up in all: what is late on the way
	// comes together with what follows it.
	burstUse = 0.9
	// LentRate is the part of the limit of changes that is lent. A quarter cost
	// submissions when the rest was used up, and more brings nothing.
	LentRate = 0.5
)

// ownBurst is how many changes each of so many controllers may save up.
func ownBurst(controllers int, writeRPS float64) int {
	return max(1, int(writeRPS*ownBursts/float64(controllers)))
}

// Pool is the changes that a leader lends. It begins with nothing: the leader before
// may have lent all there was.
type Pool struct{ tokens *rate.Limiter }

// NewPool returns a pool without a limit, which lends nothing.
func NewPool() *Pool { return &Pool{rate.NewLimiter(0, 0)} }

// Limit sets the service's limit of changes, which so many controllers share.
func (p *Pool) Limit(controllers int, writeRPS float64, now time.Time) {
	own := controllers * ownBurst(controllers, writeRPS)
	p.tokens.SetLimitAt(now, rate.Limit(writeRPS*LentRate))
	p.tokens.SetBurstAt(now, max(0, int(writeRPS*burstUse)-own))
}

// Lend reports whether so many changes may be made now. Who asks modestly leaves half
// of what can be saved up to those that need many at once.
func (p *Pool) Lend(changes int, modest bool, now time.Time) bool {
	if changes <= 0 || (modest && p.tokens.TokensAt(now) < float64(changes+p.tokens.Burst()/2)) {
		return false
	}
	return p.tokens.AllowN(now, changes)
}
