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

// evidencePageSize is how many records one reply holds.
const evidencePageSize = 500

// evidence is what a controller held when the safe mode began, and has heard since.
type evidence struct {
	shards             map[int]*scheduler.Shard // that were owned then
	activeJobsRevision uint64                   // up to which all unfinished jobs were known then
	heartbeats         recovery.Heartbeats      // the newest of workers since
	records            []wire.Entry             // by key, once somebody has asked
}

// Evidence returns what this controller has held of the records since its safe mode began, page by
// page, and with the first page the workers' newest heartbeats.
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

// addFirstPageLocked adds the view of active jobs and the heartbeats.
func (d *Detector) addFirstPageLocked(r *peer.EvidenceReply) {
	r.View = recovery.View{Revision: d.evidence.activeJobsRevision, Open: map[string]recovery.ActiveJob{}}
	for ref, j := range d.views.ActiveJobs.Jobs() {
		r.View.Open[ref] = recovery.ActiveJob{Version: j.Version, Cancelled: j.Cancelled}
	}
	for _, id := range slices.Sorted(maps.Keys(d.evidence.heartbeats)) {
		r.Reports = append(r.Reports, d.evidence.heartbeats[id])
	}
}

// page returns the records after a key, and whether more follow.
func (e *evidence) page(after string) (records []wire.Entry, more bool) {
	from, found := slices.BinarySearchFunc(e.records, after, func(r wire.Entry, key string) int { return cmp.Compare(r.Key, key) })
	if found {
		from++
	}
	to := min(len(e.records), from+evidencePageSize)
	return e.records[from:to], to < len(e.records)
}

// heldRecordsLocked returns all records that are known here, by key.
func (d *Detector) heldRecordsLocked() []wire.Entry {
	out := d.views.Machines.Entries()
	for _, shard := range d.evidence.shards {
		out = append(out, shard.Records()...)
	}
	for ref, j := range d.views.Terminal.All() {
		out = append(out, wire.Entry{Key: record.FinishedJobKey(ref), Value: record.Encode(j)})
	}
	slices.SortFunc(out, func(a, b wire.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
