package leader

import (
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// A machine in the cloud's list is suspected to be unrecorded only if no record names it or named it
// recently, no provision is under way, and it is in two lists in a row, since the list lags.
func TestUnrecordedMachinesOfTheList(t *testing.T) {
	list := []wire.ListedMachine{{ID: "m", Addr: "m:1"}}
	for name, x := range map[string]struct {
		recorded     bool
		goneFor      time.Duration // since a record last named the machine; 0 if none ever did
		provisioning bool
		lists        int // how many times the list is read
		want         bool
	}{
		"in one list":              {lists: 1},
		"in two lists":             {lists: 2, want: true},
		"in three lists":           {lists: 3, want: true},
		"recorded":                 {recorded: true, lists: 3},
		"provisions are under way": {provisioning: true, lists: 3},
		"released a moment ago":    {goneFor: time.Second, lists: 3},
		"released long ago":        {goneFor: recentlyRecordedLags*5*time.Second + 1, lists: 2, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			machines, now := clusterview.NewMachines(), time.Now()
			v := newInventory()
			if x.recorded {
				rec := record.Provision{Type: "big", Zone: "z", Shards: []int{0}, IDs: []string{"m"}}
				machines.Apply([]wire.Change{{Put: record.ProvisionKey("p"), Value: record.Encode(rec), Version: 1}})
			}
			if x.goneFor > 0 {
				v.lastRecordedAt["m"] = now.Add(-x.goneFor)
			}
			v.track(machines, config.Cloud{ListLagS: 5}, now, map[string]string{})
			got := false
			for range x.lists {
				_, got = v.suspects(list, machines, x.provisioning)["m"]
			}
			if got != x.want {
				t.Errorf("suspected: %t, want %t", got, x.want)
			}
		})
	}
}

// Suspects count as unrecorded only if the records read from the state service do not name them
// either and no provision there is without an answer, since the view may be behind.
func TestRecordsDecideOnSuspects(t *testing.T) {
	suspects := map[string]int{"m": 2}
	if got := confirmUnrecorded(suspects, record.NewFleet()); len(got) != 1 {
		t.Errorf("unrecorded machines %v, want m", got)
	}
	recorded := record.NewFleet()
	put(t, recorded, record.ProvisionKey("p"), record.Provision{Type: "big", Zone: "z", Shards: []int{0}, IDs: []string{"m"}})
	if got := confirmUnrecorded(suspects, recorded); len(got) != 0 {
		t.Errorf("unrecorded machines %v, want none: the record of a provision names the machine", got)
	}
	unanswered := record.NewFleet()
	put(t, unanswered, record.ProvisionKey("p"), record.Provision{Type: "big", Zone: "z", Shards: []int{0}})
	if got := confirmUnrecorded(suspects, unanswered); len(got) != 0 {
		t.Errorf("unrecorded machines %v, want none: a provision has not been answered", got)
	}
}

// The leader releases the machines without a record, and no others.
func TestCompareCloudList(t *testing.T) {
	state := testkit.NewState()
	host, l := newTestLeader(t, state)
	term := l.ensureTerm(time.Now())
	ids, err := host.cloud.Provision(t.Context(), wire.ProvisionRequest{Request: "late", Type: "big", Zone: "z", Count: 1})
	if err != nil {
		t.Fatal(err)
	}
	own, err := host.cloud.Provision(t.Context(), wire.ProvisionRequest{Request: "own", Type: "big", Zone: "z", Count: 1})
	if err != nil {
		t.Fatal(err)
	}
	host.recordWriter(state)(record.ProvisionKey("own"), record.Provision{Type: "big", Zone: "z", Shards: []int{0}, IDs: own})
	for range 2 {
		l.compareCloudList(t.Context(), term)
	}
	if len(host.cloud.Released) != 1 || host.cloud.Released[0] != ids[0] {
		t.Errorf("released %v, want %v", host.cloud.Released, ids)
	}
}

// put adds a record to a fleet that was read from the state service.
func put(t *testing.T, machines *record.Fleet, key string, v any) {
	t.Helper()
	if _, err := machines.Apply(wire.Change{Put: key, Value: record.Encode(v), Version: 1}); err != nil {
		t.Fatal(err)
	}
}
