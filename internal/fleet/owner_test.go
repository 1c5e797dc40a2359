package fleet

import "testing"

func TestChooseOwner(t *testing.T) {
	even := map[int]string{0: "a", 1: "b", 2: "c"}
	uneven := map[int]string{0: "a", 1: "b", 2: "a"}
	for name, test := range map[string]struct {
		live      []string
		owners    map[int]string
		preferred string
		want      string
	}{
		"the preferred owner is alive":                                {[]string{"a", "c"}, even, "c", "c"},
		"the preferred owner has the most shards":                     {[]string{"a", "b"}, uneven, "a", "a"},
		"the preferred owner is gone: the first by label":             {[]string{"b", "a"}, even, "c", "a"},
		"the preferred owner is gone: the one with the fewest shards": {[]string{"a", "b"}, uneven, "c", "b"},
		"the preferred owner is gone: one without shards":             {[]string{"a", "b", "d"}, even, "c", "d"},
		"no preferred owner":                                          {[]string{"a", "b"}, uneven, "", "b"},
		"no live controller":                                          {nil, even, "c", ""},
	} {
		if got := ChooseOwner(test.live, test.owners, test.preferred); got != test.want {
			t.Errorf("%s: owner %q, want %q", name, got, test.want)
		}
	}
}
