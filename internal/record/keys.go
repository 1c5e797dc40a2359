package record

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and prefixes. Cluster records share a prefix so that one watch tells of all of them, and
// so do the records of machines.
const (
	ClusterPrefix     = "ctl/"
	LeaderKey         = "ctl/leader"
	MachineTypesKey   = "ctl/types"
	MemberPrefix      = "ctl/members/"
	ShardPrefix       = "ctl/parts/"
	FormatPrefix      = "ctl/formats/"
	ClusterKey        = "ctl/cluster" // identifies the cluster
	FleetPrefix       = "fleet/"
	ProvisionPrefix   = "fleet/rent/"
	OverridePrefix    = "fleet/own/"
	ReleasePrefix     = "fleet/back/"
	ActiveJobPrefix   = "open/"
	FinishedJobPrefix = "jobs/"
	PipelinePrefix    = "pipes/"
	PlacementsPrefix  = "runs/"
)

// Prefixes returns the prefixes of all records, none of which begins with another.
func Prefixes() []string {
	return []string{ClusterPrefix, FleetPrefix, FinishedJobPrefix, ActiveJobPrefix, PipelinePrefix, PlacementsPrefix}
}

// ShardKey names a shard's record, whose version since it was acquired is its fencing token.
func ShardKey(shard int) string { return ShardPrefix + strconv.Itoa(shard) }

// FormatKey names the record of the record format that a controller writes and reads.
func FormatKey(label string) string { return FormatPrefix + label }

// ProvisionKey names the record of a request for machines, which stands for all of them.
func ProvisionKey(name string) string { return ProvisionPrefix + name }

// OverrideKey names the record of a machine that differs from what its Provision says. Its version is
// the machine's fencing token if it is higher than the shard's.
func OverrideKey(id string) string { return OverridePrefix + id }

// ReleaseKey names a batch of machines that a shard's owner releases.
func ReleaseKey(shard int, token uint64, number int) string {
	return fmt.Sprintf("%s%d-%d-%d", ReleasePrefix, shard, token, number)
}

// ActiveJobKey names the record of a job that is not terminal.
func ActiveJobKey(ref string) string { return ActiveJobPrefix + ref }

// FinishedJobKey names the record of a job's terminal state.
func FinishedJobKey(ref string) string { return FinishedJobPrefix + ref }

// PipelineKey names a pipeline's record.
func PipelineKey(ref string) string { return PipelinePrefix + ref }

// ShardPlacementsPrefix is the prefix of a shard's placement records.
func ShardPlacementsPrefix(shard int) string { return PlacementsPrefix + strconv.Itoa(shard) + "/" }

// PlacementsKey names one of a shard's placement records by its number.
func PlacementsKey(shard, number int) string {
	return ShardPlacementsPrefix(shard) + strconv.Itoa(number)
}

// LastElement returns the last element of a key.
func LastElement(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }
