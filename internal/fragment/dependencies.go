package fragment

import (
	"container/heap"
	"time"
)

// The paper's algorithm considers neither the priorities of jobs nor how long they take. So an
// early job of a pipeline may wait behind less important work and delay the last one.
// Dependencies computes the urgency that a job inherits from the jobs that depend on it.

// Urgency is the urgency of a job: as requested for the job itself, or as inherited from its
// dependents.
type Urgency struct {
	Rank     int       // priority; higher is more urgent
	Deadline time.Time // when the job should have finished; zero: no deadline
	// HasDependents reports whether active jobs depend directly on the job.
	HasDependents bool
}

// equal reports whether two urgencies are the same.
func (u Urgency) equal(other Urgency) bool {
	return u.Rank == other.Rank && u.Deadline.Equal(other.Deadline) && u.HasDependents == other.HasDependents
}

// Job is an active job with the urgency that was requested for the job itself.
type Job struct {
	Urgency
	DependsOn []string      // the jobs on which it depends directly
	Estimate  time.Duration // estimated run time
}

// Dependencies holds the active jobs and their dependencies. Jobs are identified by their refs.
//
// A change is passed on from dependents to dependencies in topological order, so that each job is
// examined once at most for a change, and each dependency between two jobs twice. The number of
// paths between jobs, which grows exponentially with the depth of a graph, has no influence.
//
// It is not safe for concurrent use.
type Dependencies struct {
	nodes  map[string]*node // the active jobs, and others on which active jobs depend directly
	lowest int              // no node has a lower order
	next   int              // every node has a lower order
	// ended holds the jobs that are not active, on which active jobs depend directly; unsettled
	// holds those of them that are not known to be done.
	ended, unsettled map[*node]struct{}
	// examined counts the jobs and dependencies examined so far, for tests of the cost.
	examined int
}

// node is a job in the graph. There is no cycle, since a job can only name jobs that were accepted
// before it.
type node struct {
	ref          string
	active       bool // if not, the fields job, urgency and dependencies are zero
	job          Job
	urgency      Urgency // with what the job inherits
	dependencies []*node
	dependents   map[*node]struct{} // the active jobs that depend directly on it
	order        int                // topological: lower than the order of every dependent

	done    bool // not active, since it is done
	pending pendingChange
}

// NewDependencies returns a Dependencies without jobs.
func NewDependencies() *Dependencies {
	return &Dependencies{nodes: map[string]*node{}, ended: map[*node]struct{}{}, unsettled: map[*node]struct{}{}}
}

// Set adds an active job or replaces it, and returns the jobs whose urgency changed, each once. The
// DependsOn of a job must not change. Jobs may be added in any order; to add many, an order in which
// dependents come before their dependencies costs least, as nothing has to be passed on.
func (d *Dependencies) Set(ref string, job Job) []string {
	n := d.node(ref)
	changes := newPropagation(d)
	changes.add(n)
	n.job = job
	n.job.DependsOn = nil // the node has them
	if !n.active {
		n.active = true
		d.link(n, job.DependsOn)
		d.settle(n)
	}
	changes.recompute(n, nil)
	return changes.run()
}

// Remove removes a job that is no longer active and returns the jobs whose urgency changed, each
// once.
func (d *Dependencies) Remove(ref string) []string {
	n := d.nodes[ref]
	if n == nil || !n.active {
		return nil
	}
	changes := newPropagation(d)
	before := n.inheritance()
	dependencies := n.dependencies
	n.active, n.job, n.urgency, n.dependencies = false, Job{}, Urgency{}, nil
	for _, dependency := range dependencies {
		delete(dependency.dependents, n)
		changes.removeDependent(dependency, before)
		d.dropUnused(dependency)
	}
	d.settle(n)
	d.dropUnused(n)
	return changes.run()
}

// Urgency returns the urgency of an active job, including what it inherits from its dependents.
func (d *Dependencies) Urgency(ref string) Urgency {
	if n := d.nodes[ref]; n != nil {
		return n.urgency
	}
	return Urgency{}
}

// HasDependents reports whether active jobs depend directly on a job, which need not be active.
func (d *Dependencies) HasDependents(ref string) bool {
	n := d.nodes[ref]
	return n != nil && len(n.dependents) > 0
}

// Dependents returns the active jobs that depend directly on a job, which need not be active.
func (d *Dependencies) Dependents(ref string) []string {
	n := d.nodes[ref]
	if n == nil {
		return nil
	}
	refs := make([]string, 0, len(n.dependents))
	for dependent := range n.dependents {
		refs = append(refs, dependent.ref)
	}
	return refs
}

// Ended returns the jobs that are not active, on which active jobs depend directly.
func (d *Dependencies) Ended() []string {
	refs := make([]string, 0, len(d.ended))
	for n := range d.ended {
		refs = append(refs, n.ref)
	}
	return refs
}

// SetDone notes that a job which is not active is done.
func (d *Dependencies) SetDone(ref string) {
	if n := d.nodes[ref]; n != nil && !n.active {
		n.done = true
		d.settle(n)
	}
}

// Unsettled returns the jobs that are not active and not known to be done, on which a job depends
// directly or through active jobs. They may have been cancelled.
func (d *Dependencies) Unsettled(ref string) []string {
	first := d.nodes[ref]
	if first == nil || len(d.unsettled) == 0 {
		return nil
	}
	var refs []string
	seen := map[*node]bool{first: true}
	for queue := []*node{first}; len(queue) > 0; queue = queue[1:] {
		for _, dependency := range queue[0].dependencies {
			if seen[dependency] || dependency.done {
				continue
			}
			seen[dependency] = true
			if dependency.active {
				queue = append(queue, dependency)
			} else {
				refs = append(refs, dependency.ref)
			}
		}
	}
	return refs
}

// settle updates the sets of ended and unsettled jobs after a change of a job.
func (d *Dependencies) settle(n *node) {
	delete(d.ended, n)
	delete(d.unsettled, n)
	if n.active {
		n.done = false
		return
	}
	if len(n.dependents) == 0 {
		return
	}
	d.ended[n] = struct{}{}
	if !n.done {
		d.unsettled[n] = struct{}{}
	}
}

// node returns the node of a job. A new one gets the highest order, as it has no dependents.
func (d *Dependencies) node(ref string) *node {
	n := d.nodes[ref]
	if n == nil {
		n = &node{ref: ref, order: d.next}
		d.next++
		d.nodes[ref] = n
	}
	return n
}

// dropUnused removes the node of a job that is not active and on which no active job depends.
func (d *Dependencies) dropUnused(n *node) {
	if !n.active && len(n.dependents) == 0 {
		delete(d.nodes, n.ref)
		d.settle(n)
	}
}

// link makes an active job a dependent of others, and restores the topological order.
func (d *Dependencies) link(n *node, dependsOn []string) {
	ordered := true
	n.dependencies = make([]*node, 0, len(dependsOn))
	for _, ref := range dependsOn {
		dependency := d.node(ref)
		if _, linked := dependency.dependents[n]; linked {
			continue
		}
		if dependency.dependents == nil {
			dependency.dependents = map[*node]struct{}{}
		}
		dependency.dependents[n] = struct{}{}
		d.settle(dependency)
		n.dependencies = append(n.dependencies, dependency)
		d.examined++
		if dependency.order < n.order {
			continue
		}
		if dependency.active {
			ordered = false
			continue
		}
		d.lowest-- // it has no dependencies, so it may come before all others
		dependency.order = d.lowest
	}
	if !ordered {
		d.moveLast(n)
	}
}

// moveLast moves a job and all its dependents, direct and indirect, behind all other jobs in the
// topological order.
func (d *Dependencies) moveLast(first *node) {
	queue := &nodeQueue{less: dependenciesFirst}
	seen := map[*node]bool{first: true}
	heap.Push(queue, first)
	for queue.Len() > 0 {
		n := heap.Pop(queue).(*node)
		d.examined++
		n.order = d.next
		d.next++
		for dependent := range n.dependents {
			d.examined++
			if !seen[dependent] {
				seen[dependent] = true
				heap.Push(queue, dependent)
			}
		}
	}
}
