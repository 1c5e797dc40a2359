// Package terminal caches the terminal records of jobs. A terminal record is written
// once, when a job is done or cancelled, and never changes, so what is cached never needs
// to be read again.
package terminal

import (
	"maps"
	"math/rand/v2"
	"sync"

	"bramblespur/internal/record"
)

// maxCached is how many terminal records a cache holds.
const maxCached = 20000

// Cache holds terminal records of jobs. A job that it lacks may be terminal all the same.
//
// Its lock is a leaf: methods may be called with or without the shards' lock held, and
// call nothing that takes another lock.
type Cache struct {
	mu   sync.Mutex
	jobs map[string]record.FinishedJob // by job id
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{jobs: map[string]record.FinishedJob{}}
}

// Get returns the terminal record of a job, if it is cached.
func (c *Cache) Get(job string) (record.FinishedJob, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	terminal, ok := c.jobs[job]
	return terminal, ok
}

// Put caches a job's terminal record. A full cache evicts an arbitrary other one, which
// can be read again.
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

// All returns a copy of what is cached, by job id.
func (c *Cache) All() map[string]record.FinishedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.jobs)
}

// Sample returns up to n jobs, chosen at random, whose terminal records are cached.
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
