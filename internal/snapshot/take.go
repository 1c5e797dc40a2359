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

// purpose is that of a snapshot's requests: they give way to urgent ones.
var purpose = statestore.Routine("snapshot")

// Source is what a Taker needs of the key-value store.
type Source interface {
	Get(ctx context.Context, u statestore.Purpose, key string) (wire.Entry, error)
	ListPage(ctx context.Context, u statestore.Purpose, prefix, after string, limit int) (wire.EntryPage, error)
	Txn(ctx context.Context, u statestore.Purpose, t wire.Txn) (uint64, error)
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (wire.Changes, error)
}

// Taker takes snapshots.
type Taker struct {
	Source    Source
	Directory string
	// AnswerTimeout is how long the store may leave all requests without a response.
	AnswerTimeout time.Duration
	Now           func() time.Time
	// Sleep waits, or returns an error if the context ends first.
	Sleep func(ctx context.Context, d time.Duration) error

	requests int
	answered time.Time
	writer   func(path string) (sectionFile, error) // opens a section's file; tests replace it
}

// Limits of a Take.
const (
	// pageKeys is the most keys in a page.
	pageKeys = 250
	// retryPause is the time between a failed request and the next one.
	retryPause = 400 * time.Millisecond
	// maxSectionReads is how often a section is read if the store no longer keeps its changes.
	maxSectionReads = 3
)

// Cluster is the record of the identity of a cluster.
type Cluster struct {
	ID string `json:"id"`
}

// Take takes a snapshot, or resumes an incomplete one, and returns its manifest.
func (t *Taker) Take(ctx context.Context) (*Manifest, error) {
	unlock, err := lock(t.Directory)
	if err != nil {
		return nil, err
	}
	defer unlock()
	t.requests, t.answered = 0, t.Now()
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

// retry makes a request until it is answered, or until no request was for too long.
func retry[T any](ctx context.Context, t *Taker, request func() (T, error)) (T, error) {
	for {
		t.requests++
		v, err := request()
		if statestore.Answered(err) {
			t.answered = t.Now()
			return v, err
		}
		if t.Now().Sub(t.answered) > t.AnswerTimeout {
			return v, fmt.Errorf("no answer from the state service for %v: %w", t.AnswerTimeout, err)
		}
		if err := t.Sleep(ctx, retryPause); err != nil {
			return v, err
		}
	}
}

// cluster returns the cluster's id, and assigns one if it has none yet.
func (t *Taker) cluster(ctx context.Context) (string, error) {
	for {
		e, err := retry(ctx, t, func() (wire.Entry, error) { return t.Source.Get(ctx, purpose, record.ClusterKey) })
		if err == nil {
			var c Cluster
			if err := json.Unmarshal(e.Value, &c); err != nil || c.ID == "" {
				return "", fmt.Errorf("record %s makes no sense: %s", record.ClusterKey, e.Value)
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

// readAll reads what the spool lacks of all sections.
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

// read reads what the spool lacks of a section.
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

// align brings all sections to one revision: that of the first response to a watch after all were
// read. If the store no longer keeps the changes of a section, that is read again and all are aligned
// anew; after maxSectionReads the manifest has a Span instead.
func (t *Taker) align(ctx context.Context, s *spool, sections []*section, m *Manifest) error {
	for try := 1; ; try++ {
		stale, err := t.follow(ctx, sections, m)
		if err != nil || len(stale) == 0 {
			return err
		}
		if try == maxSectionReads {
			first := sections[stale[0]]
			for _, sec := range sections {
				m.Revision = max(m.Revision, sec.lastRevision)
			}
			m.Span = &Span{From: first.firstRevision, To: m.Revision, Reason: "changes of " + first.prefix + " come faster than they can be read"}
			return nil
		}
		for _, i := range stale {
			prefix := sections[i].prefix
			if err := s.restart(prefix); err != nil {
				return err
			}
			if sections[i], err = t.read(ctx, s, prefix); err != nil {
				return err
			}
		}
	}
}

// follow applies the changes of all sections up to one revision, and returns the sections whose
// changes the store no longer keeps.
func (t *Taker) follow(ctx context.Context, sections []*section, m *Manifest) (stale []int, err error) {
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
