// Package drainer carries out drains on one controller.
//
// A drain is an operator's request to empty machines within each team's disruption budget.
// Package drain plans the next steps and does no I/O. A [Drainer] gives it the records, the machines
// and the time, commits its transactions, and hands granted evictions to the shards that this
// controller owns. It does so in turns: once a second it plans each owned shard. On the leader it also
// finishes drains that have no machine left and deletes the records of old ones.
//
// A Drainer has no lock of its own: its decisions depend on the drain records, the machines and a
// shard together, which have to be read within one critical section of the shards' lock. Methods
// that expect the caller to hold that lock have the suffix Locked; all others that need it take it.
// It is never held during I/O.
package drainer

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/drain"
	"bramblespur/internal/retry"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

const (
	turnInterval = time.Second
	writeTimeout = 5 * time.Second
	// writeBurst is the burst of the write rate limit, in records. It is several times the changes of
	// a drain's largest transaction.
	writeBurst = 6
	// maxUnrecordedLosses bounds the losses that are not recorded yet; further ones are dropped.
	maxUnrecordedLosses = 4096
)

// Host is the interface of a Drainer to its controller.
type Host interface {
	sync.Locker // the shards' lock
	// OwnedShardsLocked returns the shards that this controller owns, by number.
	OwnedShardsLocked() map[int]*scheduler.Shard
	// StepLocked steps a shard and carries out the resulting effects.
	StepLocked(shard *scheduler.Shard, now time.Time)
	// IsLeaderLocked reports whether this controller is the leader.
	IsLeaderLocked(now time.Time) bool
	// HoldsLease reports whether this controller's member lease certainly holds.
	HoldsLease(now time.Time) bool
	// Commit commits a transaction and applies it to this controller's views. It takes the shards'
	// lock.
	Commit(ctx context.Context, t wire.Txn) error
}

// Drainer carries out drains for the shards that one controller owns. The shards' lock guards all of
// its state.
type Drainer struct {
	host     Host
	cluster  *clusterview.Cluster
	machines *clusterview.Machines
	cfg      *config.Settings
	log      *slog.Logger

	settings          *drain.Settings // nil: drains are off
	budgetFingerprint string          // of the operators' budgets; see drain.Settings.Fingerprint
	writeLimiter      *rate.Limiter   // limits the records that are written
	view              *drain.View
	losses            []drain.Loss            // losses that are not recorded yet
	holdTimes         map[int]*shardHoldTimes // by shard
}

// New returns a Drainer that only keeps its view of the records up to date until it is enabled.
func New(host Host, cluster *clusterview.Cluster, machines *clusterview.Machines, cfg *config.Settings, log *slog.Logger) *Drainer {
	return &Drainer{host: host, cluster: cluster, machines: machines, cfg: cfg, log: log,
		view: drain.NewView(), holdTimes: map[int]*shardHoldTimes{}}
}

// Enable turns drains on with the operators' settings; nil leaves them off. It is called before the
// controller starts. The windows of the budgets are extended by the most that two controllers' clocks
// may differ, so that the budgets hold by every clock.
func (d *Drainer) Enable(s *drain.Settings, p *config.Params) {
	if s == nil {
		return
	}
	d.budgetFingerprint = s.Fingerprint()
	d.settings = s.WithClockError(config.Seconds(p.ClockErrorMS / 1000))
	writesPerSecond := s.StoreShare * p.State.LowestLimits().WriteRPS / float64(p.Count)
	d.writeLimiter = rate.NewLimiter(rate.Limit(writesPerSecond), writeBurst)
}

// Enabled reports whether the operators have turned drains on.
func (d *Drainer) Enabled() bool { return d.settings != nil }

// InUseLocked reports whether a drain is in progress, or has left a cordon or an open disruption.
func (d *Drainer) InUseLocked() bool { return d.view.InUse() }

// readyLocked reports whether drains are on and all controllers take part in them with the same budgets.
func (d *Drainer) readyLocked() bool {
	return d.Enabled() && d.view.AllParticipate(d.cfg.Labels(), d.budgetFingerprint)
}

// ApplyLocked applies the change of a drain record to the view.
func (d *Drainer) ApplyLocked(change wire.Change) error { return d.view.Apply(change) }

// ResetLocked replaces the view's records by the drain records among the cluster's, as of a revision.
func (d *Drainer) ResetLocked(entries []wire.Entry, revision uint64) {
	var own []wire.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, drain.Prefix) {
			own = append(own, e)
		}
	}
	if err := d.view.Reset(own, revision); err != nil {
		d.log.Error("malformed drain records skipped", "err", err)
	}
}

// RecordInterruptionsLocked stores interruptions of running work as losses until they are written to
// the teams' ledgers. It skips units whose disruption is in the ledgers already, such as evictions.
func (d *Drainer) RecordInterruptionsLocked(interruptions []scheduler.Interruption, now time.Time) {
	for _, i := range interruptions {
		if len(d.losses) >= maxUnrecordedLosses || d.isRecordedLocked(i) {
			continue
		}
		i.At = now.UnixMilli()
		d.losses = append(d.losses, drain.Loss{Disruption: i.Disruption, Team: i.Team})
	}
}

// isRecordedLocked reports whether a unit has an open disruption in its team's ledger or among the losses
// that are not recorded yet.
func (d *Drainer) isRecordedLocked(i scheduler.Interruption) bool {
	ledger := d.view.Ledger(i.Team).Rec
	return ledger.OpenDisruption(i.UnitID) != nil ||
		slices.ContainsFunc(d.losses, func(l drain.Loss) bool { return l.UnitID == i.UnitID })
}

// Run takes a turn each turnInterval, with one write at a time, until the context ends.
func (d *Drainer) Run(ctx context.Context) {
	for retry.Sleep(ctx, turnInterval) {
		d.turn(ctx)
	}
}

// turn announces this controller, plans and writes the drains of all owned shards, and finishes drains.
func (d *Drainer) turn(ctx context.Context) {
	d.announce(ctx)
	for _, shard := range d.shardsToDrain() {
		d.drainShard(ctx, shard)
	}
	d.finishDrains(ctx)
}

// shardsToDrain returns the owned shards if drains are in use. If not, it returns none and expires the
// losses, which are not recorded then.
func (d *Drainer) shardsToDrain() []*scheduler.Shard {
	d.host.Lock()
	defer d.host.Unlock()
	if !d.InUseLocked() {
		d.expireLossesLocked(time.Now())
		return nil
	}
	var shards []*scheduler.Shard
	for _, shard := range d.host.OwnedShardsLocked() {
		shards = append(shards, shard)
	}
	return shards
}

// expireLossesLocked drops the losses that are older than the longest window of any budget.
func (d *Drainer) expireLossesLocked(now time.Time) {
	longest := d.settings.LongestWindow()
	d.losses = slices.DeleteFunc(d.losses, func(l drain.Loss) bool {
		return now.Sub(time.UnixMilli(l.At)) > longest
	})
}
