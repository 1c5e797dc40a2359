package scheduler

// A machine's fencing token is the version of its override record once that is above the shard's
// own token: the machine was transferred here or given a higher token. Such a version proves that
// the shard's owner wrote the record, but not that this controller still was that owner: another
// may have acquired the shard since, and the watch that tells so may come later than that of the
// machines. So a version serves as token only once the shard is known to have been ours at that
// revision, by a write of ours that was applied or by its ownership record read afterwards.

// ownership is as of when the shard is known to be ours.
type ownership struct {
	confirmedAt uint64 // the highest such revision
	// unconfirmed are the machines whose record is of a later version, with the version before.
	unconfirmed map[*Machine]uint64
}

// setRecordVersion takes in the version of a machine's override record, and asks for a confirmation
// that the shard was ours then unless that is known.
func (s *Shard) setRecordVersion(m *Machine, version uint64) {
	before := m.record.version
	m.record.version = version
	if version <= s.ownership.confirmedAt {
		s.adoptToken(m)
		return
	}
	if _, waits := s.ownership.unconfirmed[m]; !waits {
		s.ownership.unconfirmed[m] = before
	}
	s.effects.ConfirmOwnershipAt = max(s.effects.ConfirmOwnershipAt, version)
}

// adoptToken makes the version of a machine's record its fencing token, which it has to report
// before what is on it counts as known.
func (s *Shard) adoptToken(m *Machine) {
	delete(s.ownership.unconfirmed, m)
	m.contact.fenced = false
}

// fencingToken returns the token under which a machine gets its commands.
func (m *Machine) fencingToken(s *Shard) uint64 {
	if before, waits := s.ownership.unconfirmed[m]; waits {
		return max(s.token, before)
	}
	return max(s.token, m.record.version)
}

// OwnershipConfirmed takes in that the shard was ours at a revision.
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
