package controller

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// damagePlacements makes every record of placements unreadable and returns what puts them
// back.
func (k *cluster) damagePlacements() (restore func()) {
	k.t.Helper()
	const most = 4 // records of a part, of which there are few here
	intact := map[string]json.RawMessage{}
	put := func(key string, value json.RawMessage) {
		if err := k.world.State.Put(wire.Txn{Then: []wire.Op{{Put: key, Value: value}}}); err != nil {
			k.t.Fatal(err)
		}
	}
	for part := range k.labels {
		for n := range most {
			if e, ok := k.world.State.Entry(record.PlacementsKey(part, n)); ok {
				intact[e.Key] = e.Value
				put(e.Key, json.RawMessage(`"damaged"`))
			}
		}
	}
	k.requireOccurred(len(intact) > 0, "records of placements are damaged")
	return func() {
		for key, value := range intact {
			put(key, value)
		}
	}
}

// All controllers come back to records of placements that can't be decoded. What runs is
// adopted, new jobs start, and once the records are restored every job ends.
func TestRestartWithDamagedPlacements(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		k.crashAll()
		restore := k.damagePlacements()
		k.startInRandomOrder(r)
		k.await(2*time.Minute, "all parts", k.allShardsOwned)
		fresh := ref(firstFreeJob + 5*busyJobs)
		k.submit(spec(fresh, "wide", nil), shortRun)
		k.awaitRunning(fresh, 1)
		time.Sleep(time.Duration(r.IntN(60)) * time.Second)
		restore()
	})
}
