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

// placementIndex indexes the content of the planned placement records.
type placementIndex struct {
	nextRecord   map[int]int                     // by shard, the number of the next record to add
	jobs         map[string]bool                 // jobs that have a range
	running      map[string]record.TaskPlacement // placements, by task
	done         map[string]bool                 // tasks that have completed
	generationOf map[string]int                  // by task, the generation of the range that counts for it
	complete     map[int]bool                    // shards whose owner has sent all of its placement records
}

// indexPlacements returns the index of the planned placement records. It raises the attempts in
// records of shards whose owner has not sent its placement records.
func (p *planner) indexPlacements() *placementIndex {
	k := &placementIndex{nextRecord: map[int]int{}, jobs: map[string]bool{}, running: map[string]record.TaskPlacement{}, done: map[string]bool{},
		generationOf: map[string]int{}, complete: map[int]bool{}}
	for key := range p.Held {
		if shard, _, ok := parsePlacementsKey(key); ok {
			k.complete[shard] = true
		}
	}
	for key, item := range p.items {
		shard, n, ok := parsePlacementsKey(key)
		if !ok {
			continue
		}
		k.nextRecord[shard] = max(k.nextRecord[shard], n+1)
		value := item.Put
		if value == nil {
			value = p.Store[key].Value
		}
		var placements record.Placements
		if json.Unmarshal(value, &placements) != nil {
			continue
		}
		k.add(&placements)
		if !k.complete[shard] {
			p.raiseAttempts(key, item, placements)
		}
	}
	return k
}

// raiseAttempts raises the attempts of a record that may be older than the latest starts above all
// that may have been used, so that no attempt is used again.
func (p *planner) raiseAttempts(key string, item *Item, placements record.Placements) {
	for name, taskRange := range placements.Ranges {
		taskRange.Attempt = max(taskRange.Attempt, p.Mode.Floor)
		placements.Ranges[name] = taskRange
	}
	if len(placements.Ranges) == 0 {
		return
	}
	item.Put = record.Encode(placements)
	if item.Outcome == Intact {
		item.Outcome, item.Why = Recovered, "as stored, with attempts above all that were used"
	}
}

// add indexes a record. Of ranges that have the same task the one with the higher generation counts.
func (k *placementIndex) add(placements *record.Placements) {
	for name, taskRange := range placements.Ranges {
		ref, _, ok := record.SplitRangeName(name)
		if !ok {
			continue
		}
		k.jobs[ref] = true
		for i, place := range taskRange.Placed {
			if task := scheduler.TaskName(ref, i); k.latest(task, taskRange.Generation) {
				k.running[task] = place
				delete(k.done, task)
			}
		}
		for _, span := range taskRange.Completed {
			for i := span[0]; i <= span[1]; i++ {
				if task := scheduler.TaskName(ref, i); k.latest(task, taskRange.Generation) {
					k.done[task] = true
					delete(k.running, task)
				}
			}
		}
	}
}

// latest reports whether a range with the given generation is the latest so far that has the task. If
// so, it notes the generation.
func (k *placementIndex) latest(task string, generation int) bool {
	if old, indexed := k.generationOf[task]; indexed && old > generation {
		return false
	}
	k.generationOf[task] = generation
	return true
}

// parsePlacementsKey returns the shard and the number of the placement record with a key.
func parsePlacementsKey(key string) (shard, n int, ok bool) {
	if !strings.HasPrefix(key, record.PlacementsPrefix) {
		return 0, 0, false
	}
	got, err := fmt.Sscanf(key, record.PlacementsPrefix+"%d/%d", &shard, &n)
	return shard, n, err == nil && got == 2
}

// unrecordedTask is a task that a worker has and that the records do not place on its machine.
type unrecordedTask struct {
	ref   string
	index int
	place record.TaskPlacement
}

// planPlacements adds the tasks that workers have and records do not, each in a range of its own
// with a higher generation than older ranges. For each job without a range, in a shard whose owner
// has not sent its placement records, it adds a range with an attempt above all that may have been used.
func (p *planner) planPlacements() {
	k := p.indexPlacements()
	byShard := map[int][]unrecordedTask{}
	for _, id := range slices.Sorted(maps.Keys(p.Heartbeats)) {
		heartbeat := p.Heartbeats[id]
		for _, t := range heartbeat.Tasks {
			ref, i, ok := scheduler.SplitTask(t.Task)
			job, active := p.activeJobs[ref]
			place := record.TaskPlacement{Machine: id, Attempt: t.Attempt}
			if !ok || !active || t.State == wire.Exited || i >= job.Spec.Tasks || k.done[t.Task] || k.running[t.Task] == place {
				continue
			}
			byShard[job.Shard] = append(byShard[job.Shard], unrecordedTask{ref, i, place})
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

// planShardPlacements adds the records of a shard for unrecorded tasks and for jobs without a range.
func (p *planner) planShardPlacements(shard int, tasks []unrecordedTask, jobs []string, k *placementIndex) {
	w := placementsWriter{p: p, shard: shard, next: k.nextRecord[shard]}
	generation := int(p.Mode.Floor) + 1
	for _, t := range tasks {
		w.add(record.RangeName(t.ref, t.index), record.TaskRange{Attempt: p.Mode.Floor, Placed: map[int]record.TaskPlacement{t.index: t.place}, Size: 1, Generation: generation + 1})
	}
	if !k.complete[shard] {
		w.flush() // the range of all tasks of a job may have the same name as the range of its first task
		for _, ref := range jobs {
			if !k.jobs[ref] {
				w.add(record.RangeName(ref, 0), record.TaskRange{Attempt: p.Mode.Floor, Size: p.activeJobs[ref].Spec.Tasks, Generation: generation})
			}
		}
	}
	w.flush()
}

// placementsWriter adds ranges to new placement records of a shard.
type placementsWriter struct {
	p           *planner
	shard, next int                         // the shard, and the number of the next record
	ranges      map[string]record.TaskRange // of the next record, by name; nil: none yet
	size        int                         // of the ranges, in bytes
}

// rangeBytes is how many bytes a range with at most one placement takes in a record besides its name.
const rangeBytes = 160

// add adds a range to the next record, and begins another record if there is no room for it.
func (w *placementsWriter) add(name string, taskRange record.TaskRange) {
	if w.ranges != nil && w.size+rangeBytes+len(name) > w.p.limits.ValueBytes {
		w.flush()
	}
	if w.ranges == nil {
		w.ranges, w.size = map[string]record.TaskRange{}, 0
	}
	w.ranges[name] = taskRange
	w.size += rangeBytes + len(name)
}

// flush adds the next record to the plan, if it has any range.
func (w *placementsWriter) flush() {
	if w.ranges == nil {
		return
	}
	item := w.p.addItem(record.PlacementsKey(w.shard, w.next), Recovered, FromHeartbeat, fmt.Sprintf("%d ranges that no record had", len(w.ranges)))
	item.Put = record.Encode(record.Placements{Format: record.SizedRanges, Ranges: w.ranges})
	w.next, w.ranges = w.next+1, nil
}
