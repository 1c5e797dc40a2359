package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// defaultMaxResponseBody limits the bytes of a response's body. It is large because the response to a
// watch may hold all records.
const defaultMaxResponseBody = 16 << 20

// ErrNotSent is wrapped by an error if the request certainly did not reach its server.
var ErrNotSent = errors.New("httpwire: not sent")

// Client sends requests to one address and reuses a few connections. It is safe for concurrent use.
type Client struct {
	addr            string
	maxIdle         int
	maxResponseBody int // bytes

	mu   sync.Mutex
	idle []*conn
}

// conn is a connection with its receive buffer. lastUsed is when it last became idle.
type conn struct {
	net.Conn
	buf      []byte
	lastUsed time.Time
}

// maxIdleTime is how long an idle connection is kept. It is short because requests on a connection
// that was cut off without notice are lost.
const maxIdleTime = 10 * time.Second

// dialTimeout limits the time to open a connection. That takes milliseconds, or never ends during a
// network partition; the next attempt must follow soon after the partition heals.
const dialTimeout = time.Second

// NewClient returns a client of addr that keeps at most maxIdle idle connections.
func NewClient(addr string, maxIdle int) *Client {
	return &Client{addr: addr, maxIdle: maxIdle, maxResponseBody: defaultMaxResponseBody}
}

// WithMaxResponseBody limits the body of a response to n bytes, and returns the client. Larger responses
// fail with ErrTooLarge. It must be called before the first request.
func (c *Client) WithMaxResponseBody(n int) *Client {
	c.maxResponseBody = n
	return c
}

// Do sends one request and waits for its response until ctx ends. After an error other than ErrNotSent
// the server may or may not have executed the request.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (Response, error) {
	k := c.takeIdle()
	if k == nil {
		d := net.Dialer{Timeout: dialTimeout}
		dialed, err := d.DialContext(ctx, "tcp4", c.addr)
		if err != nil {
			return Response{}, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		k = &conn{Conn: dialed}
	}
	if deadline, ok := ctx.Deadline(); ok {
		k.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { k.SetDeadline(time.Unix(1, 0)) })
	resp, err := k.roundTrip(method, target, c.addr, body, c.maxResponseBody)
	if !stop() || err != nil || resp.Close {
		k.Close()
	} else {
		c.putIdle(k)
	}
	if err != nil {
		return resp, fmt.Errorf("%s %s: %w", method, target, err)
	}
	return resp, nil
}

// roundTrip sends one request on the connection and reads its response.
func (k *conn) roundTrip(method, target, host string, body []byte, maxResponseBody int) (Response, error) {
	if _, err := k.Write(AppendRequest(nil, method, target, host, body)); err != nil {
		return Response{}, err
	}
	k.buf = k.buf[:0]
	for {
		r, n, err := ParseResponse(k.buf, maxResponseBody)
		if err != nil {
			return r, err
		}
		if n > 0 {
			if n != len(k.buf) {
				r.Close = true // The server sent more than one response: the connection is out of sync.
			}
			if cap(k.buf) > 64<<10 {
				k.buf = nil
			}
			return r, nil
		}
		if cap(k.buf)-len(k.buf) < 2048 {
			k.buf = append(make([]byte, 0, 2*cap(k.buf)+4096), k.buf...)
		}
		m, err := k.Read(k.buf[len(k.buf):cap(k.buf)])
		if m > 0 {
			k.buf = k.buf[:len(k.buf)+m]
			continue
		}
		if err != nil {
			return Response{}, err
		}
	}
}

// takeIdle returns an idle connection that may be used, nil if there is none.
func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(k.lastUsed) < maxIdleTime {
			return k
		}
		k.Close()
	}
	return nil
}

// putIdle keeps a connection for further requests, or closes it if enough are idle.
func (c *Client) putIdle(k *conn) {
	k.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.maxIdle {
		k.Close()
		return
	}
	c.idle = append(c.idle, k)
}
