package clusterview

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Cluster is the view of the records under record.ClusterPrefix: the live
// controllers, the leader, the owners of the shards, and the record formats that
// the controllers handle. It ignores other records under that prefix.
type Cluster struct {
	freshness

	mu      sync.Mutex                             // a leaf: see the package's lock order
	members map[string]record.Member               // by label
	leader  record.Versioned[record.Leader]        // version 0: there is no leader
	shards  map[int]record.Versioned[record.Shard] // by the shard's ID
	formats map[string]record.Format               // by label
}

// ShardRecord is the record of one shard.
type ShardRecord struct {
	ID int
	record.Versioned[record.Shard]
}

// NewCluster returns a view without records.
func NewCluster() *Cluster {
	return &Cluster{
		members: map[string]record.Member{},
		shards:  map[int]record.Versioned[record.Shard]{},
		formats: map[string]record.Format{},
	}
}

// ClearUpTo drops the members, and the leader and the shard records up to a revision,
// before the records of a list as of that revision are applied. It keeps later ones, which
// this controller has written since, and the formats: their records are never deleted. A
// list older than the view shows that the state service went back: then nothing is kept.
func (v *Cluster) ClearUpTo(revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision < v.Revision() {
		revision = math.MaxUint64
	}
	clear(v.members)
	maps.DeleteFunc(v.shards, func(_ int, r record.Versioned[record.Shard]) bool { return r.Version <= revision })
	if v.leader.Version <= revision {
		v.leader = record.Versioned[record.Leader]{}
	}
}

// Forget drops the records of the shards and the leader, which the state service may have
// lost, and resets AsOf and Revision. The records are to be listed again after it.
func (v *Cluster) Forget() {
	v.forget()
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.shards)
	v.leader = record.Versioned[record.Leader]{}
}

// Apply applies a changed or deleted record to the view. It returns the shard
// records that changed, so that the caller can notify the shards that it owns. A
// record that cannot be decoded is a *RecordError.
func (v *Cluster) Apply(change wire.Change) ([]ShardRecord, error) {
	key := change.Put + change.Delete
	deleted := change.Put == ""
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case key == record.LeaderKey:
		return nil, v.applyLeader(change, deleted)
	case strings.HasPrefix(key, record.MemberPrefix):
		return nil, v.applyMember(record.LastElement(key), change, deleted)
	case strings.HasPrefix(key, record.FormatPrefix):
		return nil, v.applyFormat(record.LastElement(key), change, deleted)
	case strings.HasPrefix(key, record.ShardPrefix):
		return v.applyShard(key, change, deleted)
	}
	return nil, nil
}

// applyLeader applies the leader's record. It ignores a change that is older than the record
// held or than its deletion.
func (v *Cluster) applyLeader(change wire.Change, deleted bool) error {
	if change.Version < v.leader.Version || v.deletedSince(record.LeaderKey, change.Version) {
		return nil
	}
	if deleted {
		v.noteDeletion(record.LeaderKey, change.Version)
		v.leader = record.Versioned[record.Leader]{}
		return nil
	}
	r, err := decode[record.Leader](change)
	// The version is kept even if the record cannot be decoded: a campaign needs it to replace
	// the record.
	v.leader = record.Versioned[record.Leader]{Rec: r, Version: change.Version}
	return err
}

func (v *Cluster) applyMember(label string, change wire.Change, deleted bool) error {
	if deleted {
		delete(v.members, label)
		return nil
	}
	m, err := decode[record.Member](change)
	if err != nil {
		return err
	}
	v.members[label] = m
	return nil
}

// applyFormat applies a controller's format record. It ignores deletions, as these
// records are never deleted.
func (v *Cluster) applyFormat(label string, change wire.Change, deleted bool) error {
	if deleted {
		return nil
	}
	f, err := decode[record.Format](change)
	if err != nil {
		return err
	}
	v.formats[label] = f
	return nil
}

// applyShard applies a shard's record and returns it if it changed the view. It
// ignores deletions, as these records are never deleted.
func (v *Cluster) applyShard(key string, change wire.Change, deleted bool) ([]ShardRecord, error) {
	id, ok := shardID(key)
	if !ok || deleted {
		return nil, nil
	}
	r, err := decode[record.Shard](change)
	if err != nil {
		return nil, err
	}
	if !v.setShard(id, r, change.Version) {
		return nil, nil
	}
	return []ShardRecord{{ID: id, Versioned: v.shards[id]}}, nil
}

// shardID returns the ID of the shard in a key under record.ShardPrefix, and
// whether the key is valid.
func shardID(key string) (int, bool) {
	n, err := strconv.Atoi(record.LastElement(key))
	return n, err == nil && n >= 0
}

// SetShard sets a shard's record, for example right after this controller wrote
// it. It reports false, and changes nothing, if the view has a newer version.
func (v *Cluster) SetShard(id int, r record.Shard, version uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.setShard(id, r, version)
}

func (v *Cluster) setShard(id int, r record.Shard, version uint64) bool {
	if version < v.shards[id].Version {
		return false
	}
	v.shards[id] = record.Versioned[record.Shard]{Rec: r, Version: version}
	return true
}

// Shard returns a shard's record, and whether the view has one.
func (v *Cluster) Shard(id int) (record.Versioned[record.Shard], bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, known := v.shards[id]
	return r, known
}

// ShardVersion returns the version of a shard's record, which is the fencing
// token of the shard's owner; 0 if the view has no record.
func (v *Cluster) ShardVersion(id int) uint64 {
	r, _ := v.Shard(id)
	return r.Version
}

// Owner returns the label of a shard's owner; empty if the view has no record.
func (v *Cluster) Owner(id int) string {
	r, _ := v.Shard(id)
	return r.Rec.Owner
}

// Owners returns the labels of the owners of all shards that have a record, by the
// shard's ID.
func (v *Cluster) Owners() map[int]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	owners := make(map[int]string, len(v.shards))
	for id, r := range v.shards {
		owners[id] = r.Rec.Owner
	}
	return owners
}

// Versions returns the versions of the shards' records, by key. These records are
// never deleted.
func (v *Cluster) Versions() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := make(map[string]uint64, len(v.shards))
	for id, r := range v.shards {
		versions[record.ShardKey(id)] = r.Version
	}
	return versions
}

// Member returns a controller's member record, and whether there is one: a
// controller has a member record while it is live.
func (v *Cluster) Member(label string) (record.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, lives := v.members[label]
	return m, lives
}

// Members returns a copy of the member records of all live controllers, by label.
func (v *Cluster) Members() map[string]record.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.members)
}

// LiveMembers returns the labels of all live controllers, sorted.
func (v *Cluster) LiveMembers() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.members))
}

// Leader returns the leader's record; its version is 0 if there is none.
func (v *Cluster) Leader() record.Versioned[record.Leader] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader
}

// SetLeader sets the leader's record after an election, unless the view has this
// version or a newer one, or has seen its deletion: the answer to the election may come late.
func (v *Cluster) SetLeader(r record.Leader, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.leader.Version && !v.includes(wire.Change{Put: record.LeaderKey, Version: version}) {
		v.leader = record.Versioned[record.Leader]{Rec: r, Version: version}
	}
}

// Format returns the newest record format that a controller is recorded to handle;
// 0 if the view has no record of it.
func (v *Cluster) Format(label string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.formats[label].Version
}
