package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// maxResponse bounds a response's body: a watch may send everything at once.
const maxResponse = 16 << 20

// ErrNotSent says that a request certainly did not reach its server.
var ErrNotSent = errors.New("httpwire: not sent")

// Client talks to one address over a few kept connections. It is safe for
// concurrent use.
type Client struct {
	addr    string
	maxIdle int
	maxBody int // of a response

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	buf  []byte
	last time.Time
}

// idleLife is how long an unused connection is trusted. A connection cut off
// in silence would swallow requests, so it is kept short.
const idleLife = 10 * time.Second

// dialTimeout bounds the making of a connection, which takes milliseconds or,
// through a cut, for ever: another try after the cut's end must come soon.
const dialTimeout = time.Second

// NewClient returns a client keeping at most maxIdle unused connections.
func NewClient(addr string, maxIdle int) *Client {
	return &Client{addr: addr, maxIdle: maxIdle, maxBody: maxResponse}
}

// WithMaxResponseBody lets a client take no larger responses than that.
func (c *Client) WithMaxResponseBody(n int) *Client {
	c.maxBody = n
	return c
}

// Do sends one request and waits for its response until ctx ends. An error
// that is not ErrNotSent leaves open whether the request was carried out.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (Response, error) {
	k := c.take()
	if k == nil {
		d := net.Dialer{Timeout: dialTimeout}
		nc, err := d.DialContext(ctx, "tcp4", c.addr)
		if err != nil {
			return Response{}, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		k = &conn{Conn: nc}
	}
	if dl, ok := ctx.Deadline(); ok {
		k.SetDeadline(dl)
	}
	stop := context.AfterFunc(ctx, func() { k.SetDeadline(time.Unix(1, 0)) })
	resp, err := k.roundTrip(method, target, c.addr, body, c.maxBody)
	if !stop() || err != nil || resp.Close {
		k.Close()
	} else {
		c.put(k)
	}
	if err != nil {
		return resp, fmt.Errorf("%s %s: %w", method, target, err)
	}
	return resp, nil
}

func (k *conn) roundTrip(method, target, host string, body []byte, maxBody int) (Response, error) {
	if _, err := k.Write(AppendRequest(nil, method, target, host, body)); err != nil {
		return Response{}, err
	}
	k.buf = k.buf[:0]
	for {
		r, n, err := ParseResponse(k.buf, maxBody)
		if err != nil {
			return r, err
		}
		if n > 0 {
			if n != len(k.buf) {
				r.Close = true // more than was asked for: the connection is out of step
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

func (c *Client) take() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(k.last) < idleLife {
			return k
		}
		k.Close()
	}
	return nil
}

func (c *Client) put(k *conn) {
	k.last = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.maxIdle {
		k.Close()
		return
	}
	c.idle = append(c.idle, k)
}
