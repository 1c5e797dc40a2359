package sched

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
	slot       *slot
	cost       int    // what it may take there, in bytes
	turn       int    // how often it was entered in a stated slot
	attempt    uint64 // highest ever used
	from       *slot  // whose record tells it until its slot is written
}

// slot is one record of placements, shared by ranges of several jobs.
type slot struct {
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
func (p *Part) SetUpgraded() { p.upgraded = true }

// SetStated makes ranges state their size from now on: no controller of the first version is
// left.
func (p *Part) SetStated() {
	if !p.stated {
		p.stated, p.changed = true, true
	}
}

// placeBytes is what a placement may take in a stated slot.
func (p *Part) placeBytes() int { return statedPlace + max(p.longestID, 8) }

// statedTasks is the most tasks in a stated range.
func (p *Part) statedTasks() int {
	return max(1, min((p.valueBytes-slotEnvelope-statedRun-longestRef)/p.placeBytes(), p.cfg.chunkTasks()))
}

// cost is what a range may take in a slot.
func (p *Part) cost(c *chunk, stated bool) int {
	if stated {
		return statedRun + len(c.job.ref) + (c.end-c.first)*p.placeBytes()
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
func (p *Part) chunk(j *Job, i int) *chunk {
	if c := j.chunkAt(i); c != nil {
		return c
	}
	if j.withheld {
		return p.enter(p.withheldRange(j, i), nil)
	}
	size := p.cfg.chunkTasks()
	if p.stated {
		size = p.statedTasks()
	}
	first := i / size * size
	for _, span := range j.uncovered(first, min(first+size, len(j.tasks)), size) {
		if span[0] <= i && i < span[1] {
			return p.enter(&chunk{job: j, first: span[0], end: span[1]}, nil)
		}
	}
	panic(fmt.Sprintf("sched: %s/%d is in no range and in one", j.ref, i))
}

// enter puts a range into a slot, the first with room if none is named.
func (p *Part) enter(c *chunk, s *slot) *chunk {
	if s == nil {
		s = p.roomySlot(p.cost(c, p.stated), nil)
	}
	c.slot, c.cost = s, p.cost(c, s.stated)
	if s.stated {
		c.turn++
	}
	s.chunks[p.runName(c)] = c
	s.used += c.cost
	if c.job.chunkAt(c.first) != c {
		c.job.keep(c)
	}
	return c
}

// roomySlot returns the first slot that may take a range. What is written keeps
// to the tighter of the limits where it can: only a range that is larger by
// itself gets a slot of its own. What leaves a slot does not come back to it, which
// would wait for itself to be written.
func (p *Part) roomySlot(cost int, leaves *slot) *slot {
	most := p.valueBytes
	if p.stated {
		most -= slotEnvelope
	}
	for n := 0; ; n++ {
		s := p.slot(n)
		if s != leaves && !s.unreadable && s.stated == p.stated && len(s.left) == 0 && (len(s.chunks) == 0 || s.used+cost <= most) {
			return s
		}
	}
}

func (p *Part) slot(n int) *slot {
	s := p.slots[n]
	if s == nil {
		s = &slot{n: n, stated: p.stated, chunks: map[string]*chunk{}, left: map[*chunk]struct{}{}}
		p.slots[n] = s
	}
	return s
}

// runName is a range's name in its slot.
func (p *Part) runName(c *chunk) string {
	if c.slot.stated {
		return record.RunName(c.job.ref, c.first)
	}
	return record.RunName(c.job.ref, c.first/p.cfg.chunkTasks())
}

// leave takes a range out of its slot and its job.
func (p *Part) leave(c *chunk) {
	c.slot.used -= c.cost
	delete(c.slot.chunks, p.runName(c))
	c.job.chunks = slices.DeleteFunc(c.job.chunks, func(o *chunk) bool { return o == c })
}

// settle notes that a range is written to its slot: the one before tells it no
// longer, or tells it in vain.
func (p *Part) settle(c *chunk) {
	if c.from != nil {
		delete(c.from.left, c)
		c.from = nil
	}
}

// move cuts a range into pieces and enters them in other slots. The slot that it
// leaves is not written before they are there.
func (p *Part) move(c *chunk, most int) {
	old := c.slot
	p.leave(c)
	from := c.from
	p.settle(c)
	if from == nil {
		from = old
	}
	for first := c.first; first < c.end; first += most {
		n := &chunk{job: c.job, first: first, end: min(first+most, c.end), turn: c.turn, attempt: c.attempt, from: from}
		p.enter(n, p.roomySlot(p.cost(n, p.stated), old))
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
func (p *Part) retire() {
	for n, s := range p.slots {
		if s.stated || s.unreadable || s.txn != nil || s.versionUnknown {
			continue
		}
		for _, c := range s.chunks {
			p.move(c, p.statedTasks())
		}
		if len(s.left) == 0 {
			if s.version == 0 {
				delete(p.slots, n)
				continue
			}
			p.plain = append(p.plain, s)
		}
	}
}

// fit makes a slot keep to the limit of a value: ranges that its record has no
// room for go elsewhere. It reports false if the slot must wait for that. What a
// range takes is estimated well above what it does take, so this is for what
// nobody expects, as machines' names that have grown.
func (p *Part) fit(s *slot, size int) bool {
	if !s.stated || size <= p.valueBytes {
		return true
	}
	var all []*chunk
	for _, c := range s.chunks {
		all = append(all, c)
	}
	sort.Slice(all, func(a, b int) bool { return p.runName(all[a]) < p.runName(all[b]) })
	if len(all) == 1 {
		if c := all[0]; c.end-c.first > 1 {
			p.move(c, (c.end-c.first+1)/2)
			return false
		}
		return true
	}
	for _, c := range all[len(all)/2:] {
		p.move(c, c.end-c.first)
	}
	return false
}

// loaded is a range as a record tells it.
type loaded struct {
	job        *Job
	slot       *slot
	first, end int
	run        record.Run
}

// loadSlots reads the records of placements.
func (p *Part) loadSlots(slots []wire.Entry) ([]loaded, error) {
	var out []loaded
	for _, e := range slots {
		r, err := decode[record.Slot](e)
		if err != nil {
			if err := p.passOver(e, err); err != nil {
				return nil, err
			}
			continue
		}
		n, err := strconv.Atoi(record.Last(e.Key))
		if err != nil {
			return nil, fmt.Errorf("record %s: %w", e.Key, err)
		}
		if r.Format > record.Stated {
			return nil, fmt.Errorf("record %s: format %d is unknown", e.Key, r.Format)
		}
		s := p.slot(n)
		s.version, s.stated = e.Version, r.Format == record.Stated
		if s.stated {
			p.SetStated() // who wrote it knew that the first version is gone
		}
		for name, run := range r.Runs {
			ref, n, ok := record.SplitRunName(name)
			j := p.jobs[ref]
			if !ok || j == nil {
				continue // left over from a finished job
			}
			l := loaded{job: j, slot: s, first: n, end: n + run.Tasks, run: run}
			if !s.stated {
				per := p.cfg.chunkTasks()
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
