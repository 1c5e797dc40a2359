package drain

import (
	"cmp"
	"maps"
	"strconv"
	"strings"
)

// A drain must leave a zone machines that take work, and only a shard's owner knows which of its
// machines do: one that boots, hangs or is silent has the same records as one that works. So owners
// record how many do, by zone, as long as something is drained. A cordon is conditioned on all
// shards' records: of two controllers that decide at the same moment one fails, and so does one that
// did not know yet that another's machines are fewer.

// ServingPrefix is the prefix of the records of machines that take work, one for each shard.
const ServingPrefix = Prefix + "serving/"

// ServingKey names the record of a shard's machines that take work.
func ServingKey(shard int) string { return ServingPrefix + strconv.Itoa(shard) }

// Serving is how many of a shard's machines take work, by zone: as many at the least when it is
// written. Machines count whether they are cordoned or not.
type Serving struct {
	Token uint64         `json:"t"` // of the owner that counted them: another's count is unknown
	Plans uint64         `json:"p"` // the newest version of an active drain then: a later drain makes it unknown
	Zones map[string]int `json:"z"`
}

// servingRounding is the fraction by which large counts are recorded lower, so that not each
// machine that comes or goes needs a write: small counts are exact.
const servingRounding = 16

// Update returns a record that tells some counts, and whether it has to be written: when it would
// tell too many, or much fewer than there are.
func (s Serving) Update(token, plans uint64, counts map[string]int) (Serving, bool) {
	next := Serving{Token: token, Plans: plans, Zones: maps.Clone(s.Zones)}
	if next.Zones == nil {
		next.Zones = map[string]int{}
	}
	changed := s.Token != token || s.Plans < plans
	for zone := range s.Zones {
		if counts[zone] == 0 {
			delete(next.Zones, zone)
			changed = true
		}
	}
	for zone, n := range counts {
		recorded := s.Zones[zone]
		if n < recorded || n-recorded > 2*n/servingRounding {
			next.Zones[zone] = n - n/servingRounding
			changed = true
		}
	}
	return next, changed
}

// Zone is what is known of a zone's machines.
type Zone struct {
	Recorded int // in service by their records, whether they are up or not
	Serving  int // known to take work now, cordoned or not
}

// zoneLimit is how many of a zone's machines may be cordoned at a time: a share of those that take
// work, and never the last of these, unless the zone has but one machine.
func (s *Settings) zoneLimit(zone Zone) int {
	if zone.Recorded <= 1 {
		return 1
	}
	share := cmp.Or(s.ZoneShare, DefaultZoneShare)
	return min(max(1, int(share*float64(zone.Serving))), zone.Serving-1)
}

// NewestActivePlan returns the newest version of an active drain, 0 if there is none.
func (v *View) NewestActivePlan() uint64 {
	newest := uint64(0)
	for _, p := range v.plans {
		if p.Rec.State == Active {
			newest = max(newest, p.Version)
		}
	}
	return newest
}

// Serving returns the record of a shard's machines that take work.
func (v *View) Serving(shard int) Versioned[Serving] { return v.serving[shard] }

// ServingByZone sums up what the owners of some shards have recorded. What one recorded under
// another fencing token than is given for its shard, or before the newest drain, is unknown and
// counts as none.
func (v *View) ServingByZone(tokens map[int]uint64) map[string]int {
	newest := v.NewestActivePlan()
	out := map[string]int{}
	for shard, token := range tokens {
		rec := v.serving[shard].Rec
		if token == 0 || rec.Token != token || rec.Plans < newest {
			continue
		}
		for zone, n := range rec.Zones {
			out[zone] += max(0, n)
		}
	}
	return out
}

// servingShard returns the shard of a record's key.
func servingShard(key string) (int, error) {
	return strconv.Atoi(strings.TrimPrefix(key, ServingPrefix))
}
