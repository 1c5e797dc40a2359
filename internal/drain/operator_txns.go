package drain

import (
	"fmt"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// StartTxn is the transaction by which an operator asks for a drain. It fails if there is
// one of that name.
func StartTxn(p Plan) wire.Txn {
	key := PlanKey(p.Name)
	return wire.Txn{
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Op{{Put: key, Value: record.Encode(p)}},
	}
}

// ChangeTxn is the transaction by which an operator pauses, resumes or cancels a drain.
func ChangeTxn(p Versioned[Plan], to State, now time.Time) (wire.Txn, error) {
	if p.Rec.State.Terminal() {
		return wire.Txn{}, fmt.Errorf("drain %s is %s already", p.Rec.Name, p.Rec.State)
	}
	if p.Rec.State == to {
		return wire.Txn{}, fmt.Errorf("drain %s is %s", p.Rec.Name, to)
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
