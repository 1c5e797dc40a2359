package clusterview

import (
	"bytes"
	"encoding/json"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// dependsOnField is the name of the field of a job's specification that names its dependencies.
var dependsOnField = []byte(`"roots"`)

// DependentsFirst orders the records of active jobs so that each job comes before the jobs on which
// it depends. Applied in this order, no record changes the urgency of a job that was applied before.
// Records that cannot be decoded count as without dependencies.
func DependentsFirst(entries []wire.Entry) []wire.Entry {
	dependencies, dependents := listedDependencies(entries)
	if len(dependencies) == 0 {
		return entries
	}
	order := make([]int, 0, len(entries))
	for i := range entries {
		if dependents[i] == 0 {
			order = append(order, i)
		}
	}
	for next := 0; next < len(order); next++ {
		for _, dependency := range dependencies[order[next]] {
			dependents[dependency]--
			if dependents[dependency] == 0 {
				order = append(order, dependency)
			}
		}
	}
	sorted := make([]wire.Entry, 0, len(entries))
	for _, i := range order {
		sorted = append(sorted, entries[i])
	}
	for i, n := range dependents { // jobs in a cycle, which only damaged records have
		if n > 0 {
			sorted = append(sorted, entries[i])
		}
	}
	return sorted
}

// listedDependencies returns, by index, on which entries an entry depends, and how many entries depend
// on it.
func listedDependencies(entries []wire.Entry) (dependencies map[int][]int, dependents []int) {
	dependents = make([]int, len(entries))
	dependencies = map[int][]int{}
	indexes := make(map[string]int, len(entries))
	for i, e := range entries {
		indexes[record.LastElement(e.Key)] = i
	}
	for i, e := range entries {
		for _, ref := range dependsOn(e.Value) {
			dependency, listed := indexes[ref]
			if listed && dependency != i {
				dependencies[i] = append(dependencies[i], dependency)
				dependents[dependency]++
			}
		}
	}
	return dependencies, dependents
}

// dependsOn returns the dependencies that an active job's record names.
func dependsOn(value []byte) []string {
	if !bytes.Contains(value, dependsOnField) {
		return nil
	}
	var job struct {
		Spec struct {
			DependsOn []string `json:"roots"`
		} `json:"spec"`
	}
	if json.Unmarshal(value, &job) != nil {
		return nil
	}
	return job.Spec.DependsOn
}
