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

// scripted is a Handler that counts.
type scripted struct {
	mu        sync.Mutex
	nudges    int
	malformed int
}

func (s *scripted) Check(args any) error {
	if a, ok := args.(NotifyArgs); ok && a.Key == "" {
		return wire.ErrInvalidMessage
	}
	return nil
}

func (s *scripted) Evidence(EvidenceArgs) EvidenceReply { return EvidenceReply{} }

func (s *scripted) Malformed(string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.malformed++
}

func (s *scripted) ReceiveJobRecord(NotifyArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nudges++
}

func (s *scripted) counts() (nudges, malformed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nudges, s.malformed
}

func (s *scripted) Sync(SyncArgs) SyncReply              { return SyncReply{} }
func (s *scripted) Report(wire.Heartbeat) HeartbeatReply { return HeartbeatReply{} }
func (s *scripted) Status(string) (wire.Status, bool)    { return wire.Status{}, false }
func (s *scripted) User(UserArgs) UserReply              { return UserReply{} }
func (s *scripted) Ping() bool                           { return true }
func (s *scripted) Format() int                          { return 0 }
func (s *scripted) Lend(LoanArgs) bool                   { return false }

// pipes is a listener in memory.
type pipes struct{ calls chan net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.calls
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error   { close(p.calls); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection, which ends with the test.
func (p *pipes) dial(t *testing.T) net.Conn {
	near, far := net.Pipe()
	p.calls <- far
	t.Cleanup(func() { near.Close() })
	return near
}

// serve plays a script against a server for one other controller, in bubble time.
func serve(t *testing.T, script func(t *testing.T, p *pipes, h *scripted)) {
	synctest.Test(t, func(t *testing.T) {
		p, h := &pipes{make(chan net.Conn)}, &scripted{}
		go Serve(p, h, 1)
		t.Cleanup(func() { p.Close() })
		script(t, p, h)
	})
}

// ping reports whether a connection is answered.
func ping(t *testing.T, c *rpc.Client) bool {
	t.Helper()
	var ok bool
	return c.Call("Controller.Ping", "c-1", &ok) == nil && ok
}

// closedWithin reports whether the other end closes a connection in that time.
func closedWithin(c net.Conn, d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// A call that is not sent to its end costs its own connection, and no other one.
func TestHalfSentCallIsClosed(t *testing.T) {
	serve(t, func(t *testing.T, p *pipes, h *scripted) {
		half, other := p.dial(t), rpc.NewClient(p.dial(t))
		if _, err := half.Write([]byte{40, 1, 2}); err != nil {
			t.Fatal(err)
		}
		if !ping(t, other) {
			t.Error("another controller is not answered")
		}
		if !closedWithin(half, transferTimeout+time.Second) {
			t.Error("a half-sent call keeps its connection")
		}
		if !ping(t, other) {
			t.Error("another controller is not answered any more")
		}
		if _, malformed := h.counts(); malformed != 1 {
			t.Errorf("told %d times", malformed)
		}
	})
}

func TestSilentPeerIsClosed(t *testing.T) {
	serve(t, func(t *testing.T, p *pipes, _ *scripted) {
		c := p.dial(t)
		if closedWithin(c, idleTimeout-time.Second) {
			t.Error("closed too early")
		}
		if !closedWithin(c, 2*time.Second) {
			t.Error("kept")
		}
	})
}

// A call that is too large is not taken in, and its connection is closed.
func TestOversizedCallIsRefused(t *testing.T) {
	serve(t, func(t *testing.T, p *pipes, h *scripted) {
		c := rpc.NewClient(p.dial(t))
		if err := c.Call("Controller.Nudge", NotifyArgs{Key: "k", Value: make([]byte, 4*maxRequestBytes)}, new(struct{})); err == nil {
			t.Error("taken")
		}
		if nudges, malformed := h.counts(); nudges != 0 || malformed != 1 {
			t.Errorf("%d calls taken, told %d times", nudges, malformed)
		}
		if !ping(t, rpc.NewClient(p.dial(t))) {
			t.Error("another connection is not answered")
		}
	})
}

// A call of the wrong type, or that makes no sense, is answered with an error; its
// connection goes on, since another call may be sound.
func TestWrongCallsAreAnswered(t *testing.T) {
	serve(t, func(t *testing.T, p *pipes, h *scripted) {
		c := rpc.NewClient(p.dial(t))
		for method, args := range map[string]any{
			"Controller.Nudge": "text", "Controller.Sync": []int{1}, "Controller.None": 1, "Controller.Report": NotifyArgs{Key: "k"},
		} {
			if err := c.Call(method, args, new(struct{})); err == nil {
				t.Errorf("%s(%v): taken", method, args)
			}
		}
		if err := c.Call("Controller.Nudge", NotifyArgs{Version: 1}, new(struct{})); err == nil {
			t.Error("a senseless call is taken")
		}
		if nudges, _ := h.counts(); nudges != 0 {
			t.Errorf("%d calls taken", nudges)
		}
		if !ping(t, c) {
			t.Error("the connection does not go on")
		}
	})
}

// Connections beyond what the other controllers need are refused; as others go they
// are taken again.
func TestPeersConnectionsAreBounded(t *testing.T) {
	serve(t, func(t *testing.T, p *pipes, _ *scripted) {
		var all []net.Conn
		for range maxConnsPerPeer {
			all = append(all, p.dial(t))
		}
		if !closedWithin(p.dial(t), time.Second) {
			t.Error("one too many is kept")
		}
		all[0].Close()
		synctest.Wait()
		if !ping(t, rpc.NewClient(p.dial(t))) {
			t.Error("no room after one has gone")
		}
	})
}

// Answers without end are given up.
func TestEndlessResponsesAreDropped(t *testing.T) {
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
		t.Errorf("%d bytes, err %v", n, err)
	}
}
