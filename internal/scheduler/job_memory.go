package scheduler

import "bramblespur/internal/wire"

// Upper bounds of what an active job takes in a controller's memory, in bytes, apart from its tasks
// on machines, whose number the machines bound.
const (
	// jobBytes is for the job itself, its place in the view and in the graph of dependencies.
	jobBytes = 2 << 10
	// recordCopies is how often what the job's record holds is kept: in the view and by the owner.
	recordCopies = 2
	// dependencyBytes is for each job that it depends on.
	dependencyBytes = 128
	// tasksPerByte is how many tasks take a byte in the taskTable.
	tasksPerByte = 4
	// rangeMemoryBytes is for each range of tasks of which one has been placed, with a record of its
	// own.
	rangeMemoryBytes = 1 << 10
)

// JobBytes returns an upper bound of the memory that an active job with a record of recordBytes takes
// in a controller, in bytes, apart from its tasks on machines. Placement records hold up to
// placementsPerRecord placements.
func JobBytes(spec *wire.Spec, recordBytes, placementsPerRecord int) int {
	tasksPerRange := placementsPerRecord - unsizedRangeOverhead
	ranges := (spec.Tasks + tasksPerRange - 1) / tasksPerRange
	own := jobBytes + recordCopies*recordBytes + dependencyBytes*len(spec.DependsOn)
	return own + spec.Tasks/tasksPerByte + ranges*rangeMemoryBytes
}
