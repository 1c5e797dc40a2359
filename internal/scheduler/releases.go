package scheduler

import (
	"slices"
	"time"

	"bramblespur/internal/record"
)

// maxReleaseBatch is the cloud's bound of machines in one release.
const maxReleaseBatch = 100

// releaseQueue is the machines that leave for good. They are recorded in batches, one at a
// time; a batch's key is never used again.
type releaseQueue struct {
	queued     []string  // machines to be released with the next batch
	dueAt      time.Time // when that batch is due
	batch      *releaseBatch
	batchCount int // so far
}

// releaseBatch is a number of machines to be released with one record.
type releaseBatch struct {
	key     string
	ids     []string
	txn     *Txn
	retryAt time.Time
}

// addUrgent queues a machine for a batch that is due at once.
func (q *releaseQueue) addUrgent(id string, now time.Time) {
	q.dueAt = now
	q.queued = append(q.queued, id)
}

// addRoutine queues a machine that may wait for others to share its batch.
func (q *releaseQueue) addRoutine(id string, now time.Time, batchDelay time.Duration) {
	if len(q.queued) == 0 {
		q.dueAt = now.Add(batchDelay)
	}
	q.queued = append(q.queued, id)
}

// formBatch makes the next batch if it is due and the one before is recorded. Its record keeps to
// valueBytes, and its key is made of the number of the batch.
func (q *releaseQueue) formBatch(valueBytes int, now time.Time, key func(batch int) string) {
	if q.batch != nil || len(q.queued) == 0 || now.Before(q.dueAt) {
		return
	}
	n := record.LargestFitting(valueBytes, 1, min(len(q.queued), maxReleaseBatch), func(n int) any {
		return record.Release{IDs: q.queued[:n], Done: true}
	})
	q.batchCount++
	q.batch = &releaseBatch{key: key(q.batchCount), ids: slices.Clone(q.queued[:n])}
	q.queued = q.queued[n:]
}
