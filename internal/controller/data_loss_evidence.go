package controller

import (
	"cmp"
	"maps"
	"slices"

	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/wire"
)

// evidencePageSize is how many records are told at a time.
const evidencePageSize = 500

// Evidence implements peer.Handler: it tells what this controller holds of the records since
// its safe mode began, page by page, and with the first page the workers' newest reports.
func (c *Controller) Evidence(a peer.EvidenceArgs) peer.EvidenceReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.safeMode
	mode := m.state.Mode()
	if !mode.Active {
		return peer.EvidenceReply{}
	}
	if m.heldRecords == nil {
		m.heldRecords = c.heldRecords()
	}
	r := peer.EvidenceReply{Mode: mode}
	if a.After == "" {
		r.View = recovery.View{Revision: m.activeJobsRevision, Open: map[string]recovery.ActiveJob{}}
		for ref, j := range c.activeJobs.Jobs() {
			r.View.Open[ref] = recovery.ActiveJob{Version: j.Version, Cancelled: j.Cancelled}
		}
		for _, id := range slices.Sorted(maps.Keys(m.heartbeats)) {
			r.Reports = append(r.Reports, m.heartbeats[id])
		}
	}
	from, _ := slices.BinarySearchFunc(m.heldRecords, a.After, func(e wire.Entry, key string) int { return cmp.Compare(e.Key, key) })
	if from < len(m.heldRecords) && m.heldRecords[from].Key == a.After {
		from++
	}
	to := min(len(m.heldRecords), from+evidencePageSize)
	r.Held, r.More = m.heldRecords[from:to], to < len(m.heldRecords)
	return r
}

// heldRecords returns all records that are known here, by key. The lock is held.
func (c *Controller) heldRecords() []wire.Entry {
	out := c.machines.Entries()
	for _, shard := range c.safeMode.frozenShards {
		out = append(out, shard.Records()...)
	}
	for ref, j := range c.terminalStates.All() {
		out = append(out, wire.Entry{Key: record.FinishedJobKey(ref), Value: record.Encode(j)})
	}
	slices.SortFunc(out, func(a, b wire.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
