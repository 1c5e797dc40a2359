package scheduler

import "time"

// releaseQueue is the machines that leave for good. They are recorded in batches, one at a
// time; a batch's key is never used again.
type releaseQueue struct {
	waiting []string  // machines to be released with the next batch
	dueAt   time.Time // when that batch is due
	batch   *releaseBatch
	batches int // so far
}

// releaseBatch is a number of machines to be released with one record.
type releaseBatch struct {
	key     string
	ids     []string
	txn     *Txn
	retryAt time.Time
}
