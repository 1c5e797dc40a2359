package record

import (
	"encoding/json"
	"testing"
)

// A placement is encoded as a pair of a string and a whole number. Anything else is refused.
func TestTaskPlacementIsAPair(t *testing.T) {
	want := TaskPlacement{Machine: "i-000001", Attempt: 1<<63 + 1} // more than a float holds
	var got TaskPlacement
	if err := json.Unmarshal(Encode(want), &got); err != nil || got != want {
		t.Errorf("got %+v (%v), want %+v", got, err, want)
	}
	for _, text := range []string{`[]`, `["a"]`, `["a",1,2]`, `[1,"a"]`, `["a",-1]`, `["a",1.5]`, `{}`, `"a"`, `7`} {
		if err := json.Unmarshal([]byte(text), new(TaskPlacement)); err == nil {
			t.Errorf("%s was decoded as a placement, want an error", text)
		}
	}
}
