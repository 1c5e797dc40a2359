package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Placements and completions are recorded by ranges of tasks. A placement record holds several
// ranges.
//
// The first version of the program writes unsized records: it derives the size of their ranges
// from the value size limit of the state service. If ranges were read with another size than they
// were written with, placements would be lost and tasks would run twice. Therefore, where a tighter
// limit is to come, ranges state their size. As long as a controller may still be of the first version,
// records are written unsized, and both versions read them alike. After that, unsized records are
// never rewritten: each of their ranges moves, in pieces, to sized records, which are written as
// usual, and an unsized record is deleted once all of its ranges have moved. If two
// records hold a range, the record that it was entered in later counts, so that a crash between any
// two writes neither loses nor duplicates a placement.

const (
	// unsizedPlacementBytes is the maximum size of a placement in an unsized record, in bytes.
	unsizedPlacementBytes = 64
	// unsizedRangeOverhead is the overhead of a range in an unsized record, counted in tasks.
	unsizedRangeOverhead = 2
	// sizedPlacementOverhead is the size of a placement without its machine's ID, and
	// sizedRangeOverhead that of a range without its placements and its job's ref, both in a sized
	// record and in bytes.
	sizedPlacementOverhead = 16
	sizedRangeOverhead     = 48
	// recordOverhead is the size of a sized record without its ranges, in bytes.
	recordOverhead = 16
	// maxJobRefBytes is the length of the longest job ref.
	maxJobRefBytes = 22
)

// PlacementsPerRecord returns how many placements an unsized record holds at most, so that its
// size stays within valueKB KiB. The size of unsized ranges is derived from it, so this formula must
// not change.
func PlacementsPerRecord(valueKB float64) int {
	return max(2*unsizedRangeOverhead, min(int(valueKB*1024/unsizedPlacementBytes), 256))
}

// unsizedRangeTasks returns the number of tasks in an unsized range.
func (c *Config) unsizedRangeTasks() int { return c.PlacementsPerRecord - unsizedRangeOverhead }

// taskRange is a range [first, end) of a job's tasks, whose placements one record holds.
type taskRange struct {
	job            *Job
	first, end     int
	record         *placementRecord
	bytes          int              // upper bound of its size in the record, in bytes
	generation     int              // of overlapping ranges, the one with the highest generation counts; raised each time the range is entered in a sized record
	attempt        uint64           // highest attempt ever used
	previousRecord *placementRecord // the record that holds it in the state service until record is written; nil: none
}

// placementRecord is a placement record, which holds ranges of several jobs.
type placementRecord struct {
	number         int
	version        uint64                  // 0: not in the state service
	sized          bool                    // its ranges state their size
	unreadable     bool                    // it cannot be decoded, and is never written
	usedBytes      int                     // sum of the bytes of its ranges
	ranges         map[string]*taskRange   // by name: see rangeName
	movedOut       map[*taskRange]struct{} // ranges that have moved to other records and are not yet written there
	dirty          bool                    // it differs from the ledger
	urgent         bool                    // a start waits for its write
	forceWrite     bool                    // write it even without new starts or completions
	dirtySince     time.Time               // when it became dirty
	writtenAt      time.Time               // when it was last written
	txn            *Txn                    // transaction in flight that writes or deletes it; nil: none
	versionUnknown bool                    // a reread is in flight
	retryAt        time.Time               // no write before this time
}

// placementLedger holds the shard's placement records and assigns ranges of tasks to them. Every
// task that was ever placed is in exactly one range, and every range in exactly one record. Ranges
// are assigned so that the estimated size of a record stays within valueBytes, unless the record has
// only one range.
type placementLedger struct {
	cfg     *Config
	token   uint64
	records map[int]*placementRecord
	// searchFrom is by the size of a range in bytes: no record with a lower number has room for it.
	searchFrom map[int]int
	// txnOps and valueBytes are the limits that writes keep to: those of Config, or lower ones
	// after the state service has rejected a transaction as too large.
	txnOps, valueBytes int
	longestMachineID   int                // length of the longest ID of a machine of the shard
	sizedAllowed       bool               // no controller of the first version is left: ranges may state their size
	sized              bool               // ranges state their size
	obsolete           []*placementRecord // unsized records to be deleted
}

func newPlacementLedger(cfg *Config, token uint64) placementLedger {
	return placementLedger{cfg: cfg, token: token, records: map[int]*placementRecord{}, searchFrom: map[int]int{}, txnOps: cfg.TxnOps, valueBytes: cfg.ValueBytes}
}

// AllowSizedRanges allows ranges that state their size where they are needed. The caller must know
// that no controller of the first version is left.
func (s *Shard) AllowSizedRanges() { s.ledger.sizedAllowed = true }

// UseSizedRanges makes ranges state their size from now on. The caller must know that no controller
// of the first version is left.
func (s *Shard) UseSizedRanges() {
	if !s.ledger.sized {
		s.ledger.sized, s.placementDue = true, true
		clear(s.ledger.searchFrom)
	}
}

// placementBytes returns an upper bound of the size of a placement in a sized record, in bytes.
func (l *placementLedger) placementBytes() int {
	return sizedPlacementOverhead + max(l.longestMachineID, 8)
}

// sizedRangeTasks returns the maximum number of tasks in a sized range.
func (l *placementLedger) sizedRangeTasks() int {
	return max(1, min((l.valueBytes-recordOverhead-sizedRangeOverhead-maxJobRefBytes)/l.placementBytes(), l.cfg.unsizedRangeTasks()))
}

// rangeBytes returns an upper bound of the size of a range in a sized or unsized record, in bytes.
func (l *placementLedger) rangeBytes(r *taskRange, sized bool) int {
	if sized {
		return sizedRangeOverhead + len(r.job.ref) + (r.end-r.first)*l.placementBytes()
	}
	return (r.end - r.first + unsizedRangeOverhead) * unsizedPlacementBytes
}

// rangeAt returns the range of task i, nil if there is none yet.
func (j *Job) rangeAt(i int) *taskRange {
	n := sort.Search(len(j.ranges), func(n int) bool { return j.ranges[n].end > i })
	if n < len(j.ranges) && j.ranges[n].first <= i {
		return j.ranges[n]
	}
	return nil
}

// insertRange adds a range to those of a job, which are in order and do not overlap.
func (j *Job) insertRange(r *taskRange) {
	n := sort.Search(len(j.ranges), func(n int) bool { return j.ranges[n].first > r.first })
	j.ranges = slices.Insert(j.ranges, n, r)
}

// uncovered returns the spans of [first, end) that are in no range yet, each of at most
// maxTasks tasks.
func (j *Job) uncovered(first, end, maxTasks int) [][2]int {
	var out [][2]int
	add := func(a, b int) {
		for ; a < b; a += maxTasks {
			out = append(out, [2]int{a, min(a+maxTasks, b)})
		}
	}
	at := first
	for _, r := range j.ranges {
		if r.end <= at || r.first >= end {
			continue
		}
		add(at, r.first)
		at = r.end
	}
	add(at, end)
	return out
}

// rangeOf returns the range of task i. If there is none yet, it makes one and assigns it to the
// first record with room.
func (l *placementLedger) rangeOf(j *Job, i int) *taskRange {
	if r := j.rangeAt(i); r != nil {
		return r
	}
	if j.withheld {
		return l.assign(l.withheldRange(j, i), nil)
	}
	size := l.cfg.unsizedRangeTasks()
	if l.sized {
		size = l.sizedRangeTasks()
	}
	first := i / size * size
	for _, span := range j.uncovered(first, min(first+size, j.tasks.len()), size) {
		if span[0] <= i && i < span[1] {
			return l.assign(&taskRange{job: j, first: span[0], end: span[1]}, nil)
		}
	}
	panic(fmt.Sprintf("scheduler: task %s/%d has no range, but no uncovered span contains it", j.ref, i))
}

// assign enters a range in a record, or in the first one with room if rec is nil, and returns the
// range.
func (l *placementLedger) assign(r *taskRange, rec *placementRecord) *taskRange {
	if rec == nil {
		rec = l.recordWithRoom(l.rangeBytes(r, l.sized), nil)
	}
	r.record, r.bytes = rec, l.rangeBytes(r, rec.sized)
	if rec.sized {
		r.generation++
	}
	rec.ranges[l.rangeName(r)] = r
	rec.usedBytes += r.bytes
	if r.job.rangeAt(r.first) != r {
		r.job.insertRange(r)
	}
	return r
}

// recordWithRoom returns the first record with room for a range of so many bytes, a new one if
// there is none. Records keep to valueBytes where they can: only a range that alone exceeds it gets
// a record to itself. source is the record that the range moves out of, nil if the range is new. The
// range must not be entered there again, since source would then wait for its own write.
func (l *placementLedger) recordWithRoom(bytes int, source *placementRecord) *placementRecord {
	limit := l.valueBytes
	if l.sized {
		limit -= recordOverhead
	}
	for n := l.searchFrom[bytes]; ; n++ {
		rec := l.record(n)
		if rec == source || !l.mayHold(rec, bytes, limit) {
			continue
		}
		if source == nil {
			l.searchFrom[bytes] = n
		}
		return rec
	}
}

// mayHold reports whether a range of so many bytes may be entered in a record, whose ranges may take
// limit bytes.
func (l *placementLedger) mayHold(rec *placementRecord, bytes, limit int) bool {
	if rec.unreadable || rec.sized != l.sized || len(rec.movedOut) > 0 {
		return false
	}
	return len(rec.ranges) == 0 || rec.usedBytes+bytes <= limit
}

// roomFreed lets later searches for room begin at a record again, since it may have more room.
func (l *placementLedger) roomFreed(rec *placementRecord) {
	for bytes, n := range l.searchFrom {
		l.searchFrom[bytes] = min(n, rec.number)
	}
}

// record returns record n, a new one if there is none.
func (l *placementLedger) record(n int) *placementRecord {
	rec := l.records[n]
	if rec == nil {
		rec = &placementRecord{number: n, sized: l.sized, ranges: map[string]*taskRange{}, movedOut: map[*taskRange]struct{}{}}
		l.records[n] = rec
	}
	return rec
}

// remove removes a record that holds no ranges.
func (l *placementLedger) remove(rec *placementRecord) {
	delete(l.records, rec.number)
	l.roomFreed(rec)
}

// rangeName returns the name of a range in its record: the job's ref with the index of the first
// task if the record is sized, else with the number of the range.
func (l *placementLedger) rangeName(r *taskRange) string {
	if r.record.sized {
		return record.RangeName(r.job.ref, r.first)
	}
	return record.RangeName(r.job.ref, r.first/l.cfg.unsizedRangeTasks())
}

// detach removes a range from its record and its job.
func (l *placementLedger) detach(r *taskRange) {
	r.record.usedBytes -= r.bytes
	delete(r.record.ranges, l.rangeName(r))
	l.roomFreed(r.record)
	r.job.ranges = slices.DeleteFunc(r.job.ranges, func(o *taskRange) bool { return o == r })
}

// confirmWritten marks a range as written to its record: the previous record no longer holds it,
// or its copy there no longer counts.
func (l *placementLedger) confirmWritten(r *taskRange) {
	if r.previousRecord != nil {
		delete(r.previousRecord.movedOut, r)
		l.roomFreed(r.previousRecord)
		r.previousRecord = nil
	}
}

// split cuts a range into pieces of at most maxTasks tasks and enters them in other records. The
// record that the range leaves is not written before the pieces are written there.
func (l *placementLedger) split(r *taskRange, maxTasks int) {
	source := r.record
	l.detach(r)
	holder := r.previousRecord
	l.confirmWritten(r)
	if holder == nil {
		holder = source
	}
	for first := r.first; first < r.end; first += maxTasks {
		piece := &taskRange{job: r.job, first: first, end: min(first+maxTasks, r.end), generation: r.generation, attempt: r.attempt, previousRecord: holder}
		l.assign(piece, l.recordWithRoom(l.rangeBytes(piece, l.sized), source))
		if holder.version > 0 {
			holder.movedOut[piece] = struct{}{}
		} else {
			piece.previousRecord = nil // no record in the state service holds it
		}
		for i := piece.first; i < piece.end; i++ {
			if t := r.job.tasks.at(i); (t.state == placed && !t.recorded) || (t.state == completed && !t.completionRecorded) {
				piece.record.urgent = piece.record.urgent || t.state == placed
				piece.record.dirty = true
			}
		}
		if holder.sized {
			piece.record.dirty, piece.record.urgent, piece.record.forceWrite = true, true, true
		}
	}
}

// retireUnsized moves the ranges of unsized records to sized records, and queues the unsized
// records that are no longer needed for deletion.
func (l *placementLedger) retireUnsized() {
	for _, rec := range l.records {
		if rec.sized || rec.unreadable || rec.txn != nil || rec.versionUnknown {
			continue
		}
		for _, r := range rec.ranges {
			l.split(r, l.sizedRangeTasks())
		}
		if len(rec.movedOut) == 0 {
			if rec.version == 0 {
				l.remove(rec)
				continue
			}
			l.obsolete = append(l.obsolete, rec)
		}
	}
}

// splitOversized keeps a sized record, whose encoding has size bytes, within the limit of a value: it
// moves ranges that do not fit to other records. It returns false if the record must not be written
// before these are. The sizes of ranges are estimated well above the actual ones, so this
// handles only unexpected growth, such as longer machine IDs.
func (l *placementLedger) splitOversized(rec *placementRecord, size int) bool {
	if !rec.sized || size <= l.valueBytes {
		return true
	}
	var ranges []*taskRange
	for _, r := range rec.ranges {
		ranges = append(ranges, r)
	}
	sort.Slice(ranges, func(a, b int) bool { return l.rangeName(ranges[a]) < l.rangeName(ranges[b]) })
	if len(ranges) == 1 {
		if r := ranges[0]; r.end-r.first > 1 {
			l.split(r, (r.end-r.first+1)/2)
			return false
		}
		return true
	}
	for _, r := range ranges[len(ranges)/2:] {
		l.split(r, r.end-r.first)
	}
	return false
}

// loadedRange is a range as a record holds it.
type loadedRange struct {
	job        *Job
	record     *placementRecord
	first, end int
	recorded   record.TaskRange
}

// loadPlacements decodes the placement records and returns their ranges of active jobs, those that
// were entered later first. It returns an error for a record whose number or format is not valid,
// and for an undecodable one that skipUnreadable does not skip.
func (s *Shard) loadPlacements(entries []wire.Entry) ([]loadedRange, error) {
	var out []loadedRange
	for _, e := range entries {
		r, err := decode[record.Placements](e)
		if err != nil {
			if err := s.skipUnreadable(e, err); err != nil {
				return nil, err
			}
			continue
		}
		n, err := strconv.Atoi(record.LastElement(e.Key))
		if err != nil {
			return nil, fmt.Errorf("record %s: %w", e.Key, err)
		}
		if r.Format > record.SizedRanges {
			return nil, fmt.Errorf("record %s: format %d is unknown", e.Key, r.Format)
		}
		rec := s.ledger.record(n)
		rec.version, rec.sized = e.Version, r.Format == record.SizedRanges
		if rec.sized {
			s.UseSizedRanges() // its writer knew that no controller of the first version was left
		}
		for name, recorded := range r.Ranges {
			ref, n, ok := record.SplitRangeName(name)
			j := s.jobs[ref]
			if !ok || j == nil {
				continue // the range of a finished job
			}
			l := loadedRange{job: j, record: rec, first: n, end: n + recorded.Size, recorded: recorded}
			if !rec.sized {
				size := s.cfg.unsizedRangeTasks()
				l.first, l.end = n*size, (n+1)*size
			}
			if l.end = min(l.end, j.tasks.len()); l.first < l.end {
				out = append(out, l)
			}
		}
	}
	// If two ranges have tasks in common, the one that was entered later counts.
	sort.Slice(out, func(a, b int) bool {
		if x, y := out[a].recorded.Generation, out[b].recorded.Generation; x != y {
			return x > y
		}
		return out[a].first < out[b].first
	})
	return out, nil
}
