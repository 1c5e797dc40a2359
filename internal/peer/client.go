package peer

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// errDial says that a peer could not be connected to.
var errDial = errors.New("peer: no connection to")

// ErrTimeout says that a peer did not answer in time.
var ErrTimeout = errors.New("peer: no answer in time")

// Caller calls the methods of one peer's service.
type Caller interface {
	Call(method string, args, reply any, timeout time.Duration) error
}

var _ Caller = (*Client)(nil)

// Client is a Caller over one connection, which it opens again after a failure. It is safe for
// concurrent use; its lock is not held during a call.
type Client struct {
	addr string
	mu   sync.Mutex
	c    *rpc.Client
}

// NewClient returns a client; it connects when it is first used.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// maxReplyBytes is how many bytes are read between two calls: the largest reply describes all
// machines, some hundred bytes for each.
const maxReplyBytes = 8 << 20

// boundedConn is a connection of which at most maxReplyBytes are read between two calls.
type boundedConn struct {
	net.Conn
	read atomic.Int64 // bytes since the last call
}

// errReplyTooLarge ends a connection that sends more.
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

// Call calls a method of the peer's service. After a timeout the connection is closed, as it may
// hang in silence. On a broken connection the call is repeated once: all methods are idempotent.
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
	call := k.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
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
