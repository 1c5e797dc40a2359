package fleet

import "sort"

// growthMargin is the factor by which a need may grow before the limit is divided again.
const growthMargin = 1.25

// FairShare divides a limit among controllers by what each of them needs, by label, and returns
// the shares. Each controller gets its need and a margin, up to an equal share. What is left goes
// to the controllers that need more, and the rest is divided equally, so that each controller has
// room for a sudden need.
func FairShare(limit float64, needs map[string]float64) map[string]float64 {
	shares := map[string]float64{}
	labels := make([]string, 0, len(needs))
	for label := range needs {
		labels = append(labels, label)
	}
	// The smallest needs are met first; what they leave raises the equal share of the others.
	sort.Slice(labels, func(i, j int) bool {
		a, b := labels[i], labels[j]
		if needs[a] != needs[b] {
			return needs[a] < needs[b]
		}
		return a < b
	})
	// Each controller gets at least half an equal share, whatever it needs.
	floor := limit / float64(2*max(len(labels), 1))
	left := limit
	for i, label := range labels {
		fair := left / float64(len(labels)-i)
		shares[label] = min(max(needs[label]*growthMargin, floor), fair)
		left -= shares[label]
	}
	for _, label := range labels {
		shares[label] += left / float64(len(labels))
	}
	return shares
}
