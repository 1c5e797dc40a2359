package clusterview

import (
	"time"

	"bramblespur/internal/record"
)

// View is what all views of records have in common.
type View interface {
	SetAsOf(at time.Time)
	Revision() uint64
	SetRevision(revision uint64)
	// Versions returns the versions of the records that it holds, by key.
	Versions() map[string]uint64
}

// Views are a controller's views, one for each prefix that is watched.
type Views struct {
	Cluster    *Cluster
	Machines   *Machines
	ActiveJobs *ActiveJobs
}

// Of returns the view of the records with a prefix.
func (v *Views) Of(prefix string) View {
	switch prefix {
	case record.FleetPrefix:
		return v.Machines
	case record.ActiveJobPrefix:
		return v.ActiveJobs
	}
	return v.Cluster
}
