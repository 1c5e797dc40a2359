package recovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// known is what the planned records of placements tell.
type known struct {
	next    map[int]int // by part, the number of the next record
	jobs    map[string]bool
	on      map[string]record.TaskPlacement // by task
	done    map[string]bool
	turns   map[string]int // of the range that tells a task
	certain map[int]bool   // parts whose owner told all of its records
}

// known reads the planned records of placements.
func (p *planner) known() *known {
	k := &known{next: map[int]int{}, jobs: map[string]bool{}, on: map[string]record.TaskPlacement{}, done: map[string]bool{},
		turns: map[string]int{}, certain: map[int]bool{}}
	for key := range p.Held {
		if part, _, ok := splitSlot(key); ok {
			k.certain[part] = true
		}
	}
	for key, i := range p.items {
		part, n, ok := splitSlot(key)
		if !ok {
			continue
		}
		k.next[part] = max(k.next[part], n+1)
		value := i.Put
		if value == nil {
			value = p.Store[key].Value
		}
		var s record.Placements
		if json.Unmarshal(value, &s) != nil {
			continue
		}
		k.add(&s)
		if !k.certain[part] {
			p.raiseAttempts(key, i, s)
		}
	}
	return k
}

// raiseAttempts makes a record that may be older than what was started tell an attempt above
// all that were, so that none is used again.
func (p *planner) raiseAttempts(key string, i *Item, s record.Placements) {
	for name, run := range s.Ranges {
		run.Attempt = max(run.Attempt, p.Mode.Floor)
		s.Ranges[name] = run
	}
	if len(s.Ranges) == 0 {
		return
	}
	i.Put = record.Encode(s)
	if i.Verdict == Intact {
		i.Verdict, i.Why = Recovered, "as stored, with attempts above all that were used"
	}
}

// add takes in a record: of ranges that tell the same task the one entered later counts.
func (k *known) add(s *record.Placements) {
	for name, run := range s.Ranges {
		ref, _, ok := record.SplitRangeName(name)
		if !ok {
			continue
		}
		k.jobs[ref] = true
		for i, place := range run.On {
			if task := scheduler.TaskName(ref, i); k.later(task, run.Turn) {
				k.on[task] = place
				delete(k.done, task)
			}
		}
		for _, span := range run.Done {
			for i := span[0]; i <= span[1]; i++ {
				if task := scheduler.TaskName(ref, i); k.later(task, run.Turn) {
					k.done[task] = true
					delete(k.on, task)
				}
			}
		}
	}
}

// later reports whether a range is the latest that tells a task.
func (k *known) later(task string, turn int) bool {
	if old, told := k.turns[task]; told && old > turn {
		return false
	}
	k.turns[task] = turn
	return true
}

// splitSlot splits the key of a record of placements.
func splitSlot(key string) (part, n int, ok bool) {
	if !strings.HasPrefix(key, record.PlacementsPrefix) {
		return 0, 0, false
	}
	got, err := fmt.Sscanf(key, record.PlacementsPrefix+"%d/%d", &part, &n)
	return part, n, err == nil && got == 2
}

// placed is a task that a worker has and the records do not.
type placed struct {
	ref   string
	index int
	place record.TaskPlacement
}

// placements records what workers have beyond the records, each task in a range of its own
// that counts before older ones; and of jobs without any range in a part whose owner is not
// heard one with an attempt above all that were used.
func (p *planner) placements() {
	k := p.known()
	byPart := map[int][]placed{}
	for _, id := range slices.Sorted(maps.Keys(p.Reports)) {
		report := p.Reports[id]
		for _, t := range report.Tasks {
			ref, i, ok := scheduler.SplitTask(t.Task)
			o, open := p.jobs[ref]
			place := record.TaskPlacement{Machine: id, Attempt: t.Attempt}
			if !ok || !open || t.State == wire.Exited || i >= o.Spec.Tasks || k.done[t.Task] || k.on[t.Task] == place {
				continue
			}
			byPart[o.Shard] = append(byPart[o.Shard], placed{ref, i, place})
		}
	}
	jobs := map[int][]string{}
	for _, ref := range slices.Sorted(maps.Keys(p.jobs)) {
		part := p.jobs[ref].Shard
		jobs[part] = append(jobs[part], ref)
	}
	for _, part := range slices.Sorted(maps.Keys(jobs)) {
		p.placePart(part, byPart[part], jobs[part], k)
	}
}

// placePart writes the additional records of a part.
func (p *planner) placePart(part int, tasks []placed, jobs []string, k *known) {
	w := slotWriter{p: p, part: part, next: k.next[part]}
	turn := int(p.Mode.Floor) + 1
	for _, t := range tasks {
		w.add(record.RangeName(t.ref, t.index), record.TaskRange{Attempt: p.Mode.Floor, On: map[int]record.TaskPlacement{t.index: t.place}, Tasks: 1, Turn: turn + 1})
	}
	if !k.certain[part] {
		w.flush() // a range of all tasks may have the name of one of a single task
		for _, ref := range jobs {
			if !k.jobs[ref] {
				w.add(record.RangeName(ref, 0), record.TaskRange{Attempt: p.Mode.Floor, Tasks: p.jobs[ref].Spec.Tasks, Turn: turn})
			}
		}
	}
	w.flush()
}

// slotWriter fills records of placements.
type slotWriter struct {
	p          *planner
	part, next int
	runs       map[string]record.TaskRange
	size       int
}

// runBytes is what a range of at most one placement takes in a record besides its name.
const runBytes = 160

func (w *slotWriter) add(name string, run record.TaskRange) {
	if w.runs != nil && w.size+runBytes+len(name) > w.p.limits.ValueBytes {
		w.flush()
	}
	if w.runs == nil {
		w.runs, w.size = map[string]record.TaskRange{}, 0
	}
	w.runs[name] = run
	w.size += runBytes + len(name)
}

// flush writes what was added to the next record.
func (w *slotWriter) flush() {
	if w.runs == nil {
		return
	}
	i := w.p.item(record.PlacementsKey(w.part, w.next), Recovered, FromReport, fmt.Sprintf("%d ranges that no record had", len(w.runs)))
	i.Put = record.Encode(record.Placements{Format: record.SizedRanges, Ranges: w.runs})
	w.next, w.runs = w.next+1, nil
}
