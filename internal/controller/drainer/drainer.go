// Package drainer carries out graceful evictions on one controller.
//
// A drain is an operator's request to empty machines within each team's disruption budget.
// Package drain decides, purely, what comes next; a [Drainer] supplies it with records,
// machines and time, writes its transactions and hands granted evictions to the shards that
// this controller owns. The leader's drainer also finishes drains without machines.
//
// A Drainer has no lock of its own: its decisions rest on the drain records, the machines and a
// shard together, which have to be read within one critical section of the shards' lock. Methods
// that expect that lock to be held end in Locked; all others take it. It is never held during I/O.
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
	// writeBurst is the changes of the largest of a drain's transactions, several times.
	writeBurst = 6
	// maxUnrecordedLosses bounds the losses that wait to be recorded.
	maxUnrecordedLosses = 4096
)

// Host is what a Drainer needs of its controller.
type Host interface {
	sync.Locker // the shards' lock
	// OwnedShardsLocked returns the shards that this controller owns, by number.
	OwnedShardsLocked() map[int]*scheduler.Shard
	// StepLocked lets a shard do what is due and carries it out.
	StepLocked(shard *scheduler.Shard, now time.Time)
	// IsLeaderLocked reports whether this controller leads.
	IsLeaderLocked(now time.Time) bool
	// HoldsLease reports whether this controller's member lease certainly holds.
	HoldsLease(now time.Time) bool
	// Commit carries out a transaction and applies it to this controller's views. It takes
	// the shards' lock.
	Commit(ctx context.Context, t wire.Txn) error
}

// Drainer is one controller's part in the drains that operators ask for. The shards' lock guards
// all of its state.
type Drainer struct {
	host     Host
	cluster  *clusterview.Cluster
	machines *clusterview.Machines
	cfg      *config.Settings
	log      *slog.Logger

	settings          *drain.Settings // nil: drains are off
	budgetFingerprint string
	writeLimiter      *rate.Limiter // of changes to records
	view              *drain.View
	losses            []drain.Loss            // that are not recorded yet
	holdTimes         map[int]*shardHoldTimes // by shard
}

// New returns a Drainer that only follows the records until it is enabled.
func New(host Host, cluster *clusterview.Cluster, machines *clusterview.Machines, cfg *config.Settings, log *slog.Logger) *Drainer {
	return &Drainer{host: host, cluster: cluster, machines: machines, cfg: cfg, log: log,
		view: drain.NewView(), holdTimes: map[int]*shardHoldTimes{}}
}

// Enable sets the operators' settings before the controller starts; nil leaves drains off.
// Budgets hold by everybody's clock: their windows are longer by what two clocks may differ.
func (d *Drainer) Enable(s *drain.Settings, p *config.Params) {
	if s == nil {
		return
	}
	d.budgetFingerprint = s.Fingerprint()
	d.settings = s.WithClockError(config.Seconds(p.ClockErrorMS / 1000))
	share := s.StoreShare * p.State.Tight().WriteRPS / float64(p.Count)
	d.writeLimiter = rate.NewLimiter(rate.Limit(share), writeBurst)
}

// Enabled reports whether the operators have turned drains on.
func (d *Drainer) Enabled() bool { return d.settings != nil }

// InUseLocked reports whether a drain goes on, or has left something that is to be recorded.
func (d *Drainer) InUseLocked() bool { return d.view.InUse() }

// readyLocked reports whether all controllers take part, by the same budgets.
func (d *Drainer) readyLocked() bool {
	return d.Enabled() && d.view.AllParticipate(d.cfg.Labels(), d.budgetFingerprint)
}

// ApplyLocked applies the change of a drain's record.
func (d *Drainer) ApplyLocked(change wire.Change) error { return d.view.Apply(change) }

// ResetLocked replaces all drain records by those among the cluster's as of a revision.
func (d *Drainer) ResetLocked(entries []wire.Entry, revision uint64) {
	var own []wire.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, drain.Prefix) {
			own = append(own, e)
		}
	}
	if err := d.view.Reset(own, revision); err != nil {
		d.log.Error("drain records", "err", err)
	}
}

// RecordInterruptionsLocked keeps interruptions of running work until they are written to the
// teams' ledgers. Those that a drain was granted are there already.
func (d *Drainer) RecordInterruptionsLocked(all []scheduler.Interruption, now time.Time) {
	for _, i := range all {
		if len(d.losses) >= maxUnrecordedLosses || d.isRecordedLocked(i) {
			continue
		}
		i.At = now.UnixMilli()
		d.losses = append(d.losses, drain.Loss{Disruption: i.Disruption, Team: i.Team})
	}
}

// isRecordedLocked reports whether a unit's disruption is in its team's ledger, or will be.
func (d *Drainer) isRecordedLocked(i scheduler.Interruption) bool {
	ledger := d.view.Ledger(i.Team).Rec
	return ledger.OpenDisruption(i.UnitID) != nil ||
		slices.ContainsFunc(d.losses, func(l drain.Loss) bool { return l.UnitID == i.UnitID })
}

// Run takes the turns of all owned shards, one write at a time, until the context ends.
func (d *Drainer) Run(ctx context.Context) {
	for retry.Sleep(ctx, turnInterval) {
		d.turn(ctx)
	}
}

func (d *Drainer) turn(ctx context.Context) {
	d.announce(ctx)
	for _, shard := range d.shardsToDrain() {
		d.drainShard(ctx, shard)
	}
	d.finishDrains(ctx)
}

// shardsToDrain returns the owned shards if anything is drained; if not, losses that nobody
// records expire.
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

// expireLossesLocked drops the losses that no budget's window reaches.
func (d *Drainer) expireLossesLocked(now time.Time) {
	longest := d.settings.LongestWindow()
	d.losses = slices.DeleteFunc(d.losses, func(l drain.Loss) bool {
		return now.Sub(time.UnixMilli(l.At)) > longest
	})
}
