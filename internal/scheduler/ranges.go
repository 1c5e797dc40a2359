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

// Placements and completions are recorded by ranges of tasks, several in a slot.
//
// The first version has plain slots: it derives the size of their ranges from the
// state service's limit of a value, so a slot that another size was meant for
// would lose placements, and tasks would run twice. Where a tighter limit is to
// come, ranges state their size. As long as a controller may still be of the first
// version, what is written is plain, and read by both alike; from then on plain
// slots are never rewritten. Each of their ranges goes, in pieces, to a stated
// slot when that is next written, and the plain one is deleted once it tells
// nothing any more. A range that two slots tell counts as the one tells that it
// was entered in later: so a crash between any two writes neither loses nor
// doubles a placement.

const (
	// plainPlace is what a placement takes at the most in a plain slot, in bytes.
	plainPlace = 64
	// runOverhead is what a range costs in a plain slot besides its tasks, in tasks.
	runOverhead = 2
	// statedPlace is what a placement takes besides its machine's name, and
	// statedRun a range besides its placements and its job's name.
	statedPlace = 16
	statedRun   = 48
	// slotEnvelope is what a slot takes besides its ranges.
	slotEnvelope = 16
	// longestRef is that of the longest job id.
	longestRef = 22
)

// SlotTasks sizes a plain record of placements so that it keeps to valueKB. The
// size of plain ranges follows from it: it must stay as it is.
func SlotTasks(valueKB float64) int {
	return max(2*runOverhead, min(int(valueKB*1024/plainPlace), 256))
}

// chunkTasks is the most tasks of one job in one plain slot.
func (c *Config) chunkTasks() int { return c.SlotTasks - runOverhead }

// chunk is a range of a job's tasks; its placements lie in a slot.
type chunk struct {
	job        *Job
	first, end int
	slot       *placementRecord
	cost       int              // what it may take there, in bytes
	turn       int              // how often it was entered in a stated slot
	attempt    uint64           // highest ever used
	from       *placementRecord // whose record tells it until its slot is written
}

// placementRecord is one record of placements, shared by ranges of several jobs.
type placementRecord struct {
	n              int
	version        uint64 // 0: no record
	stated         bool
	unreadable     bool // its record can't be decoded, and is never written
	used           int  // in bytes
	chunks         map[string]*chunk
	left           map[*chunk]struct{} // ranges that went elsewhere and are not written there yet
	dirty          bool
	urgent         bool      // a start waits for it
	moved          bool      // a range must come here for its old slot to be written
	since          time.Time // when it became dirty
	written        time.Time // when it was last written
	txn            *Txn
	versionUnknown bool // a transaction's outcome is unknown; a reread is under way
	retry          time.Time
}

// SetUpgraded tells that no controller of the first version is left, so that ranges may state
// their size where that is needed.
func (s *Shard) SetUpgraded() { s.upgraded = true }

// SetStated makes ranges state their size from now on: no controller of the first version is
// left.
func (s *Shard) SetStated() {
	if !s.stated {
		s.stated, s.changed = true, true
	}
}

// placeBytes is what a placement may take in a stated slot.
func (s *Shard) placeBytes() int { return statedPlace + max(s.longestID, 8) }

// statedTasks is the most tasks in a stated range.
func (s *Shard) statedTasks() int {
	return max(1, min((s.valueBytes-slotEnvelope-statedRun-longestRef)/s.placeBytes(), s.cfg.chunkTasks()))
}

// cost is what a range may take in a slot.
func (s *Shard) cost(c *chunk, stated bool) int {
	if stated {
		return statedRun + len(c.job.ref) + (c.end-c.first)*s.placeBytes()
	}
	return (c.end - c.first + runOverhead) * plainPlace
}

// chunkAt returns the range that task i is in, nil if there is none yet.
func (j *Job) chunkAt(i int) *chunk {
	n := sort.Search(len(j.chunks), func(n int) bool { return j.chunks[n].end > i })
	if n < len(j.chunks) && j.chunks[n].first <= i {
		return j.chunks[n]
	}
	return nil
}

// keep adds a range to a job's, which are in order and apart.
func (j *Job) keep(c *chunk) {
	n := sort.Search(len(j.chunks), func(n int) bool { return j.chunks[n].first > c.first })
	j.chunks = slices.Insert(j.chunks, n, c)
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
	for _, c := range j.chunks {
		if c.end <= at || c.first >= end {
			continue
		}
		add(at, c.first)
		at = c.end
	}
	add(at, end)
	return out
}

// chunk returns the range of a task, a new one in the first slot that has room.
func (s *Shard) chunk(j *Job, i int) *chunk {
	if c := j.chunkAt(i); c != nil {
		return c
	}
	if j.withheld {
		return s.enter(s.withheldRange(j, i), nil)
	}
	size := s.cfg.chunkTasks()
	if s.stated {
		size = s.statedTasks()
	}
	first := i / size * size
	for _, span := range j.uncovered(first, min(first+size, len(j.tasks)), size) {
		if span[0] <= i && i < span[1] {
			return s.enter(&chunk{job: j, first: span[0], end: span[1]}, nil)
		}
	}
	panic(fmt.Sprintf("sched: %s/%d is in no range and in one", j.ref, i))
}

// enter puts a range into a slot, the first with room if none is named.
func (s *Shard) enter(c *chunk, rec *placementRecord) *chunk {
	if rec == nil {
		rec = s.roomySlot(s.cost(c, s.stated), nil)
	}
	c.slot, c.cost = rec, s.cost(c, rec.stated)
	if rec.stated {
		c.turn++
	}
	rec.chunks[s.runName(c)] = c
	rec.used += c.cost
	if c.job.chunkAt(c.first) != c {
		c.job.keep(c)
	}
	return c
}

// roomySlot returns the first slot that may take a range. What is written keeps
// to the tighter of the limits where it can: only a range that is larger by
// itself gets a slot of its own. What leaves a slot does not come back to it, which
// would wait for itself to be written.
func (s *Shard) roomySlot(cost int, leaves *placementRecord) *placementRecord {
	most := s.valueBytes
	if s.stated {
		most -= slotEnvelope
	}
	for n := 0; ; n++ {
		rec := s.slot(n)
		if rec != leaves && !rec.unreadable && rec.stated == s.stated && len(rec.left) == 0 && (len(rec.chunks) == 0 || rec.used+cost <= most) {
			return rec
		}
	}
}

func (s *Shard) slot(n int) *placementRecord {
	rec := s.slots[n]
	if rec == nil {
		rec = &placementRecord{n: n, stated: s.stated, chunks: map[string]*chunk{}, left: map[*chunk]struct{}{}}
		s.slots[n] = rec
	}
	return rec
}

// runName is a range's name in its slot.
func (s *Shard) runName(c *chunk) string {
	if c.slot.stated {
		return record.RangeName(c.job.ref, c.first)
	}
	return record.RangeName(c.job.ref, c.first/s.cfg.chunkTasks())
}

// leave takes a range out of its slot and its job.
func (s *Shard) leave(c *chunk) {
	c.slot.used -= c.cost
	delete(c.slot.chunks, s.runName(c))
	c.job.chunks = slices.DeleteFunc(c.job.chunks, func(o *chunk) bool { return o == c })
}

// settle notes that a range is written to its slot: the one before tells it no
// longer, or tells it in vain.
func (s *Shard) settle(c *chunk) {
	if c.from != nil {
		delete(c.from.left, c)
		c.from = nil
	}
}

// move cuts a range into pieces and enters them in other slots. The slot that it
// leaves is not written before they are there.
func (s *Shard) move(c *chunk, most int) {
	old := c.slot
	s.leave(c)
	from := c.from
	s.settle(c)
	if from == nil {
		from = old
	}
	for first := c.first; first < c.end; first += most {
		n := &chunk{job: c.job, first: first, end: min(first+most, c.end), turn: c.turn, attempt: c.attempt, from: from}
		s.enter(n, s.roomySlot(s.cost(n, s.stated), old))
		if from.version > 0 {
			from.left[n] = struct{}{}
		} else {
			n.from = nil // no record tells it
		}
		for i := n.first; i < n.end; i++ {
			if t := &c.job.tasks[i]; (t.state == placed && !t.recorded) || (t.state == done && !t.durable) {
				n.slot.urgent = n.slot.urgent || t.state == placed
				n.slot.dirty = true
			}
		}
		if from.stated {
			n.slot.dirty, n.slot.urgent, n.slot.moved = true, true, true
		}
	}
}

// retire makes the ranges of plain slots stated ones, and deletes the plain slots
// that tell nothing any more.
func (s *Shard) retire() {
	for n, rec := range s.slots {
		if rec.stated || rec.unreadable || rec.txn != nil || rec.versionUnknown {
			continue
		}
		for _, c := range rec.chunks {
			s.move(c, s.statedTasks())
		}
		if len(rec.left) == 0 {
			if rec.version == 0 {
				delete(s.slots, n)
				continue
			}
			s.plain = append(s.plain, rec)
		}
	}
}

// fit makes a slot keep to the limit of a value: ranges that its record has no
// room for go elsewhere. It reports false if the slot must wait for that. What a
// range takes is estimated well above what it does take, so this is for what
// nobody expects, as machines' names that have grown.
func (s *Shard) fit(rec *placementRecord, size int) bool {
	if !rec.stated || size <= s.valueBytes {
		return true
	}
	var all []*chunk
	for _, c := range rec.chunks {
		all = append(all, c)
	}
	sort.Slice(all, func(a, b int) bool { return s.runName(all[a]) < s.runName(all[b]) })
	if len(all) == 1 {
		if c := all[0]; c.end-c.first > 1 {
			s.move(c, (c.end-c.first+1)/2)
			return false
		}
		return true
	}
	for _, c := range all[len(all)/2:] {
		s.move(c, c.end-c.first)
	}
	return false
}

// loaded is a range as a record tells it.
type loaded struct {
	job        *Job
	slot       *placementRecord
	first, end int
	run        record.TaskRange
}

// loadSlots reads the records of placements.
func (s *Shard) loadSlots(slots []wire.Entry) ([]loaded, error) {
	var out []loaded
	for _, e := range slots {
		r, err := decode[record.Placements](e)
		if err != nil {
			if err := s.passOver(e, err); err != nil {
				return nil, err
			}
			continue
		}
		n, err := strconv.Atoi(record.Last(e.Key))
		if err != nil {
			return nil, fmt.Errorf("record %s: %w", e.Key, err)
		}
		if r.Format > record.SizedRanges {
			return nil, fmt.Errorf("record %s: format %d is unknown", e.Key, r.Format)
		}
		rec := s.slot(n)
		rec.version, rec.stated = e.Version, r.Format == record.SizedRanges
		if rec.stated {
			s.SetStated() // who wrote it knew that the first version is gone
		}
		for name, run := range r.Ranges {
			ref, n, ok := record.SplitRangeName(name)
			j := s.jobs[ref]
			if !ok || j == nil {
				continue // left over from a finished job
			}
			l := loaded{job: j, slot: rec, first: n, end: n + run.Tasks, run: run}
			if !rec.stated {
				per := s.cfg.chunkTasks()
				l.first, l.end = n*per, (n+1)*per
			}
			if l.end = min(l.end, len(j.tasks)); l.first < l.end {
				out = append(out, l)
			}
		}
	}
	// Of two that tell the same tasks the one entered later counts.
	sort.Slice(out, func(a, b int) bool {
		if x, y := out[a].run.Turn, out[b].run.Turn; x != y {
			return x > y
		}
		return out[a].first < out[b].first
	})
	return out, nil
}
