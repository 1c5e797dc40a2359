package controller

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// damagePlacements overwrites every placement record with a value that cannot be decoded. The
// returned function restores the records.
func (k *cluster) damagePlacements() (restore func()) {
	k.t.Helper()
	const maxRecords = 4 // placement records per shard; there are fewer in these tests
	intact := map[string]json.RawMessage{}
	put := func(key string, value json.RawMessage) {
		if err := k.world.State.Put(wire.Txn{Then: []wire.Op{{Put: key, Value: value}}}); err != nil {
			k.t.Fatal(err)
		}
	}
	for shard := range k.labels {
		for n := range maxRecords {
			if e, ok := k.world.State.Entry(record.PlacementsKey(shard, n)); ok {
				intact[e.Key] = e.Value
				put(e.Key, json.RawMessage(`"damaged"`))
			}
		}
	}
	k.requireOccurred(len(intact) > 0, "placement records are damaged")
	return func() {
		for key, value := range intact {
			put(key, value)
		}
	}
}

// All controllers return to placement records that cannot be decoded. Running tasks must be
// adopted, new jobs must start, and once the records are restored every job must end.
func TestRestartWithDamagedPlacements(t *testing.T) {
	runRestarts(t, func(k *cluster, r *rand.Rand) {
		k.crashAll()
		restore := k.damagePlacements()
		k.startInRandomOrder(r)
		k.await(2*time.Minute, "an owner of every shard", k.allShardsOwned)
		fresh := ref(firstFreeJob + 5*busyJobs)
		k.submit(spec(fresh, "wide", nil), shortRun)
		k.awaitRunning(fresh, 1)
		time.Sleep(time.Duration(r.IntN(60)) * time.Second)
		restore()
	})
}
