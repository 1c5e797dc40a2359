// Package shardhost hosts the shards that one controller serves: it acquires them, loads
// them, lets them step and carries out what each step asks for.
//
// A shard belongs to the controller that its ownership record names. Who acquires it writes
// that record by compare-and-swap, and the record's revision is the fencing token under which
// everything of the shard is written and every command to its workers is sent: a later owner
// has a higher token, and what the earlier one still has under way is refused. A Host
// guarantees that it serves a shard only between its own write of the record and the moment
// it hears of a later one, and that it tells the shard the outcome of each of its writes.
//
// The Host's lock is the outermost lock of the controller. It guards the hosted shards and all
// state of the controller that has no lock of its own, since a view of the cluster and a shard
// often have to be looked at in one critical section. Other components' locks are leaves: they
// may be taken while this one is held, never the other way round. It is not reentrant and is
// never held across input or output. Methods whose names end in Locked expect it held; all
// others take it themselves.
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

// Host holds the shards that this controller serves, those that it is acquiring, and the
// machine types, without which it serves none.
type Host struct {
	settings *config.Settings
	log      *slog.Logger
	env      Environment
	// newConfig makes the shards' configuration once the machine types are known.
	newConfig func([]wire.MachineType) *scheduler.Config
	// commandSlots limits the direct commands under way, each on a socket of its own.
	commandSlots chan struct{}

	// mu is the outermost lock of the controller: see the package comment.
	mu              sync.Mutex
	shards          map[int]*scheduler.Shard
	acquiring       map[int]bool
	machineTypes    []wire.MachineType // none until they are known
	schedulerConfig *scheduler.Config  // nil until then
	// unrecordedSince is when a shard that has no ownership record, and whose preferred
	// owner is another controller, was first seen.
	unrecordedSince time.Time
}

// New returns a Host without shards.
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

// Unlock releases it.
func (h *Host) Unlock() { h.mu.Unlock() }

// GetLocked returns a shard that is served here, nil if it is not.
func (h *Host) GetLocked(id int) *scheduler.Shard { return h.shards[id] }

// ServesLocked reports whether exactly this shard is still served here: after it was lost it
// may have been acquired anew, under another token.
func (h *Host) ServesLocked(shard *scheduler.Shard) bool { return h.shards[shard.ID()] == shard }

// AllLocked iterates over the shards that are served here, which may be dropped meanwhile.
func (h *Host) AllLocked() iter.Seq2[int, *scheduler.Shard] { return maps.All(h.shards) }

// OwnedLocked returns the shards that are served here by number, for reading only.
func (h *Host) OwnedLocked() map[int]*scheduler.Shard { return h.shards }

// CountLocked returns how many shards are served here.
func (h *Host) CountLocked() int { return len(h.shards) }

// AcquiringLocked reports whether an acquisition of a shard is under way.
func (h *Host) AcquiringLocked(id int) bool { return h.acquiring[id] }

// ServeLocked begins to serve a shard, in place of an earlier one of the same number.
func (h *Host) ServeLocked(shard *scheduler.Shard) { h.shards[shard.ID()] = shard }

// DropLocked stops serving a shard. What it still has under way is refused by the state
// service and by workers, for the token under which it was sent.
func (h *Host) DropLocked(id int) { delete(h.shards, id) }

// DropAllLocked stops serving all shards and returns them as they were.
func (h *Host) DropAllLocked() map[int]*scheduler.Shard {
	shards := h.shards
	h.shards = map[int]*scheduler.Shard{}
	return shards
}

// PreferredOwner returns the label of the controller that a shard is transferred back to while
// that one is stable.
func (h *Host) PreferredOwner(id int) string {
	return h.settings.Labels()[id%h.settings.Params.Count]
}

// Update changes a shard under the lock, then lets it step.
func (h *Host) Update(shard *scheduler.Shard, change func(now time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	change(now)
	h.StepLocked(shard, now)
}

// RefreshAuthorityLocked tells a shard whether it may still start anything. A controller that
// was suspended finds its lease expired, and its timers and responses due, before any of its
// loops has run again: it must not send what was recorded before.
func (h *Host) RefreshAuthorityLocked(shard *scheduler.Shard, now time.Time) {
	shard.SetCancellationsUnknown(!h.env.MayStartTasksLocked(now))
}

// Conditions are what shards are told at each tick.
type Conditions struct {
	// PartitionedZones are those of which no controller can be reached.
	PartitionedZones map[string]bool
	Behind           bool          // the processor does not keep up
	WriteBacklog     time.Duration // how long changes wait for the state service's budget
}

// TickLocked tells all shards the conditions and lets them step.
func (h *Host) TickLocked(conditions Conditions, now time.Time) {
	for _, shard := range h.shards {
		if h.env.AllRangesSizedLocked() {
			shard.UseSizedRanges()
		}
		shard.SetPartitionedZones(conditions.PartitionedZones)
		shard.SetOverloaded(conditions.Behind)
		shard.SetBacklog(conditions.WriteBacklog)
		h.StepLocked(shard, now)
	}
}
