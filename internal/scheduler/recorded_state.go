package scheduler

import (
	"encoding/json"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Records returns the records of the shard's active jobs and placements, with their versions, as
// they were last known to be written. It leaves out transactions in flight.
func (s *Shard) Records() []wire.Entry {
	var out []wire.Entry
	add := func(key string, version uint64, v any) {
		out = append(out, wire.Entry{Key: key, Version: version, Value: json.RawMessage(record.Encode(v))})
	}
	for ref, j := range s.jobs {
		o := record.ActiveJob{Spec: *j.spec, Shard: s.id, AcceptedAt: j.accepted.UnixMilli(), Cancelled: j.cancelled, AwaitsDependencies: j.awaitsDependencies}
		if j.pipeline != singleJob {
			o.Pipeline = j.pipeline.ref
		}
		add(record.ActiveJobKey(ref), j.record.version, o)
	}
	for n, placements := range s.ledger.records {
		if placements.version == 0 || placements.unreadable || len(placements.movedOut) > 0 {
			continue
		}
		rec := record.Placements{Ranges: map[string]record.TaskRange{}}
		if placements.sized {
			rec.Format = record.SizedRanges
		}
		for name, r := range placements.ranges {
			if r.previousRecord == nil {
				rec.Ranges[name] = r.asRecorded()
			}
		}
		add(record.PlacementsKey(s.id, n), placements.version, rec)
	}
	return out
}

// asRecorded returns a range as its record holds it.
func (r *taskRange) asRecorded() record.TaskRange {
	out := r.header()
	for i := r.first; i < r.end; i++ {
		switch t := r.job.tasks.at(i); {
		case t.state == placed && t.recorded:
			addPlacement(&out, i, t)
		case t.state == completed:
			out.Completed = appendCompleted(out.Completed, i)
		}
	}
	return out
}
