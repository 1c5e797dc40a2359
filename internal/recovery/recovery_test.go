package recovery

import (
	"encoding/json"
	"testing"
)

func TestCompareVersions(t *testing.T) {
	for _, x := range []struct {
		held, found uint64
		want        FindingKind
	}{{5, 5, ""}, {5, 6, ""}, {0, 0, ""}, {0, 4, ""}, {5, 4, RecordStale}, {5, 0, RecordMissing}} {
		finding, lost := CompareVersions("k", x.held, x.found)
		if lost != (x.want != "") || finding.Kind != x.want {
			t.Errorf("held version %d, found %d: finding %v", x.held, x.found, finding)
		}
	}
}

// Each entry is a record that a controller reads, and the safe mode that it holds before.
func TestApplyRecord(t *testing.T) {
	active := func(epoch int, floor uint64) *SafeMode { return &SafeMode{Active: true, Epoch: epoch, Floor: floor} }
	inactive := func(epoch int) *SafeMode { return &SafeMode{Epoch: epoch} }
	for name, x := range map[string]struct {
		held         *SafeMode
		read         *SafeMode
		began, ended bool
		epoch        int
		floor        uint64
	}{
		"nothing":                           {nil, nil, false, false, 0, 0},
		"another controller began it":       {nil, active(1, 7), true, false, 1, 7},
		"an earlier one that has ended":     {nil, inactive(3), false, false, 3, 0},
		"a new one after one that ended":    {inactive(3), active(4, 7), true, false, 4, 7},
		"a late copy of one that ended":     {inactive(3), active(3, 7), false, false, 3, 0},
		"the record was lost":               {active(2, 7), nil, false, false, 2, 7},
		"the record is of an earlier one":   {active(2, 7), inactive(1), false, false, 2, 7},
		"the record has a higher floor":     {active(2, 7), active(2, 9), false, false, 2, 9},
		"the record has a lower floor":      {active(2, 9), active(2, 7), false, false, 2, 9},
		"it has ended":                      {active(2, 7), inactive(2), false, true, 2, 0},
		"it has ended, and so has the next": {active(2, 7), inactive(3), false, true, 3, 0},
		"the next one is active":            {active(2, 9), active(3, 7), false, false, 3, 9},
		"one that ended stays unchanged":    {inactive(2), inactive(2), false, false, 2, 0},
	} {
		state := &SafeModeState{}
		if x.held != nil {
			state.mode = *x.held
		}
		began, ended := state.ApplyRecord(x.read)
		if began != x.began || ended != x.ended || state.Mode().Epoch != x.epoch || state.Mode().Floor != x.floor {
			t.Errorf("%s: began %t, ended %t, holds %+v", name, began, ended, state.Mode())
		}
	}
}

// An active safe mode is written until the record has it, and a second finding changes nothing.
func TestRecordUpdate(t *testing.T) {
	state := &SafeModeState{}
	if _, behind := state.RecordUpdate(nil, 0); behind {
		t.Error("a record is written without a finding")
	}
	if !state.Begin("c-0", Finding{Kind: RevisionRegressed, Held: 9}, 4, 1) || state.Begin("c-0", Finding{Kind: RecordMissing}, 99, 2) {
		t.Fatal("the first finding did not begin a safe mode, or the second began one")
	}
	txn, behind := state.RecordUpdate(nil, 0)
	var written SafeMode
	if !behind || json.Unmarshal(txn.Then[0].Value, &written) != nil || written != state.Mode() || written.Floor != 9 {
		t.Fatalf("wrote %+v, holds %+v", written, state.Mode())
	}
	if _, behind = state.RecordUpdate(&written, 1); behind {
		t.Error("the record is written again although it is up to date")
	}
	state.RaiseFloor(12)
	if txn, behind = state.RecordUpdate(&written, 1); !behind || txn.If[0].Version != 1 {
		t.Error("a higher floor is not written")
	}
	if _, behind = state.RecordUpdate(&SafeMode{Epoch: 1}, 2); behind {
		t.Error("a safe mode that has ended is written as active again")
	}
}
