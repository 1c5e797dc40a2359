// Package clusterview holds a controller's views: local caches of the state
// service's records. A list of the records fills a view, and a watch keeps it up
// to date.
//
// There is one type for each prefix of keys that is watched: Cluster (members,
// the leader, shard records, record formats), Machines and ActiveJobs. Each
// guards its state by its own lock. The result of a method always comes from one
// consistent state of the view, and a record is never replaced by an older
// version, nor does an older version follow its deletion. All methods are safe for
// concurrent use.
//
// Lock order: the locks of this package are leaves. They may be taken while the
// shards' lock is held, never the other way round. No method does I/O or calls
// other code while it holds one, except Machines.ForEach, which says so. A caller
// that needs a view and a shard to agree holds the shards' lock while it changes
// the view and notifies the shards of the returned changes.
package clusterview
