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

// Bounds of what other controllers may send. Each is several times what they do.
const (
	// maxMessage is the bytes of one call. The largest is the leader's orders, some
	// hundred bytes for each machine.
	maxMessage = 1 << 20
	// maxCalls is how many calls of one connection are answered at a time: reports
	// relayed by one controller are answered within 1.2 s each.
	maxCalls = 1024
	// connsPerPeer is how many connections each of the others may have open: one is
	// used, and those that hang in silence go after idlePeer.
	connsPerPeer = 8
	// idlePeer is how long a connection may say nothing: calls come every second.
	idlePeer = 30 * time.Second
	// slowPeer is how long a call may take to arrive once it has begun, or an answer
	// to leave.
	slowPeer = 5 * time.Second
)

// Serve answers so many other controllers until the listener fails.
func Serve(l net.Listener, h Handler, others int) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Controller", &Service{h}); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	open := make(chan struct{}, max(1, others)*connsPerPeer)
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
			h.Malformed(hostOf(c), errCrowd)
			c.Close() // its sender tries again
		}
	}
}

// errCrowd is why a connection is refused.
var errCrowd = errors.New("peer: more connections than controllers need")

// hostOf names who is at the other end of a connection.
func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return "unknown"
	}
	return host
}

// codec is net/rpc's usual encoding with bounds on the bytes of a call, on the time it
// may take and on the calls under way. It implements rpc.ServerCodec.
type codec struct {
	h     Handler
	conn  net.Conn
	limit *io.LimitedReader
	in    *bufio.Reader
	dec   *gob.Decoder
	out   *bufio.Writer
	enc   *gob.Encoder
	calls chan struct{} // under way
	over  chan struct{} // closed with the connection
	close sync.Once
}

func newCodec(c net.Conn, h Handler) *codec {
	limit := &io.LimitedReader{R: c}
	in, out := bufio.NewReader(limit), bufio.NewWriter(c)
	return &codec{
		h: h, conn: c, limit: limit, in: in, dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out),
		calls: make(chan struct{}, maxCalls), over: make(chan struct{}),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.calls <- struct{}{}:
	case <-c.over:
		return net.ErrClosed
	}
	c.limit.N = maxMessage
	if err := c.conn.SetReadDeadline(time.Now().Add(idlePeer)); err != nil {
		return err
	}
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(slowPeer)); err != nil {
		return err
	}
	return c.told(c.dec.Decode(r))
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.told(c.dec.Decode(body)) }

// told passes on why a call can't be read. After one that is too large or too slow
// nothing else can be.
func (c *codec) told(err error) error {
	if err == nil {
		return nil
	}
	whole := c.limit.N > 0
	if gone := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF); !gone || !whole {
		c.h.Malformed(hostOf(c.conn), err)
	}
	var late net.Error
	if !whole || errors.As(err, &late) {
		c.Close()
	}
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.calls }()
	err := c.conn.SetWriteDeadline(time.Now().Add(slowPeer))
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
		c.Close() // what was written in part can't be gone on with
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	c.close.Do(func() { close(c.over) })
	return c.conn.Close()
}
