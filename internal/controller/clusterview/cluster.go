package clusterview

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Cluster is the view of the records under record.ClusterPrefix: which
// controllers live, who leads, who owns which shard, and which record formats
// the controllers handle. Other records of that prefix belong to others.
type Cluster struct {
	freshness

	mu      sync.Mutex // a leaf: see the package's lock order
	members map[string]record.Member
	leader  record.Versioned[record.Leader]
	shards  map[int]record.Versioned[record.Shard]
	formats map[string]record.Format
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

// Clear drops all records before those of a list are applied. Formats are never
// taken back, so those known stay.
func (v *Cluster) Clear() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.shards)
	clear(v.members)
	v.leader = record.Versioned[record.Leader]{}
}

// ForgetShards drops what the state service may have lost: the shards' records,
// and how recent the view is. It is to be listed anew.
func (v *Cluster) ForgetShards() {
	v.forget()
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.shards)
}

// Apply takes a changed or deleted record into the view. It returns the shard
// records that changed by it, for the caller to tell the shards held.
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

func (v *Cluster) applyLeader(change wire.Change, deleted bool) error {
	if deleted {
		v.leader = record.Versioned[record.Leader]{}
		return nil
	}
	r, err := decode[record.Leader](change)
	// The version counts also where the rest cannot be decoded: a campaign replaces that record.
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

// applyShard applies a shard's record. Shards are never deleted.
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

// shardID returns the shard that a key under record.ShardPrefix names.
func shardID(key string) (int, bool) {
	n, err := strconv.Atoi(record.LastElement(key))
	return n, err == nil && n >= 0
}

// SetShard records who owns a shard as of a version, for example right after
// this controller wrote it, and reports false if a newer record is known.
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

// Shard returns a shard's record and whether one is known.
func (v *Cluster) Shard(id int) (record.Versioned[record.Shard], bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, known := v.shards[id]
	return r, known
}

// ShardVersion returns the version of a shard's record, which is the fencing
// token of its owner; it is 0 if none is known.
func (v *Cluster) ShardVersion(id int) uint64 {
	r, _ := v.Shard(id)
	return r.Version
}

// Owner returns who owns a shard; it is empty if that is not known.
func (v *Cluster) Owner(id int) string {
	r, _ := v.Shard(id)
	return r.Rec.Owner
}

// Owners returns the owners of all shards that have a record.
func (v *Cluster) Owners() map[int]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	owners := make(map[int]string, len(v.shards))
	for id, r := range v.shards {
		owners[id] = r.Rec.Owner
	}
	return owners
}

// Versions returns the versions of the records that are never deleted, which
// are those of the shards, by key.
func (v *Cluster) Versions() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := make(map[string]uint64, len(v.shards))
	for id, r := range v.shards {
		versions[record.ShardKey(id)] = r.Version
	}
	return versions
}

// Member returns a controller's member record; there is one while it lives.
func (v *Cluster) Member(label string) (record.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, lives := v.members[label]
	return m, lives
}

// Members returns the member records of all controllers that live.
func (v *Cluster) Members() map[string]record.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.members)
}

// LiveMembers returns the labels of all controllers that live, in order.
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

// SetLeader records who was elected leader, unless a newer record is known.
func (v *Cluster) SetLeader(r record.Leader, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.leader.Version {
		v.leader = record.Versioned[record.Leader]{Rec: r, Version: version}
	}
}

// Format returns the newest record format that a controller is known to handle.
func (v *Cluster) Format(label string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.formats[label].Version
}
