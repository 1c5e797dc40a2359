package dataloss

import (
	"cmp"
	"maps"
	"slices"

	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// evidencePageSize is how many records one reply holds at most.
const evidencePageSize = 500

// evidence is what a controller held when the safe mode began, and the heartbeats since then.
type evidence struct {
	shards             map[int]*scheduler.Shard // shards that were owned then, by number
	activeJobsRevision uint64                   // revision that the view of active jobs had reached then
	heartbeats         recovery.Heartbeats      // workers' newest heartbeats since then
	records            []wire.Entry             // held records, sorted by key; nil until they are requested
}

// Evidence returns one page of the records that this controller has held since its safe mode began, in
// the order of their keys. The first page has the view of active jobs and the workers' newest heartbeats,
// too. The reply is empty if the safe mode is not active.
func (d *Detector) Evidence(a peer.EvidenceArgs) peer.EvidenceReply {
	d.host.Lock()
	defer d.host.Unlock()
	mode := d.state.Mode()
	if !mode.Active {
		return peer.EvidenceReply{}
	}
	if d.evidence.records == nil {
		d.evidence.records = d.heldRecordsLocked()
	}
	r := peer.EvidenceReply{Mode: mode}
	if a.After == "" {
		d.addFirstPageLocked(&r)
	}
	r.Held, r.More = d.evidence.page(a.After)
	return r
}

// addFirstPageLocked adds the view of active jobs and the heartbeats to a reply.
func (d *Detector) addFirstPageLocked(r *peer.EvidenceReply) {
	r.View = recovery.View{Revision: d.evidence.activeJobsRevision, Open: map[string]recovery.ActiveJob{}}
	for ref, job := range d.views.ActiveJobs.Jobs() {
		r.View.Open[ref] = recovery.ActiveJob{Version: job.Version, Cancelled: job.Cancelled}
	}
	for _, id := range slices.Sorted(maps.Keys(d.evidence.heartbeats)) {
		r.Reports = append(r.Reports, d.evidence.heartbeats[id])
	}
}

// page returns the next records after a key, at most evidencePageSize, and whether more follow.
func (e *evidence) page(after string) (records []wire.Entry, more bool) {
	from, found := slices.BinarySearchFunc(e.records, after, func(r wire.Entry, key string) int { return cmp.Compare(r.Key, key) })
	if found {
		from++
	}
	to := min(len(e.records), from+evidencePageSize)
	return e.records[from:to], to < len(e.records)
}

// heldRecordsLocked returns all records that this controller holds, sorted by key. Terminal records
// have version 0, as the cache does not hold their versions.
func (d *Detector) heldRecordsLocked() []wire.Entry {
	out := d.views.Machines.Entries()
	for _, shard := range d.evidence.shards {
		out = append(out, shard.Records()...)
	}
	for ref, job := range d.views.Terminal.All() {
		out = append(out, wire.Entry{Key: record.FinishedJobKey(ref), Value: record.Encode(job)})
	}
	slices.SortFunc(out, func(a, b wire.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
