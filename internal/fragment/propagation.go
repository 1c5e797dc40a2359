package fragment

import "container/heap"

// propagation passes a change of a job's urgency on to the jobs on which it depends, directly or not.
// It examines dependents before their dependencies, so that each job has its final urgency when it is
// examined.
type propagation struct {
	dependencies *Dependencies
	queue        nodeQueue
}

// pendingChange is the state of a job that waits to be examined.
type pendingChange struct {
	queued   bool
	added    bool        // it was not active before the change
	urgency  Urgency     // before the change
	passed   inheritance // what it passed on before the change
	mayLower bool        // something that it inherited may no longer hold
}

// newPropagation returns a propagation without changes.
func newPropagation(d *Dependencies) *propagation {
	return &propagation{dependencies: d, queue: nodeQueue{less: dependentsFirst}}
}

// add lets a job be examined. It is called before the job is changed.
func (p *propagation) add(n *node) {
	if n.pending.queued {
		return
	}
	n.pending = pendingChange{queued: true, added: !n.active, urgency: n.urgency, passed: n.inheritance()}
	heap.Push(&p.queue, n)
}

// run examines jobs until no more urgency changes. It returns the jobs whose urgency changed and a job
// that was added.
func (p *propagation) run() []string {
	var changed []string
	for p.queue.Len() > 0 {
		n := heap.Pop(&p.queue).(*node)
		if p.examine(n) {
			changed = append(changed, n.ref)
		}
	}
	return changed
}

// examine determines a job's urgency, passes it on if it changed, and reports whether it did.
func (p *propagation) examine(n *node) bool {
	p.dependencies.examined++
	if n.pending.mayLower {
		highest := n.urgency
		p.recompute(n, &highest)
	}
	before := n.pending
	n.pending = pendingChange{}
	if passed := n.inheritance(); !passed.equal(before.passed) {
		p.passOn(n, before.passed, passed)
	}
	return before.added || !n.urgency.equal(before.urgency)
}

// recompute determines a job's urgency from its own and from its dependents. It stops as soon as the
// urgency is as high as it can be, if that is known.
func (p *propagation) recompute(n *node, highest *Urgency) {
	n.urgency = n.job.Urgency
	n.urgency.HasDependents = false
	for dependent := range n.dependents {
		p.dependencies.examined++
		n.inherit(dependent.inheritance())
		if highest != nil && n.urgency.equal(*highest) {
			return
		}
	}
}

// passOn tells the dependencies of a job what they inherit from it now.
func (p *propagation) passOn(n *node, before, passed inheritance) {
	for _, dependency := range n.dependencies {
		p.dependencies.examined++
		if !dependency.active || dependency.order >= n.order { // the latter in a cycle, if records are damaged
			continue
		}
		p.add(dependency)
		if dependency.mayLose(before, passed) {
			dependency.pending.mayLower = true
		}
		dependency.inherit(passed)
	}
}

// removeDependent lets a job be examined whose dependent was removed, if that may change its urgency.
func (p *propagation) removeDependent(n *node, before inheritance) {
	p.dependencies.examined++
	if !n.active {
		return
	}
	if len(n.dependents) > 0 && !n.mayLose(before, nothing) {
		return
	}
	p.add(n)
	n.pending.mayLower = true
}
