package peer

import (
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/wire"
)

// countingHandler is a Handler that counts notifications of job records and malformed calls. It
// rejects a NotifyArgs without a key.
type countingHandler struct {
	mu            sync.Mutex
	notifications int
	malformed     int
}

func (h *countingHandler) Check(args any) error {
	if a, ok := args.(NotifyArgs); ok && a.Key == "" {
		return wire.ErrInvalidMessage
	}
	return nil
}

func (h *countingHandler) Evidence(EvidenceArgs) EvidenceReply { return EvidenceReply{} }

func (h *countingHandler) Malformed(string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.malformed++
}

func (h *countingHandler) ReceiveJobRecord(NotifyArgs) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifications++
}

func (h *countingHandler) counts() (notifications, malformed int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notifications, h.malformed
}

func (h *countingHandler) Sync(SyncArgs) SyncReply              { return SyncReply{} }
func (h *countingHandler) Report(wire.Heartbeat) HeartbeatReply { return HeartbeatReply{} }
func (h *countingHandler) Status(string) (wire.Status, bool)    { return wire.Status{}, false }
func (h *countingHandler) User(UserArgs) UserReply              { return UserReply{} }
func (h *countingHandler) Ping() bool                           { return true }
func (h *countingHandler) Format() int                          { return 0 }
func (h *countingHandler) Lend(LoanArgs) bool                   { return false }

// pipeListener is a net.Listener whose connections are pipes in memory.
type pipeListener struct{ conns chan net.Conn }

func (p *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipeListener) Close() error   { close(p.conns); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection, which is closed at the end of the test.
func (p *pipeListener) dial(t *testing.T) net.Conn {
	near, far := net.Pipe()
	p.conns <- far
	t.Cleanup(func() { near.Close() })
	return near
}

// runServer runs a script against a server for one other controller, with synctest's clock.
func runServer(t *testing.T, script func(t *testing.T, p *pipeListener, h *countingHandler)) {
	synctest.Test(t, func(t *testing.T) {
		p, h := &pipeListener{make(chan net.Conn)}, &countingHandler{}
		go Serve(p, h, 1)
		t.Cleanup(func() { p.Close() })
		script(t, p, h)
	})
}

// isAnswered reports whether a ping over a connection is answered.
func isAnswered(t *testing.T, c *rpc.Client) bool {
	t.Helper()
	var ok bool
	return c.Call("Controller.Ping", "c-1", &ok) == nil && ok
}

// closedWithin reports whether the other end closes a connection within d.
func closedWithin(c net.Conn, d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// A call of which only a part arrives closes its own connection and leaves others open.
func TestHalfSentCallIsClosed(t *testing.T) {
	runServer(t, func(t *testing.T, p *pipeListener, h *countingHandler) {
		half, other := p.dial(t), rpc.NewClient(p.dial(t))
		if _, err := half.Write([]byte{40, 1, 2}); err != nil {
			t.Fatal(err)
		}
		if !isAnswered(t, other) {
			t.Error("another controller is not answered")
		}
		if !closedWithin(half, transferTimeout+time.Second) {
			t.Error("a half-sent call keeps its connection")
		}
		if !isAnswered(t, other) {
			t.Error("another controller is no longer answered after the half-sent call is dropped")
		}
		if _, malformed := h.counts(); malformed != 1 {
			t.Errorf("%d malformed calls were reported, want 1", malformed)
		}
	})
}

func TestSilentPeerIsClosed(t *testing.T) {
	runServer(t, func(t *testing.T, p *pipeListener, _ *countingHandler) {
		c := p.dial(t)
		if closedWithin(c, idleTimeout-time.Second) {
			t.Error("an idle connection was closed before idleTimeout")
		}
		if !closedWithin(c, 2*time.Second) {
			t.Error("an idle connection stays open beyond idleTimeout")
		}
	})
}

// A call that is too large is not passed to the handler, and its connection is closed.
func TestOversizedCallIsRefused(t *testing.T) {
	runServer(t, func(t *testing.T, p *pipeListener, h *countingHandler) {
		c := rpc.NewClient(p.dial(t))
		if err := c.Call("Controller.Nudge", NotifyArgs{Key: "k", Value: make([]byte, 4*maxRequestBytes)}, new(struct{})); err == nil {
			t.Error("an oversized call succeeded")
		}
		if notifications, malformed := h.counts(); notifications != 0 || malformed != 1 {
			t.Errorf("%d calls were handled and %d reported as malformed, want 0 and 1", notifications, malformed)
		}
		if !isAnswered(t, rpc.NewClient(p.dial(t))) {
			t.Error("another connection is not answered")
		}
	})
}

// A call with arguments of the wrong type, or with invalid ones, is answered with an error. Its
// connection stays open, since other calls on it may be valid.
func TestWrongCallsAreAnswered(t *testing.T) {
	runServer(t, func(t *testing.T, p *pipeListener, h *countingHandler) {
		c := rpc.NewClient(p.dial(t))
		for method, args := range map[string]any{
			"Controller.Nudge": "text", "Controller.Sync": []int{1}, "Controller.None": 1, "Controller.Report": NotifyArgs{Key: "k"},
		} {
			if err := c.Call(method, args, new(struct{})); err == nil {
				t.Errorf("%s(%v) succeeded", method, args)
			}
		}
		if err := c.Call("Controller.Nudge", NotifyArgs{Version: 1}, new(struct{})); err == nil {
			t.Error("a call with invalid arguments succeeded")
		}
		if notifications, _ := h.counts(); notifications != 0 {
			t.Errorf("%d calls were handled, want 0", notifications)
		}
		if !isAnswered(t, c) {
			t.Error("the connection is not served after the rejected calls")
		}
	})
}

// Connections beyond maxConnsPerPeer for each other controller are refused. Once one is closed, a
// new one is accepted.
func TestPeersConnectionsAreBounded(t *testing.T) {
	runServer(t, func(t *testing.T, p *pipeListener, _ *countingHandler) {
		var all []net.Conn
		for range maxConnsPerPeer {
			all = append(all, p.dial(t))
		}
		if !closedWithin(p.dial(t), time.Second) {
			t.Error("a connection beyond the limit is not closed")
		}
		all[0].Close()
		synctest.Wait()
		if !isAnswered(t, rpc.NewClient(p.dial(t))) {
			t.Error("no connection is accepted after another was closed")
		}
	})
}

// A connection on which a reply never ends fails once maxReplyBytes are read.
func TestEndlessRepliesAreDropped(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		for {
			if _, err := far.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	n, err := io.Copy(io.Discard, &boundedConn{Conn: near})
	if !errors.Is(err, errReplyTooLarge) || n > maxReplyBytes+64<<10 {
		t.Errorf("read %d bytes and then got %v, want errReplyTooLarge soon after maxReplyBytes", n, err)
	}
}
