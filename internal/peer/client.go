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

// errDial is wrapped by the error of a call for which no connection could be opened.
var errDial = errors.New("peer: no connection to")

// ErrTimeout is returned if a peer does not reply within the timeout of a call.
var ErrTimeout = errors.New("peer: no answer in time")

// Caller calls the methods of one peer's service.
type Caller interface {
	// Call calls a method of [Service] by its bare name and stores the reply in reply, a
	// pointer.
	Call(method string, args, reply any, timeout time.Duration) error
}

var _ Caller = (*Client)(nil)

// Client is a Caller over one connection, which it opens again after a failure. It is safe for
// concurrent use; its lock is not held during a call.
type Client struct {
	addr   string // host:port of the peer
	mu     sync.Mutex
	client *rpc.Client // guarded by mu; nil while there is no connection
}

// NewClient returns a client of the peer at an address. It connects at the first call.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// maxReplyBytes is how many bytes may be read between two calls. The largest reply describes
// all machines, in some hundred bytes each.
const maxReplyBytes = 8 << 20

// boundedConn is a connection whose reads fail once more than maxReplyBytes have been read since
// the last write.
type boundedConn struct {
	net.Conn
	bytesRead atomic.Int64 // since the last write
}

// errReplyTooLarge is the read error of a connection that received more than maxReplyBytes between
// two calls.
var errReplyTooLarge = errors.New("peer: answers are too large")

// Write implements net.Conn.
func (b *boundedConn) Write(p []byte) (int, error) {
	b.bytesRead.Store(0)
	return b.Conn.Write(p)
}

// Read implements net.Conn.
func (b *boundedConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if b.bytesRead.Add(int64(n)) > maxReplyBytes {
		return n, errReplyTooLarge
	}
	return n, err
}

// connect returns the open connection, or opens one within the timeout.
func (c *Client) connect(timeout time.Duration) (*rpc.Client, error) {
	c.mu.Lock()
	client := c.client
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := net.DialTimeout("tcp4", c.addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", errDial, c.addr, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		conn.Close()
		return c.client, nil
	}
	c.client = rpc.NewClient(&boundedConn{Conn: conn})
	return c.client, nil
}

// Call implements Caller. After a timeout it closes the connection, which may be dead without an
// error. If the connection breaks, it repeats the call once within the same timeout: all methods
// are idempotent. An error that the peer returned is an rpc.ServerError.
func (c *Client) Call(method string, args, reply any, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	err := c.call(method, args, reply, timeout)
	var answered rpc.ServerError
	if err == nil || errors.As(err, &answered) || errors.Is(err, ErrTimeout) || errors.Is(err, errDial) {
		return err
	}
	return c.call(method, args, reply, time.Until(deadline))
}

// call makes one attempt at a call. After any error but one that the peer returned it closes the
// connection.
func (c *Client) call(method string, args, reply any, timeout time.Duration) error {
	client, err := c.connect(timeout)
	if err != nil {
		return err
	}
	call := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
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
		if c.client == client {
			c.client = nil
		}
		c.mu.Unlock()
		client.Close()
	}
	return err
}
