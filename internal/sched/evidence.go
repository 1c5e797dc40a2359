package sched

import (
	"encoding/json"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Records returns the records of the part's jobs and placements as they are known to have been
// written, with their versions. What was under way is not among them.
func (p *Part) Records() []wire.Entry {
	var out []wire.Entry
	add := func(key string, version uint64, v any) {
		out = append(out, wire.Entry{Key: key, Version: version, Value: json.RawMessage(record.Encode(v))})
	}
	for ref, j := range p.jobs {
		o := record.Open{Spec: *j.spec, Part: p.id, At: j.accepted.UnixMilli(), Cancelled: j.cancelled, Held: j.held}
		if j.line != alone {
			o.Pipe = j.line.ref
		}
		add(record.OpenKey(ref), j.version, o)
	}
	for n, s := range p.slots {
		if s.version == 0 || s.unreadable || len(s.left) > 0 {
			continue
		}
		rec := record.Slot{Runs: map[string]record.Run{}}
		if s.stated {
			rec.Format = record.Stated
		}
		for name, c := range s.chunks {
			if c.from == nil {
				rec.Runs[name] = c.recorded()
			}
		}
		add(record.SlotKey(p.id, n), s.version, rec)
	}
	return out
}

// recorded is a range as its record tells it.
func (c *chunk) recorded() record.Run {
	run := record.Run{Attempt: c.attempt}
	if c.slot.stated {
		run.Tasks, run.Turn = c.end-c.first, c.turn
	}
	for i := c.first; i < c.end; i++ {
		switch t := &c.job.tasks[i]; {
		case t.state == placed && t.recorded:
			if run.On == nil {
				run.On = map[int]record.Place{}
			}
			run.On[i] = record.Place{Machine: t.machine.ID, Attempt: t.attempt}
		case t.state == done:
			run.Done = withDone(run.Done, i)
		}
	}
	return run
}
