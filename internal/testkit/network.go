package testkit

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Partition is a rule of a network: matching messages from one endpoint to another are lost, or held
// until the rule is removed.
type Partition struct {
	Match        func(from, to string) bool
	Hold         bool // hold messages instead of losing them
	RequestsOnly bool // answers are delivered
}

// Between returns a match of the messages in both directions between two groups of endpoints.
func Between(a, b func(name string) bool) func(from, to string) bool {
	return func(from, to string) bool { return (a(from) && b(to)) || (b(from) && a(to)) }
}

// Named returns the group of the endpoints with the given names.
func Named(names ...string) func(string) bool {
	set := map[string]bool{}
	for _, n := range names {
		set[n] = true
	}
	return func(n string) bool { return set[n] }
}

// AnyEndpoint is the group of all endpoints.
func AnyEndpoint(string) bool { return true }

// Network carries requests and answers between named endpoints, in the time of a testing/synctest
// bubble. Its methods are safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	partitions map[*Partition]bool
	held       []heldMessage // in the order sent
	delay      time.Duration // of each message
}

// heldMessage is a message that a partition holds.
type heldMessage struct {
	from, to string
	answer   bool
	deliver  func()
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network { return &Network{partitions: map[*Partition]bool{}, delay: defaultDelay} }

// AddPartition adds a rule. The returned function removes it and delivers the messages it held, unless
// another rule still matches them.
func (n *Network) AddPartition(c *Partition) (heal func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[c] = true
	return func() {
		n.mu.Lock()
		delete(n.partitions, c)
		var rest, due []heldMessage
		for _, h := range n.held {
			if _, blocked := n.blocked(h.from, h.to, h.answer); blocked {
				rest = append(rest, h)
			} else {
				due = append(due, h)
			}
		}
		n.held = rest
		n.mu.Unlock()
		for _, h := range due {
			go h.deliver()
		}
	}
}

// Slow sets what is added to the usual delay of each message.
func (n *Network) Slow(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = defaultDelay + d
}

// defaultDelay is the delay of each message.
const defaultDelay = time.Millisecond

// Heal removes all partitions and the added delay, and delivers the held messages.
func (n *Network) Heal() {
	n.mu.Lock()
	clear(n.partitions)
	n.delay = defaultDelay
	due := n.held
	n.held = nil
	n.mu.Unlock()
	for _, h := range due {
		go h.deliver()
	}
}

// blocked reports whether a rule matches a message, and whether one holds it. The lock is held.
func (n *Network) blocked(from, to string, answer bool) (hold, blocked bool) {
	for c := range n.partitions {
		if c.Match(from, to) && !(answer && c.RequestsOnly) {
			hold, blocked = hold || c.Hold, true
		}
	}
	return hold, blocked
}

// send delivers a message after the delay, holds it, or loses it.
func (n *Network) send(from, to string, answer bool, deliver func()) {
	n.mu.Lock()
	hold, blocked := n.blocked(from, to, answer)
	if hold {
		n.held = append(n.held, heldMessage{from, to, answer, deliver})
	}
	delay := n.delay
	n.mu.Unlock()
	if !blocked {
		time.AfterFunc(delay, deliver)
	}
}

// ErrRefused is returned for a connection to an endpoint where no process listens.
var ErrRefused = fmt.Errorf("testkit: %w", syscall.ECONNREFUSED)

// Call sends a request to another endpoint, where serve answers it, and waits at most timeout for the
// answer; then it returns ErrLost. serve may run, and its answer arrive, after that.
func Call[T any](n *Network, from, to string, timeout time.Duration, serve func() (T, error)) (T, error) {
	type answer struct {
		v   T
		err error
	}
	got := make(chan answer, 1)
	n.send(from, to, false, func() {
		v, err := serve()
		n.send(to, from, true, func() { got <- answer{v, err} })
	})
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case a := <-got:
		return a.v, a.err
	case <-t.C:
		var none T
		return none, ErrLost
	}
}
