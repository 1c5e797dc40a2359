package shardhost

import (
	"errors"
	"time"

	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
)

// outcome is the outcome of a transaction at the state service.
type outcome int

const (
	applied  outcome = iota
	conflict         // a condition did not hold; nothing was written
	refused          // over the rate limit; nothing was written, and the transaction may be retried
	invalid          // over a size limit; nothing was written, and a retry would be refused again
	unknown          // no response; the transaction may have been applied or may still be
)

// outcomeOf returns the outcome of a transaction from its error, and on a conflict the keys whose
// conditions did not hold. Unlike statestore.OutcomeOf it distinguishes the reasons why a
// transaction was not applied.
func outcomeOf(err error) (o outcome, conflictingKeys []string) {
	switch statestore.OutcomeOf(err) {
	case statestore.Applied:
		return applied, nil
	case statestore.Unknown:
		return unknown, nil
	}
	var conflictErr *statestore.ConflictError
	switch {
	case errors.As(err, &conflictErr):
		return conflict, conflictErr.Keys
	case errors.Is(err, statestore.ErrRefused):
		return refused, nil
	}
	return invalid, nil
}

// commit executes a shard's transaction and reports the outcome to the shard.
func (h *Host) commit(shard *scheduler.Shard, txn *scheduler.Txn) {
	use := statestore.Purpose{Name: txn.Purpose, Routine: txn.Routine}
	revision, err := h.env.Store().Txn(h.env.Lifetime(), use, txn.Body)
	result, keys := outcomeOf(err)
	h.Update(shard, func(now time.Time) {
		switch result {
		case applied:
			shard.Applied(txn, revision, now)
			h.env.CommittedLocked(txn.Body, revision, now)
		case conflict:
			h.log.Debug("transaction conflict", "shard", shard.ID(), "keys", keys)
			shard.Conflict(txn, keys, now)
		case refused:
			shard.Refused(txn, now)
		case invalid:
			h.log.Error("transaction over a size limit: the shard writes less at once from now on", "shard", shard.ID(), "purpose", txn.Purpose, "err", err)
			shard.TooLarge(txn, now)
		case unknown:
			h.log.Info("transaction outcome unknown", "shard", shard.ID(), "err", err)
			shard.Unknown(txn, now)
		}
	})
}
