package shardhost

import (
	"context"
	"slices"
	"time"

	"bramblespur/internal/fleet"
)

// AcquirePatience is how long a controller that has just started leaves the shards of owners
// that are gone to them: where all restart together the first would else acquire most shards,
// which cost it its processor's share and are transferred back soon after.
const AcquirePatience = 3 * time.Second

// firstStartLeases is for how many lease times a shard that has never had an owner is left to
// its preferred one, which is probably about to start for the first time.
const firstStartLeases = 2

// Reason is why a controller acquires a shard, or why it does not.
type Reason int

// Reasons not to acquire a shard.
const (
	// OwnedByLiveMember: the lease of the owner on record stands.
	OwnedByLiveMember Reason = iota
	// JustStarted: the owner is gone, but may have restarted together with this controller.
	JustStarted
	// ViewOutdated: the owner may have come back since the view was true.
	ViewOutdated
	// FirstStartExpected: the shard never had an owner, and its preferred one is about to start.
	FirstStartExpected
	// AnotherIsToAcquire: the owner is gone, and the choice falls on another member.
	AnotherIsToAcquire

	firstToAcquire // of the reasons to acquire a shard, which follow

	// TransferredHere: the record offers the shard to this controller.
	TransferredHere
	// OwnedBefore: the record names this controller: it has restarted, or has read the records
	// anew after an outage.
	OwnedBefore
	// PreferredHere: the shard never had an owner, and this controller is the preferred one.
	PreferredHere
	// OwnerGone: failover from an owner whose lease has expired.
	OwnerGone
	// AssignedByLeader: the leader wants this controller to acquire the shard.
	AssignedByLeader
)

var reasonTexts = map[Reason]string{
	OwnedByLiveMember:  "owned by a live member",
	JustStarted:        "just started",
	ViewOutdated:       "view outdated",
	FirstStartExpected: "first start of the preferred owner expected",
	AnotherIsToAcquire: "another member is to acquire it",
	TransferredHere:    "transferred here",
	OwnedBefore:        "owned before",
	PreferredHere:      "preferred here",
	OwnerGone:          "owner gone",
	AssignedByLeader:   "assigned by the leader",
}

// String returns the reason for the log.
func (r Reason) String() string { return reasonTexts[r] }

// acquires reports whether it is a reason to acquire the shard.
func (r Reason) acquires() bool { return r > firstToAcquire }

// candidate is a shard that is not served here, and what the decision about it depends on.
type candidate struct {
	self           string // this controller's label
	preferredOwner string
	ownership      Ownership
	recorded       bool // there is an ownership record
	ownerLives     bool
	uptime         time.Duration // of this controller
	viewRecent     bool
	// unrecordedFor is how long this controller has seen shards without a record whose owner
	// might be about to start.
	unrecordedFor   time.Duration
	firstStartGrace time.Duration
	liveMembers     []string
	owners          map[int]string // of all shards
}

// decide returns whether this controller is to acquire a shard, and why: its own after a
// restart, one transferred to it, and one whose owner is gone if the choice, which all live
// members make alike, falls on it.
func (c *candidate) decide() Reason {
	switch {
	case c.recorded && c.ownership.Rec.TransferTo == c.self:
		return TransferredHere
	case c.recorded && c.ownership.Rec.Owner == c.self:
		return OwnedBefore
	case !c.recorded && c.preferredOwner == c.self:
		return PreferredHere
	case c.uptime < AcquirePatience:
		return JustStarted
	case c.ownerLives:
		return OwnedByLiveMember
	case !c.viewRecent || len(c.liveMembers) == 0:
		return ViewOutdated
	case !c.recorded && c.unrecordedFor < c.firstStartGrace:
		return FirstStartExpected
	case fleet.ChooseOwner(c.liveMembers, c.owners, c.preferredOwner) == c.self:
		return OwnerGone
	}
	return AnotherIsToAcquire
}

// ConsiderAcquisitionsLocked begins to acquire the shards that are this controller's to
// acquire.
func (h *Host) ConsiderAcquisitionsLocked(ctx context.Context, now time.Time) {
	viewed, viewRecent := h.env.ViewLocked(now)
	if h.schedulerConfig == nil || !h.env.LeaseCertain(now) || !viewed {
		return
	}
	owners := h.env.OwnersLocked()
	var members []string // read once a shard needs them
	for id := range h.settings.Params.Count {
		if h.shards[id] != nil || h.acquiring[id] {
			continue
		}
		if members == nil {
			members = h.env.LiveMembersLocked()
		}
		ownership, recorded := h.env.OwnershipLocked(id)
		shard := &candidate{
			self:            h.settings.Label,
			preferredOwner:  h.PreferredOwner(id),
			ownership:       ownership,
			recorded:        recorded,
			ownerLives:      slices.Contains(members, ownership.Rec.Owner),
			uptime:          h.env.UptimeLocked(now),
			viewRecent:      viewRecent,
			unrecordedFor:   h.unrecordedForLocked(now),
			firstStartGrace: firstStartLeases * h.env.LeaseTime(),
			liveMembers:     members,
			owners:          owners,
		}
		reason := shard.decide()
		if reason == FirstStartExpected && h.unrecordedSince.IsZero() {
			h.unrecordedSince = now
		}
		if reason.acquires() {
			h.AcquireLocked(ctx, id, reason)
		}
	}
}

// unrecordedForLocked returns how long ago a first start was first expected, 0 if it never was.
func (h *Host) unrecordedForLocked(now time.Time) time.Duration {
	if h.unrecordedSince.IsZero() {
		return 0
	}
	return now.Sub(h.unrecordedSince)
}
