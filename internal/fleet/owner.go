package fleet

import "slices"

// ChooseOwner returns the label of the live controller that acquires a shard whose owner is gone:
// the preferred owner if it is live, otherwise the controller with the fewest shards, the first by
// label if several have as few. It returns "" if no controller is live.
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
