// Package terminal caches the terminal records of jobs. A terminal record is written once,
// when a job is done or cancelled, and never changes, so a cached record never needs to be
// read again.
package terminal

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
)

// maxCached is how many terminal records a cache holds at most.
const maxCached = 20000

// Cache holds terminal records of jobs. A job without a cached record may be terminal too.
//
// It is safe for concurrent use. Its lock is a leaf: no other lock is taken under it. Methods
// that do not say otherwise may be called with or without the shards' lock held.
type Cache struct {
	mu   sync.Mutex
	jobs map[string]record.FinishedJob // by job id
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{jobs: map[string]record.FinishedJob{}}
}

// Get returns the terminal record of a job, and whether it is cached.
func (c *Cache) Get(job string) (record.FinishedJob, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	terminal, ok := c.jobs[job]
	return terminal, ok
}

// Put caches a job's terminal record. A full cache evicts an arbitrary record, which can be
// read again.
func (c *Cache) Put(job string, terminal record.FinishedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.jobs) >= maxCached {
		for evicted := range c.jobs {
			delete(c.jobs, evicted)
			break
		}
	}
	c.jobs[job] = terminal
}

// All returns a copy of all cached records, by job id.
func (c *Cache) All() map[string]record.FinishedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.jobs)
}

// Sample returns the ids of up to n jobs, chosen at random, whose terminal records are cached.
func (c *Cache) Sample(n int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sample []string
	for job := range c.jobs { // reservoir sampling
		if len(sample) < n {
			sample = append(sample, job)
		} else if i := rand.IntN(len(c.jobs)); i < n {
			sample[i] = job
		}
	}
	return sample
}

// Read reads a job's terminal record from the state service and caches it. Its error is
// statestore.ErrNotFound if the job has no terminal record, another error of the store, or
// the error of decoding the record. It must not be called with the shards' lock held, as it
// waits for the state service.
func (c *Cache) Read(ctx context.Context, store statestore.Store, purpose statestore.Purpose, job string) (record.FinishedJob, error) {
	var terminal record.FinishedJob
	entry, err := store.Get(ctx, purpose, record.FinishedJobKey(job))
	if err != nil {
		return terminal, err
	}
	if err := json.Unmarshal(entry.Value, &terminal); err != nil {
		return terminal, err
	}
	c.Put(job, terminal)
	return terminal, nil
}

// MissingPipelineEnds returns the ends of those jobs of a pipeline whose ends the pipeline's
// record lacks: the record may have been too large to be written again. The ends come from the
// jobs' terminal records, cached or read. Jobs in active and jobs without a terminal record are
// skipped. It must not be called with the shards' lock held, as it waits for the state service.
func (c *Cache) MissingPipelineEnds(ctx context.Context, store statestore.Store, purpose statestore.Purpose, pipeline *record.Pipeline, active []string) ([]record.PipelineJobEnd, error) {
	var ends []record.PipelineJobEnd
	for _, job := range pipeline.MissingEnds() {
		if slices.Contains(active, job) {
			continue
		}
		terminal, cached := c.Get(job)
		if !cached {
			var err error
			terminal, err = c.Read(ctx, store, purpose, job)
			if errors.Is(err, statestore.ErrNotFound) {
				continue
			}
			if err != nil {
				return nil, err
			}
		}
		ends = append(ends, record.PipelineJobEnd{Ref: job, State: terminal.State})
	}
	return ends, nil
}
