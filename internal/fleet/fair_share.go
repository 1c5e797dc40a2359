package fleet

import "sort"

// Usage is what one controller needed of the state service.
type Usage struct{ Requests, Changes int }

// FairShare divides a limit: everybody gets what it needs and a little more, up to
// an equal share; what is left over goes to those that need more, and at the
// end to all alike, so that a sudden need finds some room.
func FairShare(limit float64, needs map[string]float64) map[string]float64 {
	const margin = 1.25 // needs grow between two turns
	out := map[string]float64{}
	labels := make([]string, 0, len(needs))
	for l := range needs {
		labels = append(labels, l)
	}
	// The smallest needs are met first; each raises what the others may have.
	sort.Slice(labels, func(a, b int) bool {
		if needs[labels[a]] != needs[labels[b]] {
			return needs[labels[a]] < needs[labels[b]]
		}
		return labels[a] < labels[b]
	})
	// Half an equal share is everybody's, needed or not.
	floor := limit / float64(2*max(len(labels), 1))
	left := limit
	for i, l := range labels {
		fair := left / float64(len(labels)-i)
		out[l] = min(max(needs[l]*margin, floor), fair)
		left -= out[l]
	}
	for _, l := range labels {
		out[l] += left / float64(len(labels))
	}
	return out
}
