package controller

import (
	"context"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/controller/leader"
	"bramblespur/internal/controller/shardhost"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// leaderHost adapts a Controller to leader.Host. Its lock is the shards' lock; methods whose names
// end in Locked are called with it held.
type leaderHost struct{ c *Controller }

var _ leader.Host = leaderHost{}

// Lock takes the shards' lock.
func (h leaderHost) Lock() { h.c.mu.Lock() }

// Unlock releases the shards' lock.
func (h leaderHost) Unlock() { h.c.mu.Unlock() }

// IsLeaderLocked implements leader.Election.
func (h leaderHost) IsLeaderLocked(now time.Time) bool { return h.c.election.IsLeader(now) }

// SafeModeLocked implements leader.Election.
func (h leaderHost) SafeModeLocked() bool { return h.c.dataLoss.ActiveLocked() }

// CandidacyLocked implements leader.Election.
func (h leaderHost) CandidacyLocked(now time.Time) func(context.Context) {
	c := h.c
	incumbent, may := c.election.MayCampaign(now)
	if !may || c.shards.MachineTypesLocked() == nil {
		return nil
	}
	return func(ctx context.Context) { c.election.Campaign(ctx, incumbent) }
}

// LeaderLocked implements leader.Election.
func (h leaderHost) LeaderLocked() (label string, version uint64) {
	r := h.c.cluster.Leader()
	return r.Rec.Label, r.Version
}

// ClusterLocked implements leader.Election.
func (h leaderHost) ClusterLocked(now time.Time) leader.Cluster {
	c := h.c
	cluster := leader.Cluster{
		Self: c.cfg.Label, Isolated: c.member.Published().Isolated, Behind: c.overload.Behind(),
		Owners: c.cluster.Owners(), PreferredOwner: c.shards.PreferredOwner, Members: map[string]leader.Member{}, Now: now,
	}
	for label, m := range c.cluster.Members() {
		contact := c.peerHealth.Contact(label)
		cluster.Members[label] = leader.Member{
			Registered: m.Incarnation != 0, Isolated: m.Isolated, WithoutPeers: m.WithoutPeers, Overloaded: m.Overloaded,
			Reachable: contact.Reachable(now), ReachesStateService: contact.ReachesStateService(now), AnsweringFor: contact.AnsweringFor(now),
		}
	}
	return cluster
}

// StepDown implements leader.Election.
func (h leaderHost) StepDown(ctx context.Context) {
	h.c.election.StepDown(ctx, h.c.leaderDuties.EndTermLocked)
}

// SummariesLocked implements leader.Shards.
func (h leaderHost) SummariesLocked(now time.Time) []fleet.Summary {
	var out []fleet.Summary
	for _, shard := range h.c.shards.AllLocked() {
		h.c.shards.StepLocked(shard, now)
	}
	for _, shard := range h.c.shards.AllLocked() {
		out = append(out, shard.Summary(now))
	}
	return out
}

// OrderLocked implements leader.Shards.
func (h leaderHost) OrderLocked(o fleet.Order, now time.Time) bool {
	shard := h.c.shards.GetLocked(o.Part)
	if shard == nil {
		return false
	}
	shard.ApplyFleetOrder(o, now)
	h.c.shards.StepLocked(shard, now)
	return true
}

// TokenLocked implements leader.Shards.
func (h leaderHost) TokenLocked(shard int) (token uint64, hosted bool) {
	s := h.c.shards.GetLocked(shard)
	if s == nil {
		return 0, false
	}
	return s.Token(), true
}

// OwnerLocked implements leader.Shards.
func (h leaderHost) OwnerLocked(shard int) string { return h.c.cluster.Owner(shard) }

// MayPlanLocked implements leader.Shards.
func (h leaderHost) MayPlanLocked(now time.Time) bool {
	return h.c.shards.CountLocked() > 0 && h.c.shards.SchedulerConfigLocked() != nil && h.c.leaseCertain(now)
}

// AcquireLocked implements leader.Shards.
func (h leaderHost) AcquireLocked(ctx context.Context, shard int) {
	if !h.c.shards.AcquiringLocked(shard) {
		h.c.shards.StartAcquisitionLocked(ctx, shard, shardhost.AssignedByLeader)
	}
}

// TransferBackLocked implements leader.Shards.
func (h leaderHost) TransferBackLocked(ctx context.Context, shard int) {
	h.c.transferBackLocked(ctx, shard)
}

// FleetLocked implements leader.Machines.
func (h leaderHost) FleetLocked() *clusterview.Machines { return h.c.machines }

// FleetLoadedLocked implements leader.Machines.
func (h leaderHost) FleetLoadedLocked() bool { return h.c.machines.Loaded() }

// ReadFleet implements leader.Machines.
func (h leaderHost) ReadFleet(ctx context.Context, purpose statestore.Purpose) (*record.Fleet, error) {
	return shardhost.ReadMachines(ctx, h.c.store, purpose)
}

// MachineTypesLocked implements leader.Machines.
func (h leaderHost) MachineTypesLocked() []wire.MachineType { return h.c.shards.MachineTypesLocked() }

// ApplyOwnWritesLocked implements leader.Machines.
func (h leaderHost) ApplyOwnWritesLocked(t wire.Txn, revision uint64, at time.Time) {
	h.c.applyOwnWritesLocked(t, revision, at)
}

// AllowCloudCallLocked implements leader.Machines.
func (h leaderHost) AllowCloudCallLocked(now time.Time) bool {
	return h.c.reconciliation.AllowCloudCallLocked(now)
}

// CheckForLostRecords implements leader.Machines.
func (h leaderHost) CheckForLostRecords(ctx context.Context, addresses map[string]string) bool {
	return h.c.staleReads.AskUnrecordedMachines(ctx, addresses)
}

// StateServiceLimitsLocked implements leader.Limits.
func (h leaderHost) StateServiceLimitsLocked() config.State { return h.c.clusterRates() }

// IsLiveMemberLocked implements leader.Limits.
func (h leaderHost) IsLiveMemberLocked(label string) bool {
	_, alive := h.c.cluster.Member(label)
	return alive
}

// LoadLocked implements leader.Limits.
func (h leaderHost) LoadLocked(now time.Time) leader.Load {
	return leader.Load{At: now, Recovering: !h.c.overload.KeepsUp(now), HasRoom: h.c.overload.HasRoom(now)}
}

// BehindLocked implements leader.Limits.
func (h leaderHost) BehindLocked() bool { return h.c.overload.Behind() }

// TakeDelayedCommandsLocked implements leader.Limits.
func (h leaderHost) TakeDelayedCommandsLocked() int { return h.c.reconciliation.TakeDelayedLocked() }

// CommandRateLocked implements leader.Limits.
func (h leaderHost) CommandRateLocked() (total float64, limited bool) {
	return h.c.reconciliation.ClusterRateLocked()
}

// SetCommandRateShareLocked implements leader.Limits.
func (h leaderHost) SetCommandRateShareLocked(share float64, now time.Time) {
	h.c.reconciliation.SetShareLocked(share, now)
}

// Store implements leader.Services.
func (h leaderHost) Store() statestore.Store { return h.c.store }

// Cloud implements leader.Services.
func (h leaderHost) Cloud() cloud.API { return h.c.cloud }

// Peers implements leader.Services.
func (h leaderHost) Peers() map[string]peer.Caller { return h.c.peers }

// CheckSync implements leader.Services.
func (h leaderHost) CheckSync(label string, r *peer.SyncReply, err error) error {
	err = h.c.messages.Reply("reply to the leader's sync", label, err, func() error { return h.c.messages.SyncReply(r) })
	h.c.peerHealth.RecordCall(label, err, r.StateOK, time.Now())
	return err
}

// PingPeers implements leader.Services.
func (h leaderHost) PingPeers() { h.c.peerHealth.Ping(h.c.cfg.Label, h.c.peers) }

// AfterTurn implements leader.Services.
func (h leaderHost) AfterTurn(ctx context.Context) {
	h.c.member.PublishStatus(ctx)
	h.c.member.RecordPeerFormats(ctx, h.c.peers)
	h.c.drainer.Retract(ctx)
}
