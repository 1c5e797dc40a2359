package ratelimit

import (
	"maps"
	"slices"
)

// ClusterShares is the leader's account of the shares, in commands per second, that it has granted
// to controllers. A share is raised only by what is certainly free: a controller that has not
// confirmed a smaller share may still be using the previous one, and a silent controller may have
// gone back to an equal share. It is not safe for concurrent use.
type ClusterShares struct {
	total    float64            // commands per second of all controllers together
	granted  map[string]float64 // by label: the share granted last
	maxInUse map[string]float64 // by label: the highest share that the controller may be using
}

// NewClusterShares returns the account of a new leader for the controllers with labels. The shares
// that its predecessor granted have expired by then, so each controller may be using an equal share.
func NewClusterShares(total float64, labels []string) *ClusterShares {
	s := &ClusterShares{total: total, granted: map[string]float64{}, maxInUse: map[string]float64{}}
	for _, l := range labels {
		s.maxInUse[l] = total / float64(len(labels))
		s.granted[l] = s.maxInUse[l]
	}
	return s
}

// Next returns the shares to grant, as close to the wanted ones as is safe, and records them as
// granted.
func (s *ClusterShares) Next(wanted map[string]float64) map[string]float64 {
	free := s.total
	for _, share := range s.maxInUse {
		free -= share
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

// SetTotal sets the total, which depends on the fleet's size. If it is lower than before, Next lowers
// shares as wanted, and raises none before the lower ones are confirmed.
func (s *ClusterShares) SetTotal(total float64) { s.total = total }

// Confirm records that a controller uses a share now.
func (s *ClusterShares) Confirm(label string, share float64) { s.maxInUse[label] = share }

// MarkSilent records that a controller has not answered: it may go back to an equal share soon, and
// may be using its previous share until then.
func (s *ClusterShares) MarkSilent(label string) {
	s.maxInUse[label] = max(s.maxInUse[label], s.total/float64(len(s.maxInUse)))
}
