package reconciliation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/restart"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// episodeRecord writes this controller's episodes to the state service. Only [Tracker.Run] uses it.
type episodeRecord struct {
	tracker   *Tracker
	key       string          // of the record
	history   restart.History // the content of the record
	loaded    bool            // history and version are those of the record
	version   uint64          // of the record
	writtenAt time.Time       // when the record was last written
}

// write writes an episode to the record. If the transaction fails, the episode is written with the
// next one.
func (r *episodeRecord) write(ctx context.Context, e restart.Episode, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if !r.loaded && r.load(ctx) != nil {
		return
	}
	r.history.Put(e)
	revision, err := r.tracker.host.Store().Txn(ctx, statestore.Routine("restart"), wire.Txn{
		If:   []wire.Condition{{Key: r.key, Version: r.version}},
		Then: []wire.Op{{Put: r.key, Value: r.history.Encode(r.tracker.cfg.Params.State.LowestLimits().MaxValueBytes())}},
	})
	if err != nil {
		r.loaded = false // the transaction may have succeeded nevertheless
		r.tracker.log.Debug("restart record not written", "err", err)
		return
	}
	r.version, r.writtenAt = revision, now
}

// load reads the record, which an earlier process with the same label may have written.
func (r *episodeRecord) load(ctx context.Context) error {
	entry, err := r.tracker.host.Store().Get(ctx, statestore.Routine("restart"), r.key)
	if err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return fmt.Errorf("read %s: %w", r.key, err)
	}
	var stored restart.History
	if err == nil && json.Unmarshal(entry.Value, &stored) != nil {
		r.tracker.log.Error("malformed restart record is replaced", "key", r.key)
		stored = restart.History{}
	}
	for _, e := range r.history.Episodes {
		stored.Put(e)
	}
	r.history, r.version, r.loaded = stored, entry.Version, true
	return nil
}
