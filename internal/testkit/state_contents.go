package testkit

import (
	"maps"
	"slices"

	"bramblespur/internal/wire"
)

// StoreContents is a copy of all records of a state service, with its revision and changes.
type StoreContents struct {
	Revision uint64
	Entries  map[string]wire.Entry
	log      []wire.Change
}

// Contents returns a copy of what the service holds.
func (s *StateService) Contents() StoreContents {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return StoreContents{s.state.rev, maps.Clone(s.state.entries), slices.Clone(s.state.log)}
}

// Revert restores earlier contents, with their revision. Leases are not changed.
func (s *StateService) Revert(i StoreContents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.rev, s.state.entries, s.state.log = i.Revision, maps.Clone(i.Entries), slices.Clone(i.log)
	s.wakeWatches()
}

// Lose removes the records whose keys match, without a change that watches see, and returns them.
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
