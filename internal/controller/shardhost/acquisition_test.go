package shardhost

import (
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
)

// failedOwnerCandidate returns a shard whose owner is gone. This controller, "c-0", is the chosen
// next owner, since "c-1", the only other live member, owns a shard already.
func failedOwnerCandidate() candidate {
	return candidate{
		self: "c-0", preferredOwner: "c-2",
		ownership: Ownership{Rec: record.Shard{Owner: "c-2", Incarnation: 1}, Version: 5}, recorded: true,
		uptime: AcquireGracePeriod, viewRecent: true, firstStartGrace: 20 * time.Second,
		liveMembers: []string{"c-0", "c-1"}, owners: map[int]string{0: "c-2", 1: "c-1"},
	}
}

// decide returns each of the reasons to acquire a shard or not to in the conditions that cause it.
func TestDecide(t *testing.T) {
	for _, x := range []struct {
		want   Reason
		change func(*candidate)
	}{
		{OwnerGone, func(*candidate) {}},
		{OwnedByLiveMember, func(c *candidate) { c.ownerLives = true }},
		{JustStarted, func(c *candidate) { c.uptime-- }},
		{ViewOutdated, func(c *candidate) { c.viewRecent = false }},
		{ViewOutdated, func(c *candidate) { c.liveMembers = nil }},
		{OtherMemberChosen, func(c *candidate) { c.owners[2] = "c-0"; c.owners[3] = "c-0" }},
		{OtherMemberChosen, func(c *candidate) { c.preferredOwner = "c-1" }},
		{FirstStartExpected, func(c *candidate) { c.recorded, c.ownership = false, Ownership{} }},
		{OwnerGone, func(c *candidate) {
			c.recorded, c.ownership, c.unrecordedFor = false, Ownership{}, c.firstStartGrace
		}},
		// These reasons apply at once, even if the controller has just started or the owner lives.
		{TransferredHere, func(c *candidate) { c.uptime, c.ownership.Rec = 0, record.Shard{TransferTo: "c-0"} }},
		{OwnedBefore, func(c *candidate) { c.uptime, c.ownership.Rec.Owner, c.ownerLives = 0, "c-0", true }},
		{PreferredHere, func(c *candidate) { c.uptime, c.recorded, c.preferredOwner = 0, false, "c-0" }},
	} {
		shard := failedOwnerCandidate()
		x.change(&shard)
		if got := shard.decide(); got != x.want {
			t.Errorf("candidate %+v: decided %v, want %v", shard, got, x.want)
		}
	}
}

// The reasons are divided into those to acquire a shard and those not to, and all have texts for
// the log.
func TestReasons(t *testing.T) {
	acquires := map[Reason]bool{TransferredHere: true, OwnedBefore: true, PreferredHere: true, OwnerGone: true, AssignedByLeader: true}
	for reason := OwnedByLiveMember; reason <= AssignedByLeader; reason++ {
		if reason == firstToAcquire {
			continue
		}
		if reason.acquires() != acquires[reason] || reason.String() == "" {
			t.Errorf("reason %q: acquires() = %v is wrong, or the text is empty", reason, reason.acquires())
		}
	}
}

// A shard without an ownership record is left to its preferred owner for two lease times after it
// was first seen, and is then acquired.
func TestFirstStartOfPreferredOwnerIsAwaited(t *testing.T) {
	h, env := newHost(t, testkit.NewState())
	h.settings.Label = "c-9" // so that the preferred owner is another controller
	h.settings.Peers = append(h.settings.Peers, peer("c-0"))
	env.members = []string{"c-9"}
	now := time.Now()
	acquiring := func(after time.Duration) bool {
		h.Lock()
		defer h.Unlock()
		h.ConsiderAcquisitionsLocked(t.Context(), now.Add(after))
		return h.AcquiringLocked(0)
	}
	grace := firstStartLeases * env.LeaseTime()
	if acquiring(0) || acquiring(grace-1) {
		t.Fatal("the shard was acquired before the grace period of its preferred owner had passed")
	}
	if !acquiring(grace) {
		t.Fatal("the shard was not acquired although its preferred owner did not start in the grace period")
	}
}
