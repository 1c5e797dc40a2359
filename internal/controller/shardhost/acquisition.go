package shardhost

import (
	"context"
	"slices"
	"time"

	"bramblespur/internal/fleet"
)

// AcquireGracePeriod is how long after its start a controller waits before it acquires the shards of
// owners that are gone. When all controllers restart together, the first would otherwise acquire
// most shards. These would use up its share of the processor and soon be transferred back.
const AcquireGracePeriod = 3 * time.Second

// firstStartLeases is the number of lease times for which a shard without an ownership record is
// left to its preferred owner, which is probably about to start for the first time.
const firstStartLeases = 2

// Reason is the reason why a controller acquires a shard, or why it does not.
type Reason int

// Reasons not to acquire a shard.
const (
	// OwnedByLiveMember means that the lease of the recorded owner stands.
	OwnedByLiveMember Reason = iota
	// JustStarted means that this controller has just started. If the owner is gone, it may have
	// restarted together with this controller.
	JustStarted
	// ViewOutdated means that the view is not recent, so that the owner may have come back since.
	ViewOutdated
	// FirstStartExpected means that the shard never had an owner, and its preferred owner is
	// probably about to start.
	FirstStartExpected
	// OtherMemberChosen means that the owner is gone and another member is chosen as the next
	// owner.
	OtherMemberChosen

	firstToAcquire // separates the reasons not to acquire a shard from the reasons to acquire it

	// TransferredHere means that the ownership record offers the shard to this controller.
	TransferredHere
	// OwnedBefore means that the ownership record names this controller, which has restarted or
	// has read the records again after an outage.
	OwnedBefore
	// PreferredHere means that the shard never had an owner and this controller is its preferred
	// owner.
	PreferredHere
	// OwnerGone means that the lease of the owner has expired and this controller is chosen for
	// the failover.
	OwnerGone
	// AssignedByLeader means that the leader asked this controller to acquire the shard.
	AssignedByLeader
)

var reasonTexts = map[Reason]string{
	OwnedByLiveMember:  "owned by a live member",
	JustStarted:        "just started",
	ViewOutdated:       "view outdated",
	FirstStartExpected: "first start of the preferred owner expected",
	OtherMemberChosen:  "another member chosen",
	TransferredHere:    "transferred here",
	OwnedBefore:        "owned before",
	PreferredHere:      "preferred here",
	OwnerGone:          "owner gone",
	AssignedByLeader:   "assigned by the leader",
}

// String returns the text of the reason for the log.
func (r Reason) String() string { return reasonTexts[r] }

// acquires reports whether r is a reason to acquire the shard.
func (r Reason) acquires() bool { return r > firstToAcquire }

// candidate is a shard that is not served here, with the inputs to the decision whether this
// controller acquires it.
type candidate struct {
	self           string // this controller's label
	preferredOwner string // label of the shard's preferred owner
	ownership      Ownership
	recorded       bool          // the shard has an ownership record
	ownerLives     bool          // the lease of the recorded owner stands
	uptime         time.Duration // of this controller
	viewRecent     bool          // the view is recent enough to conclude that an owner is gone
	// unrecordedFor is the time since this controller first saw a shard without an ownership
	// record whose preferred owner might be about to start.
	unrecordedFor   time.Duration
	firstStartGrace time.Duration  // how long such a shard is left to its preferred owner
	liveMembers     []string       // labels of the controllers whose leases stand
	owners          map[int]string // labels of the recorded owners of all shards
}

// decide returns whether this controller is to acquire a shard, and why. It acquires the shards
// that it owned before a restart and those that are transferred to it. It acquires a shard whose
// owner is gone if it is the chosen member; all live members make the same choice.
func (c *candidate) decide() Reason {
	switch {
	case c.recorded && c.ownership.Rec.TransferTo == c.self:
		return TransferredHere
	case c.recorded && c.ownership.Rec.Owner == c.self:
		return OwnedBefore
	case !c.recorded && c.preferredOwner == c.self:
		return PreferredHere
	case c.uptime < AcquireGracePeriod:
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
	return OtherMemberChosen
}

// ConsiderAcquisitionsLocked begins to acquire those shards that this controller is to acquire. It
// does nothing unless the machine types are known, the lease certainly stands and there is a view
// of the members and ownership records.
func (h *Host) ConsiderAcquisitionsLocked(ctx context.Context, now time.Time) {
	viewed, viewRecent := h.env.ViewLocked(now)
	if h.schedulerConfig == nil || !h.env.LeaseCertain(now) || !viewed {
		return
	}
	owners := h.env.OwnersLocked()
	var members []string // read only if a shard is not served here
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
			h.StartAcquisitionLocked(ctx, id, reason)
		}
	}
}

// unrecordedForLocked returns the time since a first start was first expected, or 0 if none was.
func (h *Host) unrecordedForLocked(now time.Time) time.Duration {
	if h.unrecordedSince.IsZero() {
		return 0
	}
	return now.Sub(h.unrecordedSince)
}
