package testkit

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Partition is a rule of a network: messages from one end to another are lost, or held
// back until the rule is taken away.
type Partition struct {
	Match        func(from, to string) bool
	Hold         bool
	RequestsOnly bool // answers pass
}

// Between returns a rule that matches messages both ways between two groups.
func Between(a, b func(name string) bool) func(from, to string) bool {
	return func(from, to string) bool { return (a(from) && b(to)) || (b(from) && a(to)) }
}

// Named returns a group of names.
func Named(names ...string) func(string) bool {
	set := map[string]bool{}
	for _, n := range names {
		set[n] = true
	}
	return func(n string) bool { return set[n] }
}

// AnyEndpoint is the group of all.
func AnyEndpoint(string) bool { return true }

// Network carries calls between named ends, in bubble time.
type Network struct {
	mu         sync.Mutex
	partitions map[*Partition]bool
	held       []heldMessage
	delay      time.Duration
}

type heldMessage struct {
	from, to string
	answer   bool
	deliver  func()
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network { return &Network{partitions: map[*Partition]bool{}, delay: defaultDelay} }

// AddPartition adds a rule and returns what takes it away and delivers what it held.
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

// Slow adds to the time that each message takes.
func (n *Network) Slow(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = defaultDelay + d
}

// defaultDelay is how long a message takes.
const defaultDelay = time.Millisecond

// Heal takes all rules away.
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

// blocked tells whether a rule matches, and whether it holds. The lock is held.
func (n *Network) blocked(from, to string, answer bool) (hold, blocked bool) {
	for c := range n.partitions {
		if c.Match(from, to) && !(answer && c.RequestsOnly) {
			hold, blocked = hold || c.Hold, true
		}
	}
	return hold, blocked
}

// send delivers a message, now, later or never.
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

// ErrRefused is a connection refused by a machine that runs no such process.
var ErrRefused = fmt.Errorf("testkit: %w", syscall.ECONNREFUSED)

// Call sends a request to the other end, where serve answers it, and waits for the
// answer at most timeout. serve also runs when the answer comes too late.
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
