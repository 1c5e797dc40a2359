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

// Placements and completions are recorded by ranges of tasks, several in a record.
//
// The first version has unsized records: it derives the size of their ranges from the
// state service's limit of a value, so a record that another size was meant for
// would lose placements, and tasks would run twice. Where a tighter limit is to
// come, ranges state their size. As long as a controller may still be of the first
// version, what is written is unsized, and read by both alike; from then on unsized
// records are never rewritten. Each of their ranges goes, in pieces, to a sized
// record when that is next written, and the unsized one is deleted once it tells
// nothing any more. A range that two records tell counts as the one tells that it
// was entered in later: so a crash between any two writes neither loses nor
// doubles a placement.

const (
	// unsizedPlacementBytes is what a placement takes at the most in an unsized record, in bytes.
	unsizedPlacementBytes = 64
	// unsizedRangeOverhead is what a range costs in an unsized record besides its tasks, in tasks.
	unsizedRangeOverhead = 2
	// sizedPlacementOverhead is what a placement takes besides its machine's name, and
	// sizedRangeOverhead a range besides its placements and its job's name.
	sizedPlacementOverhead = 16
	sizedRangeOverhead     = 48
	// recordOverhead is what a record takes besides its ranges.
	recordOverhead = 16
	// maxJobRefBytes is that of the longest job id.
	maxJobRefBytes = 22
)

// PlacementsPerRecord sizes an unsized record of placements so that it keeps to valueKB. The
// size of unsized ranges follows from it: it must stay as it is.
func PlacementsPerRecord(valueKB float64) int {
	return max(2*unsizedRangeOverhead, min(int(valueKB*1024/unsizedPlacementBytes), 256))
}

// unsizedRangeTasks is the most tasks of one job in one unsized record.
func (c *Config) unsizedRangeTasks() int { return c.PlacementsPerRecord - unsizedRangeOverhead }

// taskRange is a range of a job's tasks; its placements lie in a record.
type taskRange struct {
	job            *Job
	first, end     int
	record         *placementRecord
	bytes          int              // what it may take there, in bytes
	generation     int              // how often it was entered in a sized record
	attempt        uint64           // highest ever used
	previousRecord *placementRecord // the one that tells it until record is written
}

// placementRecord is one record of placements, shared by ranges of several jobs.
type placementRecord struct {
	number         int
	version        uint64 // 0: no record
	sized          bool
	unreadable     bool // its record can't be decoded, and is never written
	usedBytes      int  // in bytes
	ranges         map[string]*taskRange
	movedOut       map[*taskRange]struct{} // ranges that went elsewhere and are not written there yet
	dirty          bool
	urgent         bool      // a start waits for it
	forceWrite     bool      // a range must come here for its old record to be written
	dirtySince     time.Time // when it became dirty
	writtenAt      time.Time // when it was last written
	txn            *Txn
	versionUnknown bool // a transaction's outcome is unknown; a reread is under way
	retryAt        time.Time
}

// placementLedger keeps the shard's placement records and which range of tasks is told by
// which of them. Every task that was ever placed is in exactly one range, and every range in
// one record; what a record may take stays within valueBytes.
type placementLedger struct {
	cfg     *Config
	token   uint64
	records map[int]*placementRecord
	// txnOps and valueBytes are the limits to write by: those of the settings,
	// or less where the state service turned out to have others.
	txnOps, valueBytes int
	longestMachineID   int                // of the machines' names
	sizedAllowed       bool               // no controller of the first version is left
	sized              bool               // ranges state their size
	obsolete           []*placementRecord // to be deleted
}

func newPlacementLedger(cfg *Config, token uint64) placementLedger {
	return placementLedger{cfg: cfg, token: token, records: map[int]*placementRecord{}, txnOps: cfg.TxnOps, valueBytes: cfg.ValueBytes}
}

// AllowSizedRanges tells that no controller of the first version is left, so that ranges may state
// their size where that is needed.
func (s *Shard) AllowSizedRanges() { s.ledger.sizedAllowed = true }

// UseSizedRanges makes ranges state their size from now on: no controller of the first version is
// left.
func (s *Shard) UseSizedRanges() {
	if !s.ledger.sized {
		s.ledger.sized, s.placementDue = true, true
	}
}

// placementBytes is what a placement may take in a sized record.
func (l *placementLedger) placementBytes() int {
	return sizedPlacementOverhead + max(l.longestMachineID, 8)
}

// sizedRangeTasks is the most tasks in a sized range.
func (l *placementLedger) sizedRangeTasks() int {
	return max(1, min((l.valueBytes-recordOverhead-sizedRangeOverhead-maxJobRefBytes)/l.placementBytes(), l.cfg.unsizedRangeTasks()))
}

// rangeBytes is what a range may take in a record.
func (l *placementLedger) rangeBytes(c *taskRange, sized bool) int {
	if sized {
		return sizedRangeOverhead + len(c.job.ref) + (c.end-c.first)*l.placementBytes()
	}
	return (c.end - c.first + unsizedRangeOverhead) * unsizedPlacementBytes
}

// rangeAt returns the range that task i is in, nil if there is none yet.
func (j *Job) rangeAt(i int) *taskRange {
	n := sort.Search(len(j.ranges), func(n int) bool { return j.ranges[n].end > i })
	if n < len(j.ranges) && j.ranges[n].first <= i {
		return j.ranges[n]
	}
	return nil
}

// insertRange adds a range to a job's, which are in order and apart.
func (j *Job) insertRange(c *taskRange) {
	n := sort.Search(len(j.ranges), func(n int) bool { return j.ranges[n].first > c.first })
	j.ranges = slices.Insert(j.ranges, n, c)
}

// uncovered returns the spans of [first, end) that are in no range yet, each of
// at most so many tasks.
func (j *Job) uncovered(first, end, most int) [][2]int {
	var out [][2]int
	add := func(a, b int) {
		for ; a < b; a += most {
			out = append(out, [2]int{a, min(a+most, b)})
		}
	}
	at := first
	for _, c := range j.ranges {
		if c.end <= at || c.first >= end {
			continue
		}
		add(at, c.first)
		at = c.end
	}
	add(at, end)
	return out
}

// rangeOf returns the range of a task, a new one in the first record that has room.
func (l *placementLedger) rangeOf(j *Job, i int) *taskRange {
	if c := j.rangeAt(i); c != nil {
		return c
	}
	if j.withheld {
		return l.assign(l.withheldRange(j, i), nil)
	}
	size := l.cfg.unsizedRangeTasks()
	if l.sized {
		size = l.sizedRangeTasks()
	}
	first := i / size * size
	for _, span := range j.uncovered(first, min(first+size, len(j.tasks)), size) {
		if span[0] <= i && i < span[1] {
			return l.assign(&taskRange{job: j, first: span[0], end: span[1]}, nil)
		}
	}
	panic(fmt.Sprintf("scheduler: %s/%d is in no range and in one", j.ref, i))
}

// assignRange puts a range into a record, the first with room if none is named.
func (l *placementLedger) assign(c *taskRange, rec *placementRecord) *taskRange {
	if rec == nil {
		rec = l.recordWithRoom(l.rangeBytes(c, l.sized), nil)
	}
	c.record, c.bytes = rec, l.rangeBytes(c, rec.sized)
	if rec.sized {
		c.generation++
	}
	rec.ranges[l.rangeName(c)] = c
	rec.usedBytes += c.bytes
	if c.job.rangeAt(c.first) != c {
		c.job.insertRange(c)
	}
	return c
}

// recordWithRoom returns the first record that may take a range. What is written keeps
// to the tighter of the limits where it can: only a range that is larger by
// itself gets a record of its own. What leaves a record does not come back to it, which
// would wait for itself to be written.
func (l *placementLedger) recordWithRoom(cost int, leaves *placementRecord) *placementRecord {
	most := l.valueBytes
	if l.sized {
		most -= recordOverhead
	}
	for n := 0; ; n++ {
		rec := l.record(n)
		if rec != leaves && !rec.unreadable && rec.sized == l.sized && len(rec.movedOut) == 0 && (len(rec.ranges) == 0 || rec.usedBytes+cost <= most) {
			return rec
		}
	}
}

func (l *placementLedger) record(n int) *placementRecord {
	rec := l.records[n]
	if rec == nil {
		rec = &placementRecord{number: n, sized: l.sized, ranges: map[string]*taskRange{}, movedOut: map[*taskRange]struct{}{}}
		l.records[n] = rec
	}
	return rec
}

// rangeName is a range's name in its record.
func (l *placementLedger) rangeName(c *taskRange) string {
	if c.record.sized {
		return record.RangeName(c.job.ref, c.first)
	}
	return record.RangeName(c.job.ref, c.first/l.cfg.unsizedRangeTasks())
}

// detachRange takes a range out of its record and its job.
func (l *placementLedger) detach(c *taskRange) {
	c.record.usedBytes -= c.bytes
	delete(c.record.ranges, l.rangeName(c))
	c.job.ranges = slices.DeleteFunc(c.job.ranges, func(o *taskRange) bool { return o == c })
}

// confirmRange notes that a range is written to its record: the one before tells it no
// longer, or tells it in vain.
func (l *placementLedger) confirmWritten(c *taskRange) {
	if c.previousRecord != nil {
		delete(c.previousRecord.movedOut, c)
		c.previousRecord = nil
	}
}

// splitRange cuts a range into pieces and enters them in other records. The record that it
// leaves is not written before they are there.
func (l *placementLedger) split(c *taskRange, most int) {
	old := c.record
	l.detach(c)
	from := c.previousRecord
	l.confirmWritten(c)
	if from == nil {
		from = old
	}
	for first := c.first; first < c.end; first += most {
		n := &taskRange{job: c.job, first: first, end: min(first+most, c.end), generation: c.generation, attempt: c.attempt, previousRecord: from}
		l.assign(n, l.recordWithRoom(l.rangeBytes(n, l.sized), old))
		if from.version > 0 {
			from.movedOut[n] = struct{}{}
		} else {
			n.previousRecord = nil // no record tells it
		}
		for i := n.first; i < n.end; i++ {
			if t := &c.job.tasks[i]; (t.state == placed && !t.recorded) || (t.state == completed && !t.completionRecorded) {
				n.record.urgent = n.record.urgent || t.state == placed
				n.record.dirty = true
			}
		}
		if from.sized {
			n.record.dirty, n.record.urgent, n.record.forceWrite = true, true, true
		}
	}
}

// retireUnsizedRecords makes the ranges of unsized records sized ones, and deletes the unsized records
// that tell nothing any more.
func (l *placementLedger) retireUnsized() {
	for n, rec := range l.records {
		if rec.sized || rec.unreadable || rec.txn != nil || rec.versionUnknown {
			continue
		}
		for _, c := range rec.ranges {
			l.split(c, l.sizedRangeTasks())
		}
		if len(rec.movedOut) == 0 {
			if rec.version == 0 {
				delete(l.records, n)
				continue
			}
			l.obsolete = append(l.obsolete, rec)
		}
	}
}

// splitOversizedRecord makes a record keep to the limit of a value: ranges that its record has no
// room for go elsewhere. It reports false if the record must wait for that. What a
// range takes is estimated well above what it does take, so this is for what
// nobody expects, as machines' names that have grown.
func (l *placementLedger) splitOversized(rec *placementRecord, size int) bool {
	if !rec.sized || size <= l.valueBytes {
		return true
	}
	var all []*taskRange
	for _, c := range rec.ranges {
		all = append(all, c)
	}
	sort.Slice(all, func(a, b int) bool { return l.rangeName(all[a]) < l.rangeName(all[b]) })
	if len(all) == 1 {
		if c := all[0]; c.end-c.first > 1 {
			l.split(c, (c.end-c.first+1)/2)
			return false
		}
		return true
	}
	for _, c := range all[len(all)/2:] {
		l.split(c, c.end-c.first)
	}
	return false
}

// loadedRange is a range as a record tells it.
type loadedRange struct {
	job        *Job
	record     *placementRecord
	first, end int
	recorded   record.TaskRange
}

// loadPlacements reads the records of placements.
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
			s.UseSizedRanges() // who wrote it knew that the first version is gone
		}
		for name, run := range r.Ranges {
			ref, n, ok := record.SplitRangeName(name)
			j := s.jobs[ref]
			if !ok || j == nil {
				continue // left over from a finished job
			}
			l := loadedRange{job: j, record: rec, first: n, end: n + run.Size, recorded: run}
			if !rec.sized {
				per := s.cfg.unsizedRangeTasks()
				l.first, l.end = n*per, (n+1)*per
			}
			if l.end = min(l.end, len(j.tasks)); l.first < l.end {
				out = append(out, l)
			}
		}
	}
	// Of two that tell the same tasks the one entered later counts.
	sort.Slice(out, func(a, b int) bool {
		if x, y := out[a].recorded.Generation, out[b].recorded.Generation; x != y {
			return x > y
		}
		return out[a].first < out[b].first
	})
	return out, nil
}
