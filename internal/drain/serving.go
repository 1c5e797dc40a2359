package drain

import (
	"cmp"
	"maps"
	"strconv"
	"strings"
)

// A drain must leave each zone machines that take work. Only a shard's owner can determine which of
// its machines do, because a machine that boots, hangs or sends no heartbeats has the same records as one
// that works. So while a drain is active, each owner records how many of its machines take work, by
// zone. A cordon is conditional on the records of all shards. If two controllers decide at the same
// moment, the transaction of one of them fails, and so does one that is based on an outdated count of
// another shard.

// ServingPrefix is the key prefix of the Serving records, one for each shard.
const ServingPrefix = Prefix + "serving/"

// ServingKey returns the key of a shard's Serving record.
func ServingKey(shard int) string { return ServingPrefix + strconv.Itoa(shard) }

// Serving is the record of how many of a shard's machines take work, by zone. At the time of writing
// it counts no more machines than there are. Machines that would take work but for a cordon count, too.
type Serving struct {
	Token uint64         `json:"t"` // fencing token of the owner that counted; invalid under another owner
	Plans uint64         `json:"p"` // NewestActivePlan at the time of counting; invalid once it is newer
	Zones map[string]int `json:"z"` // machines by zone
}

// servingRounding determines how much lower a count is recorded than it is: by 1/servingRounding of it,
// rounded down, so that not each machine that comes or goes needs a write. Small counts are exact.
const servingRounding = 16

// Update returns the record for the present token, plan version and counts by zone, and whether it has
// to be written: if the token differs or the plan version is newer, or if the old record counts more
// machines of a zone than there are, or much fewer.
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

// Zone counts the machines of a zone.
type Zone struct {
	Recorded int // machines in service by their records, whether they are up or not
	Serving  int // machines known to take work now, or that would but for a cordon
}

// zoneLimit returns how many of a zone's machines may be cordoned at a time: a share of those that take
// work, but not the last of them unless the zone has only one machine. It is negative if no machine is
// known to take work.
func (s *Settings) zoneLimit(zone Zone) int {
	if zone.Recorded <= 1 {
		return 1
	}
	share := cmp.Or(s.ZoneShare, DefaultZoneShare)
	return min(max(1, int(share*float64(zone.Serving))), zone.Serving-1)
}

// NewestActivePlan returns the highest record version among the active drains, or 0 if there is none.
func (v *View) NewestActivePlan() uint64 {
	newest := uint64(0)
	for _, p := range v.plans {
		if p.Rec.State == Active {
			newest = max(newest, p.Version)
		}
	}
	return newest
}

// Serving returns a shard's Serving record.
func (v *View) Serving(shard int) Versioned[Serving] { return v.serving[shard] }

// ServingByZone sums up the Serving records of the shards in tokens. A record counts only if it was
// written under the shard's fencing token in tokens and since the newest active drain.
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

// servingShard returns the shard of a Serving record from its key.
func servingShard(key string) (int, error) {
	return strconv.Atoi(strings.TrimPrefix(key, ServingPrefix))
}
