package pace

import (
	"maps"
	"slices"
)

// Shares is the leader's account of what it has given out of the orders of all. A share is
// raised only by what is certainly free: whoever has not confirmed a smaller share may still
// be using the one before, and who is silent may be back at an equal share.
type Shares struct {
	total float64
	told  map[string]float64 // what each was given last
	may   map[string]float64 // the most that each may be using
}

// NewShares returns the account of a new leader: whatever its predecessor gave out has
// ended by now, so that each may be using an equal share.
func NewShares(total float64, labels []string) *Shares {
	s := &Shares{total: total, told: map[string]float64{}, may: map[string]float64{}}
	for _, l := range labels {
		s.may[l] = total / float64(len(labels))
		s.told[l] = s.may[l]
	}
	return s
}

// Next returns the shares to give out, as close to the wanted ones as is safe.
func (s *Shares) Next(wanted map[string]float64) map[string]float64 {
	free := s.total
	for _, most := range s.may {
		free -= most
	}
	out := map[string]float64{}
	for _, label := range slices.Sorted(maps.Keys(wanted)) {
		share := min(wanted[label], s.told[label]+max(0, free))
		if share > s.may[label] {
			free -= share - s.may[label]
			s.may[label] = share
		}
		s.told[label] = share
		out[label] = share
	}
	return out
}

// SetTotal follows the fleet's size. Where there is less to share out, shares are lowered as
// they are wanted, and none is raised before that is confirmed.
func (s *Shares) SetTotal(total float64) { s.total = total }

// Confirm takes in that a controller goes by a share now.
func (s *Shares) Confirm(label string, share float64) { s.may[label] = share }

// Silent takes in that a controller has not answered: it may be back at an equal share soon,
// and be using the one before until then.
func (s *Shares) Silent(label string) {
	s.may[label] = max(s.may[label], s.total/float64(len(s.may)))
}
