package fleet

import "slices"

// ChooseOwner says which live controller takes a shard whose owner is gone: the preferred
// one if that is alive, else the one with the fewest shards.
func ChooseOwner(live []string, owners map[int]string, preferred string) string {
	if slices.Contains(live, preferred) {
		return preferred
	}
	owned := map[string]int{}
	for _, owner := range owners {
		owned[owner]++
	}
	best := ""
	for _, label := range live {
		if best == "" || owned[label] < owned[best] || (owned[label] == owned[best] && label < best) {
			best = label
		}
	}
	return best
}
