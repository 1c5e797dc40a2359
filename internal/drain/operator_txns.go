package drain

import (
	"fmt"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// StartTxn returns the transaction by which an operator starts a drain. It fails if there is a
// drain of that name.
func StartTxn(p Plan) wire.Txn {
	key := PlanKey(p.Name)
	return wire.Txn{
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Op{{Put: key, Value: record.Encode(p)}},
	}
}

// ChangeTxn returns the transaction by which an operator pauses, resumes or cancels a drain. It
// fails if the drain's record has changed. ChangeTxn returns an error if the drain is in a terminal
// state or in the wanted one.
func ChangeTxn(p Versioned[Plan], to State, now time.Time) (wire.Txn, error) {
	if p.Rec.State.Terminal() {
		return wire.Txn{}, fmt.Errorf("drain %s is %s already", p.Rec.Name, p.Rec.State)
	}
	if p.Rec.State == to {
		return wire.Txn{}, fmt.Errorf("drain %s is %s already", p.Rec.Name, to)
	}
	changed := p.Rec
	changed.State = to
	if to.Terminal() {
		changed.Ended = now.UnixMilli()
	}
	key := PlanKey(p.Rec.Name)
	return wire.Txn{
		If:   []wire.Condition{{Key: key, Version: p.Version}},
		Then: []wire.Op{{Put: key, Value: record.Encode(changed)}},
	}, nil
}
