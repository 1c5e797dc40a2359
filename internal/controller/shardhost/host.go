// Package shardhost hosts the shards that one controller serves: it acquires and loads them,
// runs their steps, and carries out the effects of each step.
//
// A shard belongs to the controller named in its ownership record. A controller acquires a
// shard by writing that record with compare-and-swap. The revision of this write is the fencing
// token under which all records of the shard are written and all commands to its workers are
// sent. A later owner has a higher token, so late writes and commands of the earlier owner are
// refused. A Host guarantees that it serves a shard only between its own write of the record
// and the moment it learns of a later one, and that it reports the outcome of each write to the
// shard.
//
// The Host's lock is the outermost lock of the controller. It guards the hosted shards and all
// state of the controller that has no lock of its own, since a view of the cluster and a shard
// often have to be read in one critical section. The locks of other components are leaf locks:
// they may be taken while this one is held, never the other way round. The lock is not reentrant
// and is never held across input or output. Methods whose names end in Locked expect it held;
// all others take it themselves.
package shardhost

import (
	"iter"
	"log/slog"
	"maps"
	"sync"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// Host holds the shards that this controller serves, the shards that it is acquiring, and the
// machine types, which it needs before it can serve any shard.
type Host struct {
	settings *config.Settings
	log      *slog.Logger
	env      Environment
	// newConfig returns the configuration of all shards, given the machine types.
	newConfig func([]wire.MachineType) *scheduler.Config
	// commandSlots limits the direct commands under way, each of which uses a socket.
	commandSlots chan struct{}

	// mu is the outermost lock of the controller: see the package comment.
	mu              sync.Mutex
	shards          map[int]*scheduler.Shard // served here, by shard number
	acquiring       map[int]bool             // shards whose acquisition is under way
	machineTypes    []wire.MachineType       // empty until they are known
	schedulerConfig *scheduler.Config        // nil until the machine types are known
	// unrecordedSince is when this controller first saw a shard that has no ownership record
	// and whose preferred owner is another controller; zero if it has seen none.
	unrecordedSince time.Time
}

// New returns a Host that serves no shards yet. newConfig is called once, when the machine types
// are known.
func New(settings *config.Settings, log *slog.Logger, env Environment, newConfig func([]wire.MachineType) *scheduler.Config) *Host {
	return &Host{
		settings:     settings,
		log:          log,
		env:          env,
		newConfig:    newConfig,
		commandSlots: make(chan struct{}, max(1, settings.Params.Resources.MaxSockets/socketsPerCommand)),
		shards:       map[int]*scheduler.Shard{},
		acquiring:    map[int]bool{},
	}
}

// Lock takes the outermost lock of the controller.
func (h *Host) Lock() { h.mu.Lock() }

// Unlock releases the outermost lock of the controller.
func (h *Host) Unlock() { h.mu.Unlock() }

// GetLocked returns the shard with the given number, or nil if it is not served here.
func (h *Host) GetLocked(id int) *scheduler.Shard { return h.shards[id] }

// ServesLocked reports whether this very instance of a shard is still served here. A shard that
// was lost may have been acquired again since, under another token and as another instance.
func (h *Host) ServesLocked(shard *scheduler.Shard) bool { return h.shards[shard.ID()] == shard }

// AllLocked iterates over the shards that are served here. Shards may be dropped during the
// iteration.
func (h *Host) AllLocked() iter.Seq2[int, *scheduler.Shard] { return maps.All(h.shards) }

// OwnedLocked returns the shards that are served here by number. The caller must not change the
// map.
func (h *Host) OwnedLocked() map[int]*scheduler.Shard { return h.shards }

// CountLocked returns the number of shards that are served here.
func (h *Host) CountLocked() int { return len(h.shards) }

// AcquiringLocked reports whether an acquisition of a shard is under way.
func (h *Host) AcquiringLocked(id int) bool { return h.acquiring[id] }

// ServeLocked begins to serve a shard. It replaces an earlier instance of the same shard.
func (h *Host) ServeLocked(shard *scheduler.Shard) { h.shards[shard.ID()] = shard }

// DropLocked stops serving a shard. The state service and the workers refuse the writes and
// commands that it still has under way, since their token is outdated.
func (h *Host) DropLocked(id int) { delete(h.shards, id) }

// DropAllLocked stops serving all shards and returns the dropped shards by number.
func (h *Host) DropAllLocked() map[int]*scheduler.Shard {
	shards := h.shards
	h.shards = map[int]*scheduler.Shard{}
	return shards
}

// PreferredOwner returns the label of a shard's preferred owner, to which the shard is transferred
// back once that controller is stable.
func (h *Host) PreferredOwner(id int) string {
	return h.settings.Labels()[id%h.settings.Params.Count]
}

// Update calls change under the lock, then runs a step of the shard.
func (h *Host) Update(shard *scheduler.Shard, change func(now time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	change(now)
	h.StepLocked(shard, now)
}

// RefreshAuthorityLocked updates whether a shard may start tasks. When a suspended controller
// resumes, its lease may have expired while its timers and responses are due before any of its
// loops has run again. It must then not send starts that were recorded before the suspension.
func (h *Host) RefreshAuthorityLocked(shard *scheduler.Shard, now time.Time) {
	shard.SetCancellationsUnknown(!h.env.MayStartTasksLocked(now))
}

// Conditions are the conditions of this controller that are passed to its shards at each tick.
type Conditions struct {
	// PartitionedZones are the zones in which no controller can be reached.
	PartitionedZones map[string]bool
	Behind           bool          // this controller's processor does not keep up
	WriteBacklog     time.Duration // how long writes wait for the state service's rate limit
}

// TickLocked passes the conditions to all shards and runs a step of each.
func (h *Host) TickLocked(conditions Conditions, now time.Time) {
	for _, shard := range h.shards {
		if h.env.AllRangesSizedLocked() {
			shard.UseSizedRanges()
		}
		shard.SetPartitionedZones(conditions.PartitionedZones)
		shard.SetOverloaded(conditions.Behind)
		shard.SetWriteBacklog(conditions.WriteBacklog)
		h.StepLocked(shard, now)
	}
}
