package record

import (
	"strings"
	"testing"

	"bramblespur/internal/wire"
)

func put(key string, v any, version uint64) wire.Change {
	return wire.Change{Put: key, Value: Encode(v), Version: version}
}

// A machine's life in the records: provisioned, transferred, released, cleaned up.
func TestFleet(t *testing.T) {
	f := NewFleet()
	change := func(e wire.Change, want ...string) {
		t.Helper()
		got, err := f.Apply(e)
		if err != nil {
			t.Fatal(err)
		}
		seen := map[string]bool{}
		for _, id := range got {
			seen[id] = true
		}
		for _, id := range want {
			if !seen[id] {
				t.Fatalf("changes to %v, want %s among them", got, id)
			}
		}
	}
	rental := Provision{Type: "big", Zone: "z", Shards: []int{0, 0, 1}}
	change(put(ProvisionKey("r"), rental, 1))
	if len(f.UnfulfilledProvisions()) != 1 {
		t.Fatal("a rental without machines is under way")
	}
	rental.IDs = []string{"a", "b", "c"}
	change(put(ProvisionKey("r"), rental, 2), "a", "b", "c")
	if v, ok := f.Machine("c"); !ok || v.Shard != 1 || v.Version != 0 || v.Phase != InUse {
		t.Fatalf("got %+v %t", v, ok)
	}
	rental.Addrs = []string{"x:1", "", "z:1"} // one never came up
	change(put(ProvisionKey("r"), rental, 3), "a", "b", "c")
	if v, _ := f.Machine("c"); v.Addr != "z:1" || len(f.ProvisionsWithoutAddresses()) != 0 {
		t.Fatalf("got %+v", v)
	}
	change(put(OverrideKey("a"), Machine{Type: "big", Zone: "z", Shard: 1}, 5), "a")
	change(put(OverrideKey("a"), Machine{Type: "big", Zone: "z", Shard: 0}, 4)) // older news
	change(put(OverrideKey("a"), Machine{Type: "big", Zone: "z", Shard: 1}, 5)) // no news
	change(put(ProvisionKey("r"), rental, 3))
	if v, _ := f.Machine("a"); v.Shard != 1 || v.Version != 5 {
		t.Fatalf("got %+v", v)
	}
	back := ReleaseKey(1, 7, 1)
	change(put(back, Release{IDs: []string{"a", "b"}}, 8), "a", "b")
	if v, _ := f.Machine("b"); v.Phase != Releasing || len(f.PendingReleases()) != 1 {
		t.Fatalf("got %+v", v)
	}
	change(put(back, Release{IDs: []string{"a", "b"}, Done: true}, 9), "a", "b")
	if _, ok := f.CleanupTxn(16); ok {
		t.Fatal("cleaned up while one of the machines is in use")
	}
	change(put(ReleaseKey(1, 7, 2), Release{IDs: []string{"c"}, Done: true}, 10), "c")
	// A machine's override goes before its Provision, the Releases last.
	for range 4 {
		txn, ok := f.CleanupTxn(2)
		if !ok {
			break
		}
		if len(txn.Then) > 2 || len(txn.If) != len(txn.Then) {
			t.Fatalf("clears with %+v", txn)
		}
		for _, op := range txn.Then {
			if _, ok := f.overrides["a"]; ok && op.Delete == ProvisionKey("r") {
				t.Fatal("the Provision goes before an override")
			}
			if _, ok := f.provisions["r"]; ok && strings.HasPrefix(op.Delete, ReleasePrefix) {
				t.Fatal("a Release goes before the Provision of its machines")
			}
			change(wire.Change{Delete: op.Delete, Version: 11})
		}
	}
	if len(f.Versions()) != 0 || f.Len() != 0 {
		t.Fatalf("left: %v", f.Versions())
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
			t.Errorf("%s was applied", e.Put)
		}
	}
	if f.Len() != 0 {
		t.Error("machines out of nothing")
	}
}
