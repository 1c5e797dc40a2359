package recovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Keys of the records that operators write during a safe mode.
const (
	ApplyKey     = Prefix + "apply"
	DecisionsKey = Prefix + "decisions"
	raiseKey     = Prefix + "raise"
)

// Errors of plans that may not be applied.
var (
	ErrStoreChanged     = errors.New("the records have changed since the plan was made: make a new plan")
	ErrOtherPlanApplied = errors.New("another plan is being applied")
	ErrNoSafeMode       = errors.New("there is no safe mode")
	ErrUndecided        = errors.New("some records are undecided")
	ErrOtherEpoch       = errors.New("the plan is of another safe mode")
)

// Applied is the record that names the plan which is being applied in a safe mode.
type Applied struct {
	Epoch  int    `json:"epoch"`  // of the safe mode
	Digest string `json:"digest"` // of the plan
}

// Decisions is the record of the decisions that operators have made in a safe mode.
type Decisions struct {
	Epoch  int                 `json:"epoch"`  // of the safe mode
	Chosen map[string]Decision `json:"chosen"` // by the keys of undecided records
}

// Check returns an error if the plan may not be applied in a safe mode, whose record is nil if there
// is none: ErrNoSafeMode, ErrOtherEpoch or an error that wraps ErrUndecided.
func (p *Plan) Check(mode *SafeMode) error {
	switch {
	case mode == nil || !mode.Active:
		return ErrNoSafeMode
	case mode.Epoch != p.Epoch:
		return ErrOtherEpoch
	}
	if n := len(p.Undecided()); n > 0 {
		return fmt.Errorf("%w: %d", ErrUndecided, n)
	}
	return nil
}

// Batches returns the transactions of the plan, in order. Each is conditional on the records being
// unchanged since the plan was made.
func (p *Plan) Batches(limits Limits) []wire.Txn {
	var batches []wire.Txn
	var txn wire.Txn
	size := 0
	for _, item := range p.Items {
		if !item.writes() {
			continue
		}
		if len(txn.Then) > 0 && (len(txn.Then) >= limits.TxnOps || size+len(item.Put) > limits.TxnBytes) {
			batches = append(batches, txn)
			txn, size = wire.Txn{}, 0
		}
		op := wire.Op{Put: item.Key, Value: item.Put}
		if item.Delete {
			op = wire.Op{Delete: item.Key}
		}
		txn.If = append(txn.If, wire.Condition{Key: item.Key, Version: item.Version})
		txn.Then = append(txn.Then, op)
		size += len(item.Put) + len(item.Key)
	}
	if len(txn.Then) > 0 {
		batches = append(batches, txn)
	}
	return batches
}

// AlreadyApplied reports whether a transaction of a plan has been carried out before, given the
// present records by key.
func AlreadyApplied(txn wire.Txn, now map[string]wire.Entry) bool {
	for _, op := range txn.Then {
		entry, present := now[op.Put+op.Delete]
		if present != (op.Put != "") || present && !sameJSON(entry.Value, op.Value) {
			return false
		}
	}
	return true
}

// sameJSON reports whether two values are the same JSON, since a store may format it differently.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

// ClaimTxn returns the transaction that records the plan as the one that is being applied. The
// present record, nil if there is none, has the given version. ClaimTxn returns false if the record
// names the plan already, and ErrOtherPlanApplied if it names another one of the same safe mode.
func (p *Plan) ClaimTxn(old *Applied, version uint64) (wire.Txn, bool, error) {
	claim := Applied{Epoch: p.Epoch, Digest: p.Digest()}
	if old != nil && old.Epoch == p.Epoch {
		if old.Digest != claim.Digest {
			return wire.Txn{}, false, ErrOtherPlanApplied
		}
		return wire.Txn{}, false, nil
	}
	return wire.Txn{If: []wire.Condition{{Key: ApplyKey, Version: version}},
		Then: []wire.Op{{Put: ApplyKey, Value: record.Encode(claim)}}}, true, nil
}

// RaiseRevisionTxn returns a transaction whose only purpose is to raise the store's revision by one.
func RaiseRevisionTxn(n uint64) wire.Txn {
	return wire.Txn{Then: []wire.Op{{Put: raiseKey, Value: record.Encode(n)}}}
}

// EndSafeModeTxn returns the transaction that ends a safe mode, whose record has the given version.
func EndSafeModeTxn(mode SafeMode, version uint64, nowMillis int64) wire.Txn {
	mode.Active, mode.Ended = false, nowMillis
	return wire.Txn{If: []wire.Condition{{Key: SafeModeKey, Version: version}},
		Then: []wire.Op{{Put: SafeModeKey, Value: record.Encode(mode)}}}
}

// DecisionTxn returns the transaction that records a decision about an undecided record of a plan.
// The present decisions, nil if there are none, have the given version; those of an earlier safe mode
// are dropped.
func DecisionTxn(old *Decisions, version uint64, epoch int, key string, choice Decision) wire.Txn {
	decisions := Decisions{Epoch: epoch, Chosen: map[string]Decision{}}
	if old != nil && old.Epoch == epoch {
		for k, v := range old.Chosen {
			decisions.Chosen[k] = v
		}
	}
	decisions.Chosen[key] = choice
	return wire.Txn{If: []wire.Condition{{Key: DecisionsKey, Version: version}},
		Then: []wire.Op{{Put: DecisionsKey, Value: record.Encode(decisions)}}}
}
