package shardhost

import (
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
)

// deadOwner is a shard of a controller that is gone, which falls on this one, "c-0", since
// only "c-1" serves other shards.
func deadOwner() candidate {
	return candidate{
		self: "c-0", preferredOwner: "c-2",
		ownership: Ownership{Rec: record.Shard{Owner: "c-2", Incarnation: 1}, Version: 5}, recorded: true,
		uptime: AcquirePatience, viewRecent: true, firstStartGrace: 20 * time.Second,
		liveMembers: []string{"c-0", "c-1"}, owners: map[int]string{0: "c-2", 1: "c-1"},
	}
}

// Each reason to acquire a shard, and each not to.
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
		{AnotherIsToAcquire, func(c *candidate) { c.owners[2] = "c-0"; c.owners[3] = "c-0" }},
		{AnotherIsToAcquire, func(c *candidate) { c.preferredOwner = "c-1" }},
		{FirstStartExpected, func(c *candidate) { c.recorded, c.ownership = false, Ownership{} }},
		{OwnerGone, func(c *candidate) {
			c.recorded, c.ownership, c.unrecordedFor = false, Ownership{}, c.firstStartGrace
		}},
		// These do not wait, whatever else there is.
		{TransferredHere, func(c *candidate) { c.uptime, c.ownership.Rec = 0, record.Shard{TransferTo: "c-0"} }},
		{OwnedBefore, func(c *candidate) { c.uptime, c.ownership.Rec.Owner, c.ownerLives = 0, "c-0", true }},
		{PreferredHere, func(c *candidate) { c.uptime, c.recorded, c.preferredOwner = 0, false, "c-0" }},
	} {
		shard := deadOwner()
		x.change(&shard)
		if got := shard.decide(); got != x.want {
			t.Errorf("%+v: %v, want %v", shard, got, x.want)
		}
	}
}

// Only the reasons to acquire do so, and all have texts for the log.
func TestReasons(t *testing.T) {
	acquires := map[Reason]bool{TransferredHere: true, OwnedBefore: true, PreferredHere: true, OwnerGone: true, AssignedByLeader: true}
	for reason := OwnedByLiveMember; reason <= AssignedByLeader; reason++ {
		if reason == firstToAcquire {
			continue
		}
		if reason.acquires() != acquires[reason] || reason.String() == "" {
			t.Errorf("%q: acquires %v", reason, reason.acquires())
		}
	}
}

// A shard without a record is left to its preferred owner for two lease times from when it was
// first seen, and then acquired.
func TestFirstStartOfPreferredOwnerIsAwaited(t *testing.T) {
	h, env := newHost(t, testkit.NewState())
	h.settings.Label = "c-9" // the preferred owner is then another
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
		t.Fatal("not left to its preferred owner")
	}
	if !acquiring(grace) {
		t.Fatal("not acquired though its preferred owner never came")
	}
}
