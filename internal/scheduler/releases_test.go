package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramblespur/internal/testkit"
)

const releaseTestLimit = 64 << 10 // size limit of a record, in bytes

func releaseTestKey(batch int) string { return fmt.Sprint("batch-", batch) }

// Machines that may wait share a batch. A machine whose tasks wait to be proven gone makes the batch
// with all queued machines due at once. A batch is formed only once the one before is recorded.
func TestReleaseQueueSharesBatches(t *testing.T) {
	now := testkit.NewClock().Now()
	var q releaseQueue
	q.addRoutine("m1", now, time.Second)
	q.addRoutine("m2", now.Add(time.Second/2), time.Second)
	if q.formBatch(releaseTestLimit, now.Add(time.Second-1), releaseTestKey); q.batch != nil {
		t.Fatalf("formed batch %v before it was due", q.batch.ids)
	}
	q.addUrgent("m3", now.Add(time.Second/2))
	q.formBatch(releaseTestLimit, now.Add(time.Second/2), releaseTestKey)
	if q.batch == nil || !slices.Equal(q.batch.ids, []string{"m1", "m2", "m3"}) || q.batch.key != "batch-1" {
		t.Fatalf("batch %+v, want all three at once", q.batch)
	}
	q.addUrgent("m4", now)
	if q.formBatch(releaseTestLimit, now.Add(time.Hour), releaseTestKey); q.batch.key != "batch-1" {
		t.Fatal("a batch was formed before the one before was recorded")
	}
	q.batch = nil
	q.formBatch(releaseTestLimit, now.Add(time.Hour), releaseTestKey)
	if q.batch == nil || !slices.Equal(q.batch.ids, []string{"m4"}) || q.batch.key != "batch-2" {
		t.Fatalf("batch %+v, want the last machine under a key of its own", q.batch)
	}
}

// No batch has more machines than the cloud releases in one request.
func TestReleaseBatchKeepsToTheCloudsBound(t *testing.T) {
	now := testkit.NewClock().Now()
	var q releaseQueue
	for i := range maxReleaseBatch + 1 {
		q.addUrgent(fmt.Sprint("m", i), now)
	}
	q.formBatch(releaseTestLimit, now, releaseTestKey)
	if len(q.batch.ids) != maxReleaseBatch || len(q.queued) != 1 {
		t.Errorf("batch of %d machines, %d queued, want one queued", len(q.batch.ids), len(q.queued))
	}
}
