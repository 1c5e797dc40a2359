package testkit

import (
	"maps"
	"slices"

	"bramblespur/internal/wire"
)

// StoreContents is all that a state service holds at one time.
type StoreContents struct {
	Revision uint64
	Entries  map[string]wire.Entry
	log      []wire.Change
}

// Contents returns what the service holds.
func (s *StateService) Contents() StoreContents {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return StoreContents{s.state.rev, maps.Clone(s.state.entries), slices.Clone(s.state.log)}
}

// Revert makes the service hold what it held before, with its revision of then. Leases go on.
func (s *StateService) Revert(i StoreContents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.rev, s.state.entries, s.state.log = i.Revision, maps.Clone(i.Entries), slices.Clone(i.log)
	s.wakeWatches()
}

// Lose makes the service forget records without a trace, and returns them.
func (s *StateService) Lose(match func(key string) bool) []wire.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	var lost []wire.Entry
	for key, e := range s.state.entries {
		if match(key) {
			lost = append(lost, e)
			delete(s.state.entries, key)
		}
	}
	return lost
}
