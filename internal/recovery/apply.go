package recovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Keys of what operators do about a safe mode.
const (
	ApplyKey     = Prefix + "apply"
	DecisionsKey = Prefix + "decisions"
	raiseKey     = Prefix + "raise"
)

// Errors.
var (
	ErrStoreChanged     = errors.New("the store has moved on since the plan was made: plan again")
	ErrOtherPlanApplied = errors.New("another plan is being applied")
	ErrNoSafeMode       = errors.New("there is no safe mode")
	ErrUndecided        = errors.New("some records are undecided")
	ErrOtherEpoch       = errors.New("the plan is of another safe mode")
)

// Applied is the record of the plan that is being applied.
type Applied struct {
	Epoch  int    `json:"epoch"`
	Digest string `json:"digest"`
}

// Decisions is the record of what operators have decided in a safe mode.
type Decisions struct {
	Epoch  int                 `json:"epoch"`
	Chosen map[string]Decision `json:"chosen"`
}

// Check tells why a plan may not be applied in a safe mode, whose record is nil if there is
// none.
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

// Batches are the transactions of a plan, in order. Each is conditioned on the records being
// as they were when the plan was made.
func (p *Plan) Batches(l Limits) []wire.Txn {
	var out []wire.Txn
	var t wire.Txn
	size := 0
	for _, i := range p.Items {
		if !i.writes() {
			continue
		}
		if len(t.Then) > 0 && (len(t.Then) >= l.TxnOps || size+len(i.Put) > l.TxnBytes) {
			out = append(out, t)
			t, size = wire.Txn{}, 0
		}
		op := wire.Op{Put: i.Key, Value: i.Put}
		if i.Delete {
			op = wire.Op{Delete: i.Key}
		}
		t.If = append(t.If, wire.Condition{Key: i.Key, Version: i.Version})
		t.Then = append(t.Then, op)
		size += len(i.Put) + len(i.Key)
	}
	if len(t.Then) > 0 {
		out = append(out, t)
	}
	return out
}

// AlreadyApplied reports whether a transaction was carried out before, by the records as they are now.
func AlreadyApplied(t wire.Txn, now map[string]wire.Entry) bool {
	for _, op := range t.Then {
		e, there := now[op.Put+op.Delete]
		if there != (op.Put != "") || there && !sameJSON(e.Value, op.Value) {
			return false
		}
	}
	return true
}

// sameJSON compares values that a store may have written in another way.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

// ClaimTxn is the transaction that makes a plan the one that is applied; there is none to be made
// if it is already.
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

// RaiseRevisionTxn is a transaction that only makes the store's revision rise by one.
func RaiseRevisionTxn(n uint64) wire.Txn {
	return wire.Txn{Then: []wire.Op{{Put: raiseKey, Value: record.Encode(n)}}}
}

// EndSafeModeTxn is the one transaction that ends a safe mode.
func EndSafeModeTxn(mode SafeMode, version uint64, nowMillis int64) wire.Txn {
	mode.Active, mode.Ended = false, nowMillis
	return wire.Txn{If: []wire.Condition{{Key: SafeModeKey, Version: version}},
		Then: []wire.Op{{Put: SafeModeKey, Value: record.Encode(mode)}}}
}

// DecisionTxn is the transaction that records a decision about an undecided record of a plan.
func DecisionTxn(old *Decisions, version uint64, epoch int, key string, c Decision) wire.Txn {
	d := Decisions{Epoch: epoch, Chosen: map[string]Decision{}}
	if old != nil && old.Epoch == epoch {
		for k, v := range old.Chosen {
			d.Chosen[k] = v
		}
	}
	d.Chosen[key] = c
	return wire.Txn{If: []wire.Condition{{Key: DecisionsKey, Version: version}},
		Then: []wire.Op{{Put: DecisionsKey, Value: record.Encode(d)}}}
}
