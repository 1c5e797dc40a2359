// Package peer is what controllers say to each other, over net/rpc.
package peer

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/recovery"
	"bramblespur/internal/wire"
)

// SyncArgs goes from the leader to every controller: orders for its parts, and
// parts that it should claim because their owner can't be reached.
type SyncArgs struct {
	From   string
	Orders []fleet.Order
	Claim  []int
	// HandHome are parts to be handed to their home controllers.
	HandHome []int
	// Requests and Changes are what the receiver may use of the state
	// service's limits, a second; 0: its plain share.
	Requests, Changes float64
	// OrderRate is how many orders to workers the receiver may release in a second while
	// it settles after a restart; 0: its plain share.
	OrderRate float64
}

// SyncReply tells a controller's parts.
type SyncReply struct {
	Summaries []fleet.Summary
	StateOK   bool // the sender has lately reached the state service
	// Requests and Changes are what the sender needed of the state service
	// since it was last asked.
	Requests, Changes int
	// Recovering says that the sender falls behind for want of a processor, or lately
	// did, and should not have its parts back; HasRoom that it could take another's.
	// Both are false from versions that don't tell.
	Recovering, HasRoom bool
	// OrdersWaiting is how many orders the sender held back since it was last asked.
	OrdersWaiting int
}

// NotifyArgs tells an owner a job's record as it was just written.
type NotifyArgs struct {
	Key     string
	Value   []byte
	Version uint64
}

// HeartbeatReply answers a relayed report.
type HeartbeatReply struct {
	Status int
	Orders wire.Orders
}

// UserArgs is a user's request that its receiver can't serve, for want of the
// state service, and another controller may.
type UserArgs struct {
	Method, Path string
	Body         []byte
}

// UserReply answers it.
type UserReply struct {
	Status     int
	Body       []byte
	RetryAfter int
}

// LoanArgs asks the leader for changes beyond the sender's part of the state
// service's limit.
type LoanArgs struct {
	From    string
	Changes int
	Modest  bool // leave a part to those that need many at once
}

// EvidenceArgs asks what a controller in safe mode holds of the records after a key.
type EvidenceArgs struct{ After string }

// EvidenceReply tells a page of it.
type EvidenceReply struct {
	Mode recovery.SafeMode // not active: the sender holds no safe mode
	// View is what the sender knew of all unfinished jobs, with the first page.
	View    recovery.View
	Held    []wire.Entry
	More    bool
	Reports []wire.Heartbeat // with the first page
}

// Handler carries out what peers ask.
type Handler interface {
	// Check refuses arguments that make no sense. Nothing else is called with them.
	Check(args any) error
	// Malformed takes in that a call could not be read, or not be taken.
	Malformed(from string, err error)
	Sync(SyncArgs) SyncReply
	Nudge(NotifyArgs)
	Report(wire.Heartbeat) HeartbeatReply
	Status(ref string) (wire.Status, bool)
	User(UserArgs) UserReply
	Ping() bool
	Format() int
	Lend(LoanArgs) bool
	Evidence(EvidenceArgs) EvidenceReply
}

// Service is the net/rpc side of a Handler.
type Service struct{ handler Handler }

// Sync serves Handler.Sync.
func (s *Service) Sync(a SyncArgs, r *SyncReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Sync(a)
	return nil
}

// Nudge serves Handler.Nudge.
func (s *Service) Nudge(a NotifyArgs, _ *struct{}) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	s.handler.Nudge(a)
	return nil
}

// Report serves Handler.Report.
func (s *Service) Report(a wire.Heartbeat, r *HeartbeatReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Report(a)
	return nil
}

// User serves Handler.User.
func (s *Service) User(a UserArgs, r *UserReply) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.User(a)
	return nil
}

// Ping serves Handler.Ping: whether this controller reaches the state service.
func (s *Service) Ping(_ string, r *bool) error {
	*r = s.handler.Ping()
	return nil
}

// Format serves Handler.Format: the format of records that this controller writes.
//
// Upgrade: the first version has no such method.
func (s *Service) Format(_ string, r *int) error {
	*r = s.handler.Format()
	return nil
}

// Lend serves Handler.Lend: whether the sender may make the changes it asks for.
//
// Upgrade: the first version has no such method, and lends nothing.
func (s *Service) Lend(a LoanArgs, r *bool) error {
	if err := s.handler.Check(a); err != nil {
		return err
	}
	*r = s.handler.Lend(a)
	return nil
}

// Evidence serves Handler.Evidence, for operators' tools.
//
// Upgrade: the first version has no such method, and holds no safe mode.
func (s *Service) Evidence(a EvidenceArgs, r *EvidenceReply) error {
	*r = s.handler.Evidence(a)
	return nil
}

// ErrJobNotHeld says that a controller does not hold a job.
var ErrJobNotHeld = errors.New("peer: job not held here")

// Status serves Handler.Status.
func (s *Service) Status(ref string, r *wire.Status) error {
	st, ok := s.handler.Status(ref)
	if !ok {
		return ErrJobNotHeld
	}
	*r = st
	return nil
}

// errDial says that there is no connection to a peer.
var errDial = errors.New("peer: no connection to")

// ErrTimeout says that a peer did not answer in time.
var ErrTimeout = errors.New("peer: no answer in time")

// Caller calls the methods of one peer's service.
type Caller interface {
	Call(method string, args, reply any, timeout time.Duration) error
}

var _ Caller = (*Client)(nil)

// Client is a Caller over one connection, made again after a failure.
type Client struct {
	addr string
	mu   sync.Mutex
	c    *rpc.Client
}

// NewClient returns a client; it connects when it is first used.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// maxReplyBytes is how many bytes may come between two calls: the largest answer tells of
// all machines, some hundred bytes for each.
const maxReplyBytes = 8 << 20

// boundedConn is a connection of which no more is read after one call and before the next.
type boundedConn struct {
	net.Conn
	read atomic.Int64 // bytes since the last call
}

// errReplyTooLarge is why nothing more is read.
var errReplyTooLarge = errors.New("peer: answers are too large")

// Write implements net.Conn.
func (b *boundedConn) Write(p []byte) (int, error) {
	b.read.Store(0)
	return b.Conn.Write(p)
}

// Read implements net.Conn.
func (b *boundedConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if b.read.Add(int64(n)) > maxReplyBytes {
		return n, errReplyTooLarge
	}
	return n, err
}

func (c *Client) conn(timeout time.Duration) (*rpc.Client, error) {
	c.mu.Lock()
	k := c.c
	c.mu.Unlock()
	if k != nil {
		return k, nil
	}
	nc, err := net.DialTimeout("tcp4", c.addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", errDial, c.addr, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.c != nil {
		nc.Close()
		return c.c, nil
	}
	c.c = rpc.NewClient(&boundedConn{Conn: nc})
	return c.c, nil
}

// Call calls a method of the peer's service. A peer that does not answer in
// time loses its connection, which may hang in silence. One that has broken is
// made again once: what is called does no harm when it comes twice.
func (c *Client) Call(method string, args, reply any, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	err := c.call(method, args, reply, timeout)
	var answered rpc.ServerError
	if err == nil || errors.As(err, &answered) || errors.Is(err, ErrTimeout) || errors.Is(err, errDial) {
		return err
	}
	return c.call(method, args, reply, time.Until(until))
}

func (c *Client) call(method string, args, reply any, timeout time.Duration) error {
	k, err := c.conn(timeout)
	if err != nil {
		return err
	}
	call := k.Go("Controller."+method, args, reply, make(chan *rpc.Call, 1))
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-t.C:
		err = ErrTimeout
	}
	var answered rpc.ServerError
	if err != nil && !errors.As(err, &answered) {
		c.mu.Lock()
		if c.c == k {
			c.c = nil
		}
		c.mu.Unlock()
		k.Close()
	}
	return err
}
