package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Limits on what other controllers may send. Each is several times what they need.
const (
	// maxRequestBytes is the size of one call. The largest is a Sync, some hundred bytes for
	// each machine.
	maxRequestBytes = 1 << 20
	// maxConcurrentCalls is how many calls of one connection are answered at a time: relayed
	// heartbeats are answered within 1.2 s each.
	maxConcurrentCalls = 1024
	// maxConnsPerPeer is how many connections each of the others may have open: one is
	// used, and those that hang in silence go after idlePeer.
	maxConnsPerPeer = 8
	// idleTimeout is how long a connection may be idle: calls come every second.
	idleTimeout = 30 * time.Second
	// transferTimeout is how long a call may take to arrive once it has begun, or a reply to be
	// sent.
	transferTimeout = 5 * time.Second
)

// Serve answers so many other controllers until the listener is closed or fails.
func Serve(l net.Listener, h Handler, others int) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &Service{h}); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	open := make(chan struct{}, max(1, others)*maxConnsPerPeer)
	for {
		c, err := l.Accept()
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		select {
		case open <- struct{}{}:
			go func() {
				defer func() { <-open }()
				srv.ServeCodec(newCodec(c, h))
			}()
		default:
			h.Malformed(hostOf(c), errTooManyConnections)
			c.Close() // its sender retries
		}
	}
}

// errTooManyConnections is told to the handler of a refused connection.
var errTooManyConnections = errors.New("peer: more connections than controllers need")

// hostOf returns the address at the other end of a connection.
func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return "unknown"
	}
	return host
}

// codec is net/rpc's usual encoding with limits on the size of a call, on the time that it may take
// and on the calls in flight. It implements rpc.ServerCodec.
type codec struct {
	handler  Handler
	conn     net.Conn
	limit    *io.LimitedReader
	in       *bufio.Reader
	dec      *gob.Decoder
	out      *bufio.Writer
	enc      *gob.Encoder
	inFlight chan struct{} // one element for each
	closed   chan struct{} // closed with the connection
	close    sync.Once
}

func newCodec(c net.Conn, h Handler) *codec {
	limit := &io.LimitedReader{R: c}
	in, out := bufio.NewReader(limit), bufio.NewWriter(c)
	return &codec{
		handler: h, conn: c, limit: limit, in: in, dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out),
		inFlight: make(chan struct{}, maxConcurrentCalls), closed: make(chan struct{}),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.inFlight <- struct{}{}:
	case <-c.closed:
		return net.ErrClosed
	}
	c.limit.N = maxRequestBytes
	if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(transferTimeout)); err != nil {
		return err
	}
	return c.reportReadError(c.dec.Decode(r))
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.reportReadError(c.dec.Decode(body)) }

// reportReadError tells the handler of a call that can't be read, and returns the error. After one
// that is too large or too slow the connection is of no more use.
func (c *codec) reportReadError(err error) error {
	if err == nil {
		return nil
	}
	whole := c.limit.N > 0
	if gone := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF); !gone || !whole {
		c.handler.Malformed(hostOf(c.conn), err)
	}
	var late net.Error
	if !whole || errors.As(err, &late) {
		c.Close()
	}
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.inFlight }()
	err := c.conn.SetWriteDeadline(time.Now().Add(transferTimeout))
	if err == nil {
		err = c.enc.Encode(r)
	}
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		c.Close() // a reply that was written in part can't be continued
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.conn.Close()
}
