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

// placementIndex is what the planned records of placements tell.
type placementIndex struct {
	nextRecord map[int]int // by shard, the number of the next record
	jobs       map[string]bool
	running    map[string]record.TaskPlacement // by task
	done       map[string]bool
	turnOf     map[string]int // of the range that tells a task
	complete   map[int]bool   // shards whose owner told all of its records
}

// indexPlacements reads the planned records of placements.
func (p *planner) indexPlacements() *placementIndex {
	k := &placementIndex{nextRecord: map[int]int{}, jobs: map[string]bool{}, running: map[string]record.TaskPlacement{}, done: map[string]bool{},
		turnOf: map[string]int{}, complete: map[int]bool{}}
	for key := range p.Held {
		if shard, _, ok := parsePlacementsKey(key); ok {
			k.complete[shard] = true
		}
	}
	for key, i := range p.items {
		shard, n, ok := parsePlacementsKey(key)
		if !ok {
			continue
		}
		k.nextRecord[shard] = max(k.nextRecord[shard], n+1)
		value := i.Put
		if value == nil {
			value = p.Store[key].Value
		}
		var s record.Placements
		if json.Unmarshal(value, &s) != nil {
			continue
		}
		k.add(&s)
		if !k.complete[shard] {
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
	if i.Outcome == Intact {
		i.Outcome, i.Why = Recovered, "as stored, with attempts above all that were used"
	}
}

// add indexes a record: of ranges that tell the same task the one entered later counts.
func (k *placementIndex) add(s *record.Placements) {
	for name, run := range s.Ranges {
		ref, _, ok := record.SplitRangeName(name)
		if !ok {
			continue
		}
		k.jobs[ref] = true
		for i, place := range run.Placed {
			if task := scheduler.TaskName(ref, i); k.latest(task, run.Generation) {
				k.running[task] = place
				delete(k.done, task)
			}
		}
		for _, span := range run.Completed {
			for i := span[0]; i <= span[1]; i++ {
				if task := scheduler.TaskName(ref, i); k.latest(task, run.Generation) {
					k.done[task] = true
					delete(k.running, task)
				}
			}
		}
	}
}

// latest reports whether a range is the latest that tells a task.
func (k *placementIndex) latest(task string, turn int) bool {
	if old, told := k.turnOf[task]; told && old > turn {
		return false
	}
	k.turnOf[task] = turn
	return true
}

// parsePlacementsKey splits the key of a record of placements.
func parsePlacementsKey(key string) (shard, n int, ok bool) {
	if !strings.HasPrefix(key, record.PlacementsPrefix) {
		return 0, 0, false
	}
	got, err := fmt.Sscanf(key, record.PlacementsPrefix+"%d/%d", &shard, &n)
	return shard, n, err == nil && got == 2
}

// unrecordedTask is a task that a worker has and the records do not.
type unrecordedTask struct {
	ref   string
	index int
	place record.TaskPlacement
}

// planPlacements records what workers have beyond the records, each task in a range of its own
// that counts before older ones; and of jobs without any range in a shard whose owner is not
// heard one with an attempt above all that were used.
func (p *planner) planPlacements() {
	k := p.indexPlacements()
	byShard := map[int][]unrecordedTask{}
	for _, id := range slices.Sorted(maps.Keys(p.Heartbeats)) {
		report := p.Heartbeats[id]
		for _, t := range report.Tasks {
			ref, i, ok := scheduler.SplitTask(t.Task)
			o, open := p.activeJobs[ref]
			place := record.TaskPlacement{Machine: id, Attempt: t.Attempt}
			if !ok || !open || t.State == wire.Exited || i >= o.Spec.Tasks || k.done[t.Task] || k.running[t.Task] == place {
				continue
			}
			byShard[o.Shard] = append(byShard[o.Shard], unrecordedTask{ref, i, place})
		}
	}
	jobs := map[int][]string{}
	for _, ref := range slices.Sorted(maps.Keys(p.activeJobs)) {
		shard := p.activeJobs[ref].Shard
		jobs[shard] = append(jobs[shard], ref)
	}
	for _, shard := range slices.Sorted(maps.Keys(jobs)) {
		p.planShardPlacements(shard, byShard[shard], jobs[shard], k)
	}
}

// planShardPlacements writes the additional records of a shard.
func (p *planner) planShardPlacements(shard int, tasks []unrecordedTask, jobs []string, k *placementIndex) {
	w := placementsWriter{p: p, shard: shard, next: k.nextRecord[shard]}
	turn := int(p.Mode.Floor) + 1
	for _, t := range tasks {
		w.add(record.RangeName(t.ref, t.index), record.TaskRange{Attempt: p.Mode.Floor, Placed: map[int]record.TaskPlacement{t.index: t.place}, Size: 1, Generation: turn + 1})
	}
	if !k.complete[shard] {
		w.flush() // a range of all tasks may have the name of one of a single task
		for _, ref := range jobs {
			if !k.jobs[ref] {
				w.add(record.RangeName(ref, 0), record.TaskRange{Attempt: p.Mode.Floor, Size: p.activeJobs[ref].Spec.Tasks, Generation: turn})
			}
		}
	}
	w.flush()
}

// placementsWriter fills records of placements.
type placementsWriter struct {
	p           *planner
	shard, next int
	ranges      map[string]record.TaskRange
	size        int
}

// rangeBytes is what a range of at most one placement takes in a record besides its name.
const rangeBytes = 160

func (w *placementsWriter) add(name string, run record.TaskRange) {
	if w.ranges != nil && w.size+rangeBytes+len(name) > w.p.limits.ValueBytes {
		w.flush()
	}
	if w.ranges == nil {
		w.ranges, w.size = map[string]record.TaskRange{}, 0
	}
	w.ranges[name] = run
	w.size += rangeBytes + len(name)
}

// flush writes what was added to the next record.
func (w *placementsWriter) flush() {
	if w.ranges == nil {
		return
	}
	i := w.p.item(record.PlacementsKey(w.shard, w.next), Recovered, FromHeartbeat, fmt.Sprintf("%d ranges that no record had", len(w.ranges)))
	i.Put = record.Encode(record.Placements{Format: record.SizedRanges, Ranges: w.ranges})
	w.next, w.ranges = w.next+1, nil
}
