package snapshot

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// purpose is the purpose of a snapshot's requests. They are routine requests, so that urgent ones go
// first.
var purpose = statestore.Routine("snapshot")

// Source has the methods of the state service that a Taker calls.
type Source interface {
	Get(ctx context.Context, purpose statestore.Purpose, key string) (wire.Entry, error)
	ListPage(ctx context.Context, purpose statestore.Purpose, prefix, after string, limit int) (wire.EntryPage, error)
	Txn(ctx context.Context, purpose statestore.Purpose, txn wire.Txn) (uint64, error)
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error)
}

// Taker takes snapshots. It is not safe for concurrent use.
type Taker struct {
	Source    Source
	Directory string // where the snapshots are; it must exist
	// AnswerTimeout is the time after the store's last answer at which Take gives up.
	AnswerTimeout time.Duration
	Now           func() time.Time
	// Sleep waits for a duration, and returns an error if the context ends first.
	Sleep func(ctx context.Context, d time.Duration) error

	requests   int                                    // requests of this Take
	lastAnswer time.Time                              // when the store last answered; at first, when Take began
	createFile func(path string) (sectionFile, error) // creates a file of a snapshot; nil: createSection
}

// Limits of a Take.
const (
	// pageKeys is the maximum number of keys in a page.
	pageKeys = 250
	// retryPause is the time between a failed request and the next one.
	retryPause = 400 * time.Millisecond
	// maxSectionReads is how many times a section is read if the store no longer keeps its changes.
	maxSectionReads = 3
)

// Cluster is the record that identifies a cluster.
type Cluster struct {
	ID string `json:"id"` // random; assigned by the first snapshot
}

// Take takes a snapshot, or resumes an incomplete one, and returns its manifest. After an error the
// pages that were read stay for the next Take. It returns ErrLocked while another process takes or
// prunes snapshots in the directory, and an error that wraps ErrExists if there is a snapshot of the
// same second and revision.
func (t *Taker) Take(ctx context.Context) (*Manifest, error) {
	unlock, err := lock(t.Directory)
	if err != nil {
		return nil, err
	}
	defer unlock()
	t.requests, t.lastAnswer = 0, t.Now()
	cluster, err := t.cluster(ctx)
	if err != nil {
		return nil, err
	}
	s, err := openSpool(t.Directory, cluster, t.Now())
	if err != nil {
		return nil, err
	}
	m := &Manifest{Layout: Layout, Cluster: cluster, Began: s.began}
	sections, err := t.readAll(ctx, s)
	if err != nil {
		return nil, err
	}
	if err := t.align(ctx, s, sections, m); err != nil {
		return nil, err
	}
	m.Taken, m.Requests = t.Now(), t.requests
	if err := t.write(m, sections); err != nil {
		return nil, err
	}
	return m, s.remove()
}

// retry repeats a request until the store answers it, even if the answer is an error. It gives up if the store has
// not answered any request for the Taker's AnswerTimeout, or if the context ends.
func retry[T any](ctx context.Context, t *Taker, request func() (T, error)) (T, error) {
	for {
		t.requests++
		v, err := request()
		if statestore.Answered(err) {
			t.lastAnswer = t.Now()
			return v, err
		}
		if t.Now().Sub(t.lastAnswer) > t.AnswerTimeout {
			return v, fmt.Errorf("no answer from the state service for %v: %w", t.AnswerTimeout, err)
		}
		if err := t.Sleep(ctx, retryPause); err != nil {
			return v, err
		}
	}
}

// cluster returns the ID of the cluster, and assigns a random one if there is none yet.
func (t *Taker) cluster(ctx context.Context) (string, error) {
	for {
		e, err := retry(ctx, t, func() (wire.Entry, error) { return t.Source.Get(ctx, purpose, record.ClusterKey) })
		if err == nil {
			var c Cluster
			if err := json.Unmarshal(e.Value, &c); err != nil || c.ID == "" {
				return "", fmt.Errorf("record %s is malformed, want a cluster ID: %s", record.ClusterKey, e.Value)
			}
			return c.ID, nil
		}
		if !errors.Is(err, statestore.ErrNotFound) {
			return "", err
		}
		first := wire.Txn{If: []wire.Condition{{Key: record.ClusterKey}},
			Then: []wire.Op{{Put: record.ClusterKey, Value: record.Encode(Cluster{rand.Text()})}}}
		_, err = retry(ctx, t, func() (uint64, error) { return t.Source.Txn(ctx, purpose, first) })
		if err != nil && !errors.As(err, new(*statestore.ConflictError)) {
			return "", err
		}
	}
}

// readAll reads all sections: the pages in the spool, and the remaining pages from the store.
func (t *Taker) readAll(ctx context.Context, s *spool) ([]*section, error) {
	var out []*section
	for _, prefix := range record.Prefixes() {
		sec, err := t.read(ctx, s, prefix)
		if err != nil {
			return nil, err
		}
		out = append(out, sec)
	}
	return out, nil
}

// read reads a section: the pages in the spool, and the remaining pages from the store, which it adds to
// the spool.
func (t *Taker) read(ctx context.Context, s *spool, prefix string) (*section, error) {
	sec, err := s.load(prefix)
	if err != nil {
		return nil, err
	}
	for !sec.complete {
		p, err := retry(ctx, t, func() (wire.EntryPage, error) {
			return t.Source.ListPage(ctx, purpose, prefix, sec.lastKey, pageKeys)
		})
		if err != nil {
			return nil, err
		}
		if err := s.appendPage(prefix, p); err != nil {
			return nil, err
		}
		sec.addPage(p)
	}
	return sec, nil
}

// align brings all sections to one revision, which it sets in the manifest. If the store no longer keeps
// the changes of some sections, these are read again and all sections are aligned again. If that still
// fails after maxSectionReads reads, the manifest gets a Span, since there is no one revision.
func (t *Taker) align(ctx context.Context, s *spool, sections []*section, m *Manifest) error {
	for attempt := 1; ; attempt++ {
		stale, err := t.applyChanges(ctx, sections, m)
		if err != nil || len(stale) == 0 {
			return err
		}
		if attempt == maxSectionReads {
			first := sections[stale[0]]
			for _, sec := range sections {
				m.Revision = max(m.Revision, sec.lastRevision)
			}
			m.Span = &Span{From: first.firstRevision, To: m.Revision, Reason: "changes of " + first.prefix + " come faster than they can be read"}
			return nil
		}
		for _, i := range stale {
			prefix := sections[i].prefix
			if err := s.discard(prefix); err != nil {
				return err
			}
			if sections[i], err = t.read(ctx, s, prefix); err != nil {
				return err
			}
		}
	}
}

// applyChanges applies the changes that were made since the first page of each section, up to one
// revision: that of the store's first answer to a watch. It sets this revision in the manifest, and
// returns the indexes of the sections whose changes the store no longer keeps.
func (t *Taker) applyChanges(ctx context.Context, sections []*section, m *Manifest) (stale []int, err error) {
	m.Revision = 0
	for i, sec := range sections {
		changes, err := retry(ctx, t, func() (wire.Changes, error) { return t.Source.Watch(ctx, sec.prefix, sec.firstRevision, 0) })
		if errors.Is(err, statestore.ErrTooOld) {
			stale = append(stale, i)
			continue
		}
		if err != nil {
			return nil, err
		}
		if m.Revision == 0 {
			m.Revision = changes.Revision
		}
		for _, c := range changes.Events {
			if c.Version <= m.Revision {
				sec.apply(c)
			}
		}
	}
	return stale, nil
}
