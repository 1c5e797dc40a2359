package controller

import (
	"sync"

	"bramblespur/internal/record"
)

// finalStatesKept is how many final states a controller remembers.
const finalStatesKept = 20000

// finalStates caches the final records of jobs. Such a record is written once and
// never changes, so what is cached never needs to be read again; what is not cached
// may exist all the same. It has its own lock, which is a leaf: it may be taken with or
// without the controller's lock, and no other is taken under it.
type finalStates struct {
	mu   sync.Mutex
	jobs map[string]record.FinishedJob // by job id
}

func newFinalStates() *finalStates {
	return &finalStates{jobs: map[string]record.FinishedJob{}}
}

// get returns the final record of a job, if it is cached.
func (f *finalStates) get(ref string) (record.FinishedJob, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j, ok := f.jobs[ref]
	return j, ok
}

// put caches a final record. A full cache drops an arbitrary other one: it can be read
// again.
func (f *finalStates) put(ref string, j record.FinishedJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.jobs) >= finalStatesKept {
		for old := range f.jobs {
			delete(f.jobs, old)
			break
		}
	}
	f.jobs[ref] = j
}
