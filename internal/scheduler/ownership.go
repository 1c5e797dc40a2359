package scheduler

// A machine's fencing token is the version of its override record once that is above the shard's
// own token: the machine was transferred here or given a higher token. Such a version proves that
// an owner of the shard wrote the record, but not that this controller still was the owner: another
// may have acquired the shard since, and the watch of ownership records may be behind the watch of
// machine records. So a version is used as token only once this controller is known to have owned
// the shard at that revision, by a write of its own that was applied or by reading the ownership
// record afterwards.

// ownership records up to which revision this controller is known to have owned the shard.
type ownership struct {
	confirmedAt uint64 // highest revision of the state service at which the ownership is confirmed
	// unconfirmed holds the machines whose override record has a later version, with the version
	// before.
	unconfirmed map[*Machine]uint64
}

// setRecordVersion sets the version of a machine's override record. If the ownership is not confirmed
// at that revision, it requests the confirmation.
func (s *Shard) setRecordVersion(m *Machine, version uint64) {
	before := m.record.version
	m.record.version = version
	if version <= s.ownership.confirmedAt {
		s.adoptToken(m)
		return
	}
	if _, unconfirmed := s.ownership.unconfirmed[m]; !unconfirmed {
		s.ownership.unconfirmed[m] = before
	}
	s.effects.ConfirmOwnershipAt = max(s.effects.ConfirmOwnershipAt, version)
}

// adoptToken makes the version of a machine's override record its fencing token. The machine has to
// report that token before its tasks count as reconciled.
func (s *Shard) adoptToken(m *Machine) {
	delete(s.ownership.unconfirmed, m)
	m.contact.fenced = false
}

// fencingToken returns the fencing token that commands to a machine carry.
func (m *Machine) fencingToken(s *Shard) uint64 {
	if before, unconfirmed := s.ownership.unconfirmed[m]; unconfirmed {
		return max(s.token, before)
	}
	return max(s.token, m.record.version)
}

// OwnershipConfirmed notes that this controller owned the shard at a revision of the state service.
func (s *Shard) OwnershipConfirmed(revision uint64) {
	if revision <= s.ownership.confirmedAt {
		return
	}
	s.ownership.confirmedAt = revision
	for m := range s.ownership.unconfirmed {
		if m.record.version <= revision {
			s.adoptToken(m)
			s.placementDue = true
		}
	}
}
