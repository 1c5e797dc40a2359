package admission

import "bramblespur/internal/config"

// jobsHeapShare is the fraction of the heap that active jobs may take. The rest is for machines and
// the tasks on them, for requests, and for what a collection has not freed yet.
const jobsHeapShare = 0.5

// MaxJobBytes returns how much memory all active jobs together may take in a process with resources
// r, in bytes. Any one controller may have to hold all of them, after the others have ended.
func MaxJobBytes(r config.Resources) int { return int(float64(r.HeapBytes()) * jobsHeapShare) }
