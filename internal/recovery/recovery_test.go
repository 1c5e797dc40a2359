package recovery

import (
	"encoding/json"
	"testing"
)

func TestOlder(t *testing.T) {
	for _, x := range []struct {
		held, found uint64
		want        FindingKind
	}{{5, 5, ""}, {5, 6, ""}, {0, 0, ""}, {0, 4, ""}, {5, 4, RecordStale}, {5, 0, RecordMissing}} {
		s, lost := CompareVersions("k", x.held, x.found)
		if lost != (x.want != "") || s.Kind != x.want {
			t.Errorf("held %d, found %d: %v", x.held, x.found, s)
		}
	}
}

// Each row is a record that a controller reads, by what it holds.
func TestHolderReads(t *testing.T) {
	active := func(epoch int, floor uint64) *SafeMode { return &SafeMode{Active: true, Epoch: epoch, Floor: floor} }
	over := func(epoch int) *SafeMode { return &SafeMode{Epoch: epoch} }
	for name, x := range map[string]struct {
		held         *SafeMode
		read         *SafeMode
		began, ended bool
		epoch        int
		floor        uint64
	}{
		"nothing":                     {nil, nil, false, false, 0, 0},
		"others began":                {nil, active(1, 7), true, false, 1, 7},
		"one that was over long ago":  {nil, over(3), false, false, 3, 0},
		"a new one after that":        {over(3), active(4, 7), true, false, 4, 7},
		"a late copy of one over":     {over(3), active(3, 7), false, false, 3, 0},
		"the record was lost":         {active(2, 7), nil, false, false, 2, 7},
		"the record is of an older":   {active(2, 7), over(1), false, false, 2, 7},
		"others noticed it, too":      {active(2, 7), active(2, 9), false, false, 2, 9},
		"others know less":            {active(2, 9), active(2, 7), false, false, 2, 9},
		"it is over":                  {active(2, 7), over(2), false, true, 2, 0},
		"it is over, and one after":   {active(2, 7), over(3), false, true, 3, 0},
		"another began after it":      {active(2, 9), active(3, 7), false, false, 3, 9},
		"what is over stays the same": {over(2), over(2), false, false, 2, 0},
	} {
		h := &SafeModeState{}
		if x.held != nil {
			h.mode = *x.held
		}
		began, ended := h.ApplyRecord(x.read)
		if began != x.began || ended != x.ended || h.Mode().Epoch != x.epoch || h.Mode().Floor != x.floor {
			t.Errorf("%s: began %v, ended %v, holds %+v", name, began, ended, h.Mode())
		}
	}
}

// What is held is written until the record tells it, and a second sign changes nothing.
func TestHolderWrites(t *testing.T) {
	h := &SafeModeState{}
	if _, behind := h.RecordUpdate(nil, 0); behind {
		t.Error("a record is written without a sign")
	}
	if !h.Begin("c-0", Finding{Kind: RevisionRegressed, Held: 9}, 4, 1) || h.Begin("c-0", Finding{Kind: RecordMissing}, 99, 2) {
		t.Fatal("noticed otherwise than once")
	}
	txn, behind := h.RecordUpdate(nil, 0)
	var written SafeMode
	if !behind || json.Unmarshal(txn.Then[0].Value, &written) != nil || written != h.Mode() || written.Floor != 9 {
		t.Fatalf("wrote %+v, holds %+v", written, h.Mode())
	}
	if _, behind = h.RecordUpdate(&written, 1); behind {
		t.Error("written again")
	}
	h.RaiseFloor(12)
	if txn, behind = h.RecordUpdate(&written, 1); !behind || txn.If[0].Version != 1 {
		t.Error("a higher floor is not written")
	}
	if _, behind = h.RecordUpdate(&SafeMode{Epoch: 1}, 2); behind {
		t.Error("one that is over is begun again")
	}
}
