package scheduler

import "iter"

// taskTable holds the tasks of a job. Only tasks that are placed take memory of their own; for the
// others it keeps two bits each, and none before the first completion. So its size depends on what
// runs on machines, and hardly on how many tasks the job has.
type taskTable struct {
	count              int
	placed             map[int]*task // by index
	completed          bitSet
	completionRecorded bitSet // the completed tasks whose completion is in the state service
}

// The tasks that are not placed. They are shared and must not be changed.
var (
	pendingTask           = &task{state: pending}
	completedTask         = &task{state: completed}
	recordedCompletedTask = &task{state: completed, completionRecorded: true}
)

// newTaskTable returns a table of so many pending tasks.
func newTaskTable(count int) taskTable { return taskTable{count: count} }

// len returns the number of tasks.
func (t *taskTable) len() int { return t.count }

// at returns task i. Only a placed task may be changed through the result, and only until it is no
// longer placed.
func (t *taskTable) at(i int) *task {
	if placed := t.placed[i]; placed != nil {
		return placed
	}
	switch {
	case !t.completed.has(i):
		return pendingTask
	case t.completionRecorded.has(i):
		return recordedCompletedTask
	default:
		return completedTask
	}
}

// place makes task i placed and returns it.
func (t *taskTable) place(i int, m *Machine, attempt uint64) *task {
	if t.placed == nil {
		t.placed = map[int]*task{}
	}
	t.completed.remove(i)
	t.completionRecorded.remove(i)
	placement := &task{state: placed, attempt: attempt, machine: m}
	t.placed[i] = placement
	return placement
}

// unplace makes the placed task i pending. Whoever holds the task sees that as well.
func (t *taskTable) unplace(i int) {
	*t.placed[i] = task{state: pending}
	delete(t.placed, i)
}

// complete makes the pending task i completed.
func (t *taskTable) complete(i int) { t.completed.add(i, t.count) }

// recordCompletion notes that the completion of task i is in the state service.
func (t *taskTable) recordCompletion(i int) { t.completionRecorded.add(i, t.count) }

// placedTasks returns the placed tasks by index, in no particular order. Tasks may be unplaced while
// they are iterated.
func (t *taskTable) placedTasks() iter.Seq2[int, *task] {
	return func(yield func(int, *task) bool) {
		for i, placement := range t.placed {
			if !yield(i, placement) {
				return
			}
		}
	}
}

// bitSet is a set of small numbers. It takes no memory while it is empty.
type bitSet []uint64

// bitsPerWord is the number of bits in a word of a bitSet.
const bitsPerWord = 64

// has reports whether the set contains i.
func (b bitSet) has(i int) bool {
	return i/bitsPerWord < len(b) && b[i/bitsPerWord]&(1<<(i%bitsPerWord)) != 0
}

// add adds i, which is below limit.
func (b *bitSet) add(i, limit int) {
	if *b == nil {
		*b = make(bitSet, (limit+bitsPerWord-1)/bitsPerWord)
	}
	(*b)[i/bitsPerWord] |= 1 << (i % bitsPerWord)
}

// remove removes i.
func (b bitSet) remove(i int) {
	if i/bitsPerWord < len(b) {
		b[i/bitsPerWord] &^= 1 << (i % bitsPerWord)
	}
}
