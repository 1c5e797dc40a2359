package ratelimit

import (
	"maps"
	"slices"
)

// ClusterShares is the leader's account of what it has given out of the commands of all. A share is
// raised only by what is certainly free: whoever has not confirmed a smaller share may still
// be using the one before, and who is silent may be back at an equal share.
type ClusterShares struct {
	total    float64
	granted  map[string]float64 // what each was given last
	maxInUse map[string]float64 // the most that each may be using
}

// NewClusterShares returns the account of a new leader: whatever its predecessor gave out has
// ended by now, so that each may be using an equal share.
func NewClusterShares(total float64, labels []string) *ClusterShares {
	s := &ClusterShares{total: total, granted: map[string]float64{}, maxInUse: map[string]float64{}}
	for _, l := range labels {
		s.maxInUse[l] = total / float64(len(labels))
		s.granted[l] = s.maxInUse[l]
	}
	return s
}

// Next returns the shares to give out, as close to the wanted ones as is safe.
func (s *ClusterShares) Next(wanted map[string]float64) map[string]float64 {
	free := s.total
	for _, most := range s.maxInUse {
		free -= most
	}
	out := map[string]float64{}
	for _, label := range slices.Sorted(maps.Keys(wanted)) {
		share := min(wanted[label], s.granted[label]+max(0, free))
		if share > s.maxInUse[label] {
			free -= share - s.maxInUse[label]
			s.maxInUse[label] = share
		}
		s.granted[label] = share
		out[label] = share
	}
	return out
}

// SetTotal follows the fleet's size. Where there is less to share out, shares are lowered as
// they are wanted, and none is raised before that is confirmed.
func (s *ClusterShares) SetTotal(total float64) { s.total = total }

// Confirm records that a controller goes by a share now.
func (s *ClusterShares) Confirm(label string, share float64) { s.maxInUse[label] = share }

// MarkSilent records that a controller has not answered: it may be back at an equal share soon,
// and be using the one before until then.
func (s *ClusterShares) MarkSilent(label string) {
	s.maxInUse[label] = max(s.maxInUse[label], s.total/float64(len(s.maxInUse)))
}
