package record

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and prefixes. Cluster records share a prefix so that one watch covers all of them, and so do
// the records of machines.
const (
	ClusterPrefix     = "ctl/"
	LeaderKey         = "ctl/leader"
	MachineTypesKey   = "ctl/types"
	MemberPrefix      = "ctl/members/"
	ShardPrefix       = "ctl/parts/"
	FormatPrefix      = "ctl/formats/"
	ClusterKey        = "ctl/cluster" // its record identifies the cluster
	FleetPrefix       = "fleet/"
	ProvisionPrefix   = "fleet/rent/"
	OverridePrefix    = "fleet/own/"
	ReleasePrefix     = "fleet/back/"
	ActiveJobPrefix   = "open/"
	FinishedJobPrefix = "jobs/"
	PipelinePrefix    = "pipes/"
	PlacementsPrefix  = "runs/"
)

// Prefixes returns prefixes that cover all records. None of them begins with another.
func Prefixes() []string {
	return []string{ClusterPrefix, FleetPrefix, FinishedJobPrefix, ActiveJobPrefix, PipelinePrefix, PlacementsPrefix}
}

// ShardKey returns the key of a shard's record. The record's version since the shard was acquired is
// the shard's fencing token.
func ShardKey(shard int) string { return ShardPrefix + strconv.Itoa(shard) }

// FormatKey returns the key of a controller's Format.
func FormatKey(label string) string { return FormatPrefix + label }

// ProvisionKey returns the key of a Provision, the record of a request for machines and of all
// machines that the cloud provides for it.
func ProvisionKey(name string) string { return ProvisionPrefix + name }

// OverrideKey returns the key of the record of a machine that differs from what its Provision says.
// The record's version is the machine's fencing token if it is higher than the shard's.
func OverrideKey(id string) string { return OverridePrefix + id }

// ReleaseKey returns the key of a batch of machines that a shard's owner releases: the batches are
// numbered under the fencing token of the shard.
func ReleaseKey(shard int, token uint64, number int) string {
	return fmt.Sprintf("%s%d-%d-%d", ReleasePrefix, shard, token, number)
}

// ActiveJobKey returns the key of the record of a job that is not terminal.
func ActiveJobKey(ref string) string { return ActiveJobPrefix + ref }

// FinishedJobKey returns the key of the record of a job's terminal state.
func FinishedJobKey(ref string) string { return FinishedJobPrefix + ref }

// PipelineKey returns the key of a pipeline's record.
func PipelineKey(ref string) string { return PipelinePrefix + ref }

// ShardPlacementsPrefix returns the prefix of the keys of a shard's placement records.
func ShardPlacementsPrefix(shard int) string { return PlacementsPrefix + strconv.Itoa(shard) + "/" }

// PlacementsKey returns the key of the placement record of a shard with a number.
func PlacementsKey(shard, number int) string {
	return ShardPlacementsPrefix(shard) + strconv.Itoa(number)
}

// LastElement returns the part of a key after its last slash.
func LastElement(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }
