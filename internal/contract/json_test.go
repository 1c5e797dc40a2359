package contract

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"bramblespur/internal/drain"
	"bramblespur/internal/drainctl"
	"bramblespur/internal/drainreport"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/restart"
	"bramblespur/internal/restartctl"
	"bramblespur/internal/snapshot"
	"bramblespur/internal/wire"
)

// jsonLayouts are the types that are written as JSON, by their names in the golden file.
var jsonLayouts = []struct {
	name  string
	value any
}{
	{"record ctl/leader", record.Leader{}},
	{"record ctl/types", wire.MachineTypes{}},
	{"record ctl/members/LABEL", record.Member{}},
	{"record ctl/parts/N", record.Shard{}},
	{"record ctl/formats/LABEL", record.Format{}},
	{"record ctl/cluster", snapshot.Cluster{}},
	{"record fleet/rent/NAME", record.Provision{}},
	{"record fleet/own/ID", record.Machine{}},
	{"record fleet/back/NAME", record.Release{}},
	{"record open/REF", record.ActiveJob{}},
	{"record jobs/REF", record.FinishedJob{}},
	{"record pipes/REF", record.Pipeline{}},
	{"record runs/N/N", record.Placements{}},
	{"record ctl/drain/plan/NAME", drain.Plan{}},
	{"record ctl/drain/ledger/TEAM", drain.Ledger{}},
	{"record ctl/drain/aware/LABEL", drain.Participant{}},
	{"record ctl/drain/course/NAME/N", drain.Progress{}},
	{"record ctl/drain/cordons", drain.Cordons{}},
	{"record ctl/restart/LABEL", restart.History{}},
	{"record ctl/recovery/safe-mode", recovery.SafeMode{}},
	{"record ctl/recovery/apply", recovery.Applied{}},
	{"record ctl/recovery/decisions", recovery.Decisions{}},
	{"user job", wire.Spec{}},
	{"user job status", wire.Status{}},
	{"user job brief", wire.JobState{}},
	{"user pipeline", wire.Pipeline{}},
	{"user pipeline status", wire.PipelineStatus{}},
	{"worker heartbeat", wire.Heartbeat{}},
	{"worker orders", wire.CommandBatch{}},
	{"worker direct orders", wire.DirectCommands{}},
	{"worker redirect", wire.Redirect{}},
	{"cloud types", wire.MachineTypes{}},
	{"cloud request", wire.ProvisionRequest{}},
	{"cloud names", wire.MachineNames{}},
	{"cloud list", wire.MachineList{}},
	{"state entry page", wire.EntryPage{}},
	{"state transaction", wire.Txn{}},
	{"state transaction result", wire.TxnResult{}},
	{"state lease request", wire.LeaseRequest{}},
	{"state lease", wire.LeaseGrant{}},
	{"state changes", wire.Changes{}},
	{"operators drain summary", drainctl.Summary{}},
	{"operators drain status", drainctl.Status{}},
	{"operators drain step", drainctl.Step{}},
	{"operators drain report", drainreport.Report{}},
	{"operators drain budget", drain.Budget{}},
	{"operators restart", restartctl.Episode{}},
	{"operators recovery plan", recovery.Plan{}},
	{"operators snapshot", snapshot.Listing{}},
	{"snapshot manifest", snapshot.Manifest{}},
}

// Every layout is encoded byte by byte as before, with all fields set and with none, and the golden
// text decodes to the same values.
func TestJSONLayouts(t *testing.T) {
	var written []string
	for _, x := range jsonLayouts {
		value := filled(x.value, tagged("json"))
		written = append(written, x.name+"\t"+string(record.Encode(value.Interface())),
			x.name+", empty\t"+string(record.Encode(x.value)))
	}
	golden(t, "json.golden", written)
	layouts := readLayouts(t, "testdata/json.golden")
	for _, x := range jsonLayouts {
		read := reflect.New(reflect.TypeOf(x.value))
		strict := json.NewDecoder(strings.NewReader(layouts[x.name]))
		strict.DisallowUnknownFields()
		if err := strict.Decode(read.Interface()); err != nil {
			t.Errorf("%s: %v", x.name, err)
			continue
		}
		if want := filled(x.value, tagged("json")).Interface(); !reflect.DeepEqual(read.Elem().Interface(), want) {
			t.Errorf("%s: read\n%+v, want\n%+v", x.name, read.Elem(), want)
		}
	}
}

// Every record is in the table of package record with its Go type, its writer, its readers and when
// it is deleted.
func TestEveryRecordIsListed(t *testing.T) {
	text, err := os.ReadFile("../record/doc.go")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]string{}
	for _, row := range regexp.MustCompile(`(?m)^//\t(\S+)\s+(\S+)\s+(.+)$`).FindAllStringSubmatch(string(text), -1) {
		listed["record "+row[1]] = row[2]
		if !regexp.MustCompile(`^\S.*: .+\. Read by .+\. (Stays|Goes|Deleted).*\.$`).MatchString(row[3]) {
			t.Errorf("%s: description %q lacks a writer, readers or when it is deleted", row[1], row[3])
		}
	}
	want := map[string]string{}
	for _, x := range jsonLayouts {
		if strings.HasPrefix(x.name, "record ") {
			want[x.name] = reflect.TypeOf(x.value).String()
		}
	}
	if !reflect.DeepEqual(listed, want) {
		t.Errorf("listed records are\n%v, want\n%v", listed, want)
	}
}

// readLayouts reads the layouts of a golden file by name.
func readLayouts(t *testing.T, path string) map[string]string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for lines := bufio.NewScanner(bytes.NewReader(b)); lines.Scan(); {
		name, layout, _ := strings.Cut(lines.Text(), "\t")
		out[name] = layout
	}
	return out
}

// A fleet record that is truncated or of another kind is rejected with its key in the error, and the
// records held before stay.
func TestMalformedFleetRecordsAreNotApplied(t *testing.T) {
	layouts := readLayouts(t, "testdata/json.golden")
	for key, layout := range map[string]string{
		"fleet/rent/r": strings.NewReplacer(`"parts":[`, `"parts":[1,1,`).Replace(layouts["record fleet/rent/NAME"]),
		"fleet/own/m":  layouts["record fleet/own/ID"],
		"fleet/back/b": layouts["record fleet/back/NAME"],
	} {
		f := record.NewFleet()
		if _, err := f.Apply(wire.Change{Put: key, Value: []byte(layout), Version: 1}); err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		held := f.Entries()
		for _, bad := range badValues(layout) {
			if _, err := f.Apply(wire.Change{Put: key, Value: bad, Version: 2}); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("%s: %s: error %v, want one with the key", key, bad, err)
			}
			if got := f.Entries(); !reflect.DeepEqual(got, held) {
				t.Errorf("%s: %s: held %v, want %v", key, bad, got, held)
			}
		}
	}
}

// badValues returns a layout truncated at several places, and values of other kinds.
func badValues(layout string) [][]byte {
	out := [][]byte{nil, []byte(`[]`), []byte(`"x"`), []byte(`{"ids":7,"type":7}`)}
	for at := 1; at < len(layout); at += 1 + len(layout)/7 {
		out = append(out, []byte(layout[:at]))
	}
	return out
}

// A malformed record of a drain is rejected with its key in the error, and nothing of it is held.
func TestMalformedDrainRecordsAreNotApplied(t *testing.T) {
	layouts := readLayouts(t, "testdata/json.golden")
	for key, name := range map[string]string{
		"ctl/drain/plan/p":     "record ctl/drain/plan/NAME",
		"ctl/drain/ledger/a":   "record ctl/drain/ledger/TEAM",
		"ctl/drain/course/p/0": "record ctl/drain/course/NAME/N",
		"ctl/drain/cordons":    "record ctl/drain/cordons",
	} {
		layout := layouts[name]
		for at := 0; at < len(layout); at += 1 + len(layout)/7 {
			v := drain.NewView()
			err := v.Apply(wire.Change{Put: key, Value: []byte(layout[:at]), Version: 1})
			if err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("%s: %q: error %v, want one with the key", key, layout[:at], err)
			}
			held := len(v.Plans()) + len(v.Ledger("a").Rec.Open) + len(v.AllProgress("p")) + len(v.Cordons().Rec.Machines)
			if held != 0 || v.InUse() {
				t.Errorf("%s: %q: %d records are held, want none", key, layout[:at], held)
			}
		}
	}
}
