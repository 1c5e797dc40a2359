package fleet

import "sort"

// growthMargin allows for what needs grow between two turns.
const growthMargin = 1.25

// FairShare divides a limit among controllers by what each needs: everybody gets that and a
// little more, up to an equal share; what is left over goes to those that need more, and at
// the end to all alike, so that a sudden need finds some room.
func FairShare(limit float64, needs map[string]float64) map[string]float64 {
	shares := map[string]float64{}
	labels := make([]string, 0, len(needs))
	for label := range needs {
		labels = append(labels, label)
	}
	// The smallest needs are met first; each raises what the others may have.
	sort.Slice(labels, func(i, j int) bool {
		a, b := labels[i], labels[j]
		if needs[a] != needs[b] {
			return needs[a] < needs[b]
		}
		return a < b
	})
	// Half an equal share is everybody's, needed or not.
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
