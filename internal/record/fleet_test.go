package record

import (
	"strings"
	"testing"

	"bramblespur/internal/wire"
)

// put returns the change that puts a record.
func put(key string, v any, version uint64) wire.Change {
	return wire.Change{Put: key, Value: Encode(v), Version: version}
}

// The index follows the records of machines that are provisioned, transferred and released, and whose
// records are then deleted.
func TestFleet(t *testing.T) {
	f := NewFleet()
	apply := func(e wire.Change, want ...string) {
		t.Helper()
		got, err := f.Apply(e)
		if err != nil {
			t.Fatal(err)
		}
		changed := map[string]bool{}
		for _, id := range got {
			changed[id] = true
		}
		for _, id := range want {
			if !changed[id] {
				t.Fatalf("changed machines %v, want %s among them", got, id)
			}
		}
	}
	provision := Provision{Type: "big", Zone: "z", Shards: []int{0, 0, 1}}
	apply(put(ProvisionKey("r"), provision, 1))
	if len(f.UnfulfilledProvisions()) != 1 {
		t.Fatal("a Provision without machines is not among the unfulfilled ones")
	}
	provision.IDs = []string{"a", "b", "c"}
	apply(put(ProvisionKey("r"), provision, 2), "a", "b", "c")
	if v, ok := f.Machine("c"); !ok || v.Shard != 1 || v.Version != 0 || v.Phase != InUse {
		t.Fatalf("machine c: got %+v %t, want it in use in shard 1 without an override", v, ok)
	}
	provision.Addrs = []string{"x:1", "", "z:1"} // machine b never came up
	apply(put(ProvisionKey("r"), provision, 3), "a", "b", "c")
	if v, _ := f.Machine("c"); v.Addr != "z:1" || len(f.ProvisionsWithoutAddresses()) != 0 {
		t.Fatalf("machine c: got %+v, want address z:1 and no Provision without addresses", v)
	}
	apply(put(OverrideKey("a"), Machine{Type: "big", Zone: "z", Shard: 1}, 5), "a")
	apply(put(OverrideKey("a"), Machine{Type: "big", Zone: "z", Shard: 0}, 4)) // an older change
	apply(put(OverrideKey("a"), Machine{Type: "big", Zone: "z", Shard: 1}, 5)) // the same change again
	apply(put(ProvisionKey("r"), provision, 3))
	if v, _ := f.Machine("a"); v.Shard != 1 || v.Version != 5 {
		t.Fatalf("machine a: got %+v, want shard 1 and version 5 of its override", v)
	}
	releaseKey := ReleaseKey(1, 7, 1)
	apply(put(releaseKey, Release{IDs: []string{"a", "b"}}, 8), "a", "b")
	if v, _ := f.Machine("b"); v.Phase != Releasing || len(f.PendingReleases()) != 1 {
		t.Fatalf("machine b: got %+v, want it in one pending Release", v)
	}
	apply(put(releaseKey, Release{IDs: []string{"a", "b"}, Done: true}, 9), "a", "b")
	if _, ok := f.CleanupTxn(16); ok {
		t.Fatal("records are deleted while one of the machines is in use")
	}
	apply(put(ReleaseKey(1, 7, 2), Release{IDs: []string{"c"}, Done: true}, 10), "c")
	// A machine's override must be deleted before its Provision, and the Releases last.
	for range 4 {
		txn, ok := f.CleanupTxn(2)
		if !ok {
			break
		}
		if len(txn.Then) > 2 || len(txn.If) != len(txn.Then) {
			t.Fatalf("got transaction %+v, want at most 2 deletions and a condition for each", txn)
		}
		for _, op := range txn.Then {
			if _, ok := f.overrides["a"]; ok && op.Delete == ProvisionKey("r") {
				t.Fatal("the Provision is deleted before an override")
			}
			if _, ok := f.provisions["r"]; ok && strings.HasPrefix(op.Delete, ReleasePrefix) {
				t.Fatal("a Release is deleted before the Provision of its machines")
			}
			apply(wire.Change{Delete: op.Delete, Version: 11})
		}
	}
	if len(f.Versions()) != 0 || f.Len() != 0 {
		t.Fatalf("records left: %v, want none", f.Versions())
	}
}

func TestFleetRefusesMalformedRecords(t *testing.T) {
	f := NewFleet()
	for _, e := range []wire.Change{
		{Put: ProvisionKey("r"), Value: []byte(`"x"`), Version: 1},
		put(ProvisionKey("r"), Provision{IDs: []string{"a"}}, 1),
		put(ProvisionKey("r"), Provision{IDs: []string{"a", "b"}, Shards: []int{0, 0}, Addrs: []string{"x"}}, 1),
		{Put: OverrideKey("a"), Value: []byte(`[]`), Version: 1},
		{Put: ReleasePrefix + "x", Value: []byte(`3`), Version: 1},
	} {
		if _, err := f.Apply(e); err == nil {
			t.Errorf("malformed record %s was applied", e.Put)
		}
	}
	if f.Len() != 0 {
		t.Error("malformed records added machines")
	}
}
