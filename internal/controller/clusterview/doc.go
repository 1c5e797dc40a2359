// Package clusterview holds what a controller knows of the cluster from the
// state service: caches of records that lists fill and watches keep up to date.
//
// There is one type for each prefix of keys that is watched: Cluster (members,
// the leader, shard records, record formats), Machines and ActiveJobs. Each owns
// its state behind a lock of its own and guarantees that what it returns belongs
// to one state of its records, and that a record never goes back to an older
// version. All methods are safe for concurrent use.
//
// Lock order: the locks of this package are leaves. They may be taken while the
// lock of the shards is held, never the other way round, and no method calls out
// or does I/O while it holds one, but for Machines.ForEach, which says so. A caller
// that needs a view and a shard to agree holds the lock of the shards while it
// changes the view and notifies the shards of the returned changes.
package clusterview
