package scheduler

import (
	"slices"
	"time"

	"bramblespur/internal/record"
)

// maxReleaseBatch is the maximum number of machines in one release request to the cloud.
const maxReleaseBatch = 100

// releaseQueue holds the machines to be released to the cloud. They are recorded in batches, one
// batch at a time; the key of a batch is never reused.
type releaseQueue struct {
	queued     []string      // IDs of the machines for the next batch
	dueAt      time.Time     // when that batch is due
	batch      *releaseBatch // batch not yet known to be recorded; nil: none
	batchCount int           // number of batches formed so far
}

// releaseBatch holds machines that one record releases.
type releaseBatch struct {
	key     string    // of the record
	ids     []string  // of the machines
	txn     *Txn      // transaction in flight that writes the record; nil: none
	retryAt time.Time // no write before this time
}

// addUrgent queues a machine and makes the next batch due at once.
func (q *releaseQueue) addUrgent(id string, now time.Time) {
	q.dueAt = now
	q.queued = append(q.queued, id)
}

// addRoutine queues a machine that may wait for up to batchDelay to share its batch.
func (q *releaseQueue) addRoutine(id string, now time.Time, batchDelay time.Duration) {
	if len(q.queued) == 0 {
		q.dueAt = now.Add(batchDelay)
	}
	q.queued = append(q.queued, id)
}

// formBatch forms the next batch if it is due and the one before is recorded. Its record has at most
// valueBytes bytes, and key returns the record's key for the number of the batch.
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
