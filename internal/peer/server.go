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

// Limits on what other controllers may send. Each is several times what they need in regular
// operation.
const (
	// maxRequestBytes bounds the size of one call. The largest call is Sync, with some hundred
	// bytes for each machine.
	maxRequestBytes = 1 << 20
	// maxConcurrentCalls bounds the calls of one connection that are served at a time. Serving
	// a relayed heartbeat takes up to 1.2 s.
	maxConcurrentCalls = 1024
	// maxConnsPerPeer is how many open connections are allowed for each of the other
	// controllers. Each uses one; connections that have gone silent are closed after
	// idleTimeout.
	maxConnsPerPeer = 8
	// idleTimeout is how long a connection may be idle. Peers make a call every second.
	idleTimeout = 30 * time.Second
	// transferTimeout is how long a call may take to arrive once it has begun, or a reply to be
	// sent.
	transferTimeout = 5 * time.Second
)

// Serve accepts connections and serves calls to the handler until the listener is closed or fails;
// it returns the listener's error. The number of other controllers bounds the open connections:
// those beyond the bound are closed at once and reported by Handler.Malformed.
func Serve(l net.Listener, h Handler, peers int) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &Service{h}); err != nil {
		return fmt.Errorf("register the peer service: %w", err)
	}
	slots := make(chan struct{}, max(1, peers)*maxConnsPerPeer)
	for {
		c, err := l.Accept()
		if err != nil {
			return fmt.Errorf("accept a connection of a peer: %w", err)
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				srv.ServeCodec(newCodec(c, h))
			}()
		default:
			h.Malformed(hostOf(c), errTooManyConnections)
			c.Close() // its sender retries
		}
	}
}

// errTooManyConnections is passed to Handler.Malformed for a connection that is refused.
var errTooManyConnections = errors.New("peer: connection refused: more are open than the other controllers need")

// hostOf returns the IP address of the other end of a connection.
func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return "unknown"
	}
	return host
}

// codec is net/rpc's gob encoding with limits on the size of a call, on the time that its transfer
// may take and on the number of calls in flight. It implements rpc.ServerCodec.
type codec struct {
	handler   Handler
	conn      net.Conn
	limit     *io.LimitedReader
	in        *bufio.Reader
	dec       *gob.Decoder
	out       *bufio.Writer
	enc       *gob.Encoder
	inFlight  chan struct{} // one element for each call that is not answered yet
	closed    chan struct{} // closed with the connection
	closeOnce sync.Once
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

// reportReadError returns err and, if a call could not be read, reports it to the handler. The end
// of the connection is not reported. After a call that was too large or too slow the position in the
// stream is lost, so the connection is closed.
func (c *codec) reportReadError(err error) error {
	if err == nil {
		return nil
	}
	withinLimit := c.limit.N > 0
	if connEnded := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF); !connEnded || !withinLimit {
		c.handler.Malformed(hostOf(c.conn), err)
	}
	var timeout net.Error
	if !withinLimit || errors.As(err, &timeout) {
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
		c.Close() // a reply that was written in part cannot be continued
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.conn.Close()
}
