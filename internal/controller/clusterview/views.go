package clusterview

import (
	"time"

	"bramblespur/internal/record"
)

// View is implemented by all views of records.
type View interface {
	// SetAsOf records that the view includes all changes made before a time.
	SetAsOf(at time.Time)
	// Revision returns the revision of the state service that the view has reached.
	Revision() uint64
	// SetRevision records the revision that the view has reached.
	SetRevision(revision uint64)
	// Versions returns the versions of the view's records that an audit compares with the
	// state service, by key.
	Versions() map[string]uint64
}

// Views are a controller's views, one for each prefix that is watched.
type Views struct {
	Cluster    *Cluster
	Machines   *Machines
	ActiveJobs *ActiveJobs
}

// Of returns the view of the records under one of the watched prefixes.
func (v *Views) Of(prefix string) View {
	switch prefix {
	case record.FleetPrefix:
		return v.Machines
	case record.ActiveJobPrefix:
		return v.ActiveJobs
	}
	return v.Cluster
}
