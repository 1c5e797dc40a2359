package fleet

import "testing"

func TestChooseOwner(t *testing.T) {
	even := map[int]string{0: "a", 1: "b", 2: "c"}
	uneven := map[int]string{0: "a", 1: "b", 2: "a"}
	for name, x := range map[string]struct {
		live      []string
		owners    map[int]string
		preferred string
		want      string
	}{
		"the preferred owner is alive":      {[]string{"a", "c"}, even, "c", "c"},
		"it has more shards than others":    {[]string{"a", "b"}, uneven, "a", "a"},
		"it is gone: the first by label":    {[]string{"b", "a"}, even, "c", "a"},
		"it is gone: the one with fewest":   {[]string{"a", "b"}, uneven, "c", "b"},
		"one without shards has the fewest": {[]string{"a", "b", "d"}, even, "c", "d"},
		"none is preferred":                 {[]string{"a", "b"}, uneven, "", "b"},
		"nobody is alive":                   {nil, even, "c", ""},
	} {
		if got := ChooseOwner(x.live, x.owners, x.preferred); got != x.want {
			t.Errorf("%s: %q, want %q", name, got, x.want)
		}
	}
}
