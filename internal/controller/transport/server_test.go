package transport

import (
	"bytes"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// conn is a scripted connection.
type scriptedConn struct {
	gnet.Conn
	in, out   bytes.Buffer
	ctx       any
	unread    int  // bytes of responses that the other end has not read
	wasClosed bool // Close was called
}

func (c *scriptedConn) Peek(int) ([]byte, error)       { return c.in.Bytes(), nil }
func (c *scriptedConn) InboundBuffered() int           { return c.in.Len() }
func (c *scriptedConn) OutboundBuffered() int          { return c.unread }
func (c *scriptedConn) RemoteAddr() net.Addr           { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }
func (c *scriptedConn) Close() error                   { c.wasClosed = true; return nil }
func (c *scriptedConn) Discard(n int) (int, error)     { c.in.Next(n); return n, nil }
func (c *scriptedConn) Write(b []byte) (int, error)    { return c.out.Write(b) }
func (c *scriptedConn) Context() any                   { return c.ctx }
func (c *scriptedConn) SetContext(v any)               { c.ctx = v }
func (c *scriptedConn) closed(action gnet.Action) bool { return action == gnet.Close }

// When all workers of another controller move to this one, their connections are kept only
// while there are sockets to spare: the rest is for users and other controllers.
func TestWorkersLeaveSocketsForOthers(t *testing.T) {
	s, _ := newServer(4, respondAtOnce)
	s.cfg.KeepAliveLimit = 2
	request := func(method, path string) (kept bool) {
		t.Helper()
		c := &scriptedConn{}
		if _, action := s.OnOpen(c); action == gnet.Close {
			return false
		}
		c.in.Write(httpwire.AppendRequest(nil, method, path, "x", nil))
		if c.closed(s.OnTraffic(c)) {
			s.OnClose(c, nil)
			return false
		}
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 200") {
			t.Fatalf("request answered %q, want 200", c.out.String())
		}
		return true
	}
	for i, x := range []struct {
		method, path string
		kept         bool
	}{
		{"POST", wire.HeartbeatPath, true}, {"POST", wire.HeartbeatPath, true}, {"POST", wire.HeartbeatPath, false},
		{"GET", wire.JobsPath + "/run-000001", true}, {"POST", wire.HeartbeatPath, false},
		{"GET", wire.ReadyPath, true}, {"GET", wire.ReadyPath, false},
	} {
		if kept := request(x.method, x.path); kept != x.kept {
			t.Errorf("request %d, %s: connection kept %t, want the opposite", i, x.path, kept)
		}
	}
}

// Idle and slow connections are closed by the event loop when other connections open or send
// requests. The engine's ticker runs on another goroutine: if it iterated over the connections
// while one opens, the process would crash.
func TestIdleConnectionsAreClosedByTheEventLoop(t *testing.T) {
	for name, event := range map[string]func(s *Server, other *scriptedConn){
		"another opens": func(s *Server, _ *scriptedConn) { s.OnOpen(&scriptedConn{}) },
		"another sends a request": func(s *Server, other *scriptedConn) {
			other.in.Write(httpwire.AppendRequest(nil, "GET", wire.ReadyPath, "x", nil))
			s.OnTraffic(other)
		},
	} {
		s, _ := newServer(16, respondAtOnce)
		open := func(inactive time.Duration, set func(*connection)) *scriptedConn {
			c := &scriptedConn{}
			s.OnOpen(c)
			state := c.ctx.(*connection)
			state.lastActivity = state.lastActivity.Add(-inactive)
			set(state)
			return c
		}
		idle := open(2*idleTimeout, func(*connection) {})
		slow := open(2*requestTimeout, func(state *connection) { state.requestStarted = true })
		busy := open(2*idleTimeout, func(state *connection) { state.busy = true })
		fresh := open(0, func(*connection) {})
		s.OnTick()
		if idle.wasClosed || slow.wasClosed {
			t.Errorf("%s: OnTick closed a connection, want only the event loop to close connections", name)
		}
		event(s, fresh)
		if idle.wasClosed || slow.wasClosed {
			t.Errorf("%s: connections swept again within sweepInterval", name)
		}
		s.lastSweep = s.lastSweep.Add(-sweepInterval)
		event(s, fresh)
		if !idle.wasClosed || !slow.wasClosed {
			t.Errorf("%s: idle connection closed %t, slow one closed %t, want both closed", name, idle.wasClosed, slow.wasClosed)
		}
		if busy.wasClosed || fresh.wasClosed {
			t.Errorf("%s: busy connection closed %t, fresh one closed %t, want neither closed", name, busy.wasClosed, fresh.wasClosed)
		}
	}
}

// Other goroutines that are ready to run, such as the one that renews the lease, run before the
// next request, however many requests are queued.
func TestRequestsLetOtherGoroutinesRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var ready atomic.Bool
	ranBefore := 0 // requests before which the other goroutine ran
	s, _ := newServer(4, func(httpwire.Request, func(Response)) (Response, bool) {
		if ready.Load() {
			ranBefore++
		}
		return Response{Status: 200}, true
	})
	c := &scriptedConn{}
	s.OnOpen(c)
	for range 10 {
		ready.Store(false)
		go ready.Store(true)
		c.in.Write(httpwire.AppendRequest(nil, "POST", wire.HeartbeatPath, "x", nil))
		s.OnTraffic(c)
	}
	if ranBefore < 8 { // every 61st time the runtime uses another order
		t.Errorf("the other goroutine ran before %d of 10 requests, want at least 8", ranBefore)
	}
}
