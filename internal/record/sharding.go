package record

import (
	"hash/fnv"
	"sort"
)

// ShardForJob returns the shard of a job. Jobs are assigned by team, teams to shards in the order of
// their names; without teams, jobs are assigned by a hash of their reference. teams must be sorted.
// Every version returns the same shard.
func ShardForJob(teams []string, team, ref string, shards int) int {
	if len(teams) == 0 {
		return int(Hash(ref) % uint32(shards))
	}
	return sort.SearchStrings(teams, team) % shards
}

// Hash returns a hash that spreads names evenly and is the same on every controller.
func Hash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}
