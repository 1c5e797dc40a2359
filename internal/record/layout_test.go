package record

import (
	"encoding/json"
	"reflect"
	"testing"

	"bramblespur/internal/wire"
)

// layoutSpec returns a specification with every field of the first version set.
func layoutSpec() wire.Spec {
	zone, deadline := "z1", 90.5
	return wire.Spec{
		Ref: "run-000001", Class: "c", Team: "a", Kind: wire.Array, Priority: "normal", Tasks: 3,
		CPUs: 4, GPUs: 1, MemoryGB: 10, Types: []string{"big"}, Zone: &zone, OneZone: true, Spread: true, Spot: true,
		Image: "img", ImageGB: 6.2, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: &deadline,
	}
}

// The bytes are those that the version named as production in deploy/service.toml writes for these
// values. During an upgrade both versions use the same records: this version must read the same values
// from records of the other, and must write the same bytes where it sets none of its own fields.
func TestLayoutOfProduction(t *testing.T) {
	for _, x := range []struct {
		layout string
		value  any
	}{
		{`{"label":"c-0","inc":7}`, Leader{Label: "c-0", Incarnation: 7}},
		{`{"inc":7,"deaf":true,"alone":true}`, Member{Incarnation: 7, Isolated: true, WithoutPeers: true}},
		{`{"owner":"c-1","inc":9,"to":"c-2"}`, Shard{Owner: "c-1", Incarnation: 9, TransferTo: "c-2"}},
		{`{"type":"big","zone":"z1","spot":true,"part":2,"born":1700,"images":[{"name":"img","gb":6.2}]}`,
			Machine{Type: "big", Zone: "z1", Spot: true, Shard: 2, CreatedAt: 1700, Images: []Image{{Name: "img", GB: 6.2}}}},
		{`{"type":"big","zone":"z1","spot":true,"parts":[0,2],"ids":["m1","m2"],"born":1700,"addrs":["a1","a2"]}`,
			Provision{Type: "big", Zone: "z1", Spot: true, Shards: []int{0, 2}, IDs: []string{"m1", "m2"}, CreatedAt: 1700, Addrs: []string{"a1", "a2"}}},
		{`{"ids":["m1"],"done":true}`, Release{IDs: []string{"m1"}, Done: true}},
		{`{"spec":` + specLayout + `,"part":1,"at":1701,"cancelled":true,"pipe":"pipe-000001","held":true}`,
			ActiveJob{Spec: layoutSpec(), Shard: 1, AcceptedAt: 1701, Cancelled: true, Pipeline: "pipe-000001", AwaitsDependencies: true}},
		{`{"part":1,"jobs":["run-000001","run-000002"],"links":[{"from":["run-000001"],"to":["run-000002"]}],` +
			`"choices":[{"at":"run-000001","done":"run-000002","aborted":"run-000003"}],` +
			`"ended":[{"ref":"run-000001","state":"done"}],"state":"aborted"}`,
			Pipeline{Shard: 1, Jobs: []string{"run-000001", "run-000002"}, Links: []wire.Link{{From: []string{"run-000001"}, To: []string{"run-000002"}}},
				Choices: []wire.Choice{{At: "run-000001", Done: "run-000002", Cancelled: "run-000003"}},
				Ended:   []PipelineJobEnd{{Ref: "run-000001", State: wire.Done}}, State: wire.Cancelled}},
		{`{"state":"done","n":3}`, FinishedJob{State: wire.Done, Tasks: 3}},
		{`{"r":{"run-000001:0":{"a":2,"on":{"1":["m1",2]},"done":[[0,0],[2,5]]}}}`,
			Placements{Ranges: map[string]TaskRange{"run-000001:0": {Attempt: 2, Placed: map[int]TaskPlacement{1: {Machine: "m1", Attempt: 2}}, Completed: [][2]int{{0, 0}, {2, 5}}}}}},
	} {
		read := reflect.New(reflect.TypeOf(x.value))
		if err := json.Unmarshal([]byte(x.layout), read.Interface()); err != nil {
			t.Errorf("%T: %v", x.value, err)
			continue
		}
		if got := read.Elem().Interface(); !reflect.DeepEqual(got, x.value) {
			t.Errorf("%T: read %+v, want %+v", x.value, got, x.value)
		}
		if got := string(Encode(x.value)); got != x.layout {
			t.Errorf("%T: encoded as\n%s, want\n%s", x.value, got, x.layout)
		}
	}
}

// specLayout is the JSON form of layoutSpec.
const specLayout = `{"ref":"run-000001","thicket":"c","keeper":"a","habit":"batch","rank":"normal","berries":3,` +
	`"cores":4,"cards":1,"ram_gb":10,"stocks":["big"],"patch":"z1","same_place":true,"scatter":true,"windfall":true,"seedling":"img","pull_gb":6.2,"ripen_s":240,"graft_s":30,"press_s":4,"harvest_s":90.5}`
