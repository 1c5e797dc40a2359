package fragment

// nodeQueue is a heap of nodes.
type nodeQueue struct {
	nodes []*node
	less  func(a, b *node) bool
}

// dependentsFirst orders jobs so that dependents come before their dependencies.
func dependentsFirst(a, b *node) bool { return a.order > b.order }

// dependenciesFirst orders jobs so that dependencies come before their dependents.
func dependenciesFirst(a, b *node) bool { return a.order < b.order }

// Len implements heap.Interface.
func (q *nodeQueue) Len() int { return len(q.nodes) }

// Less implements heap.Interface.
func (q *nodeQueue) Less(i, j int) bool { return q.less(q.nodes[i], q.nodes[j]) }

// Swap implements heap.Interface.
func (q *nodeQueue) Swap(i, j int) { q.nodes[i], q.nodes[j] = q.nodes[j], q.nodes[i] }

// Push implements heap.Interface.
func (q *nodeQueue) Push(n any) { q.nodes = append(q.nodes, n.(*node)) }

// Pop implements heap.Interface.
func (q *nodeQueue) Pop() any {
	last := len(q.nodes) - 1
	n := q.nodes[last]
	q.nodes[last] = nil
	q.nodes = q.nodes[:last]
	return n
}
