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
type conn struct {
	gnet.Conn
	in, out bytes.Buffer
	ctx     any
	unread  int  // bytes of answers that the other end has not read
	shut    bool // Close was called
}

func (c *conn) Peek(int) ([]byte, error)       { return c.in.Bytes(), nil }
func (c *conn) InboundBuffered() int           { return c.in.Len() }
func (c *conn) OutboundBuffered() int          { return c.unread }
func (c *conn) RemoteAddr() net.Addr           { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }
func (c *conn) Close() error                   { c.shut = true; return nil }
func (c *conn) Discard(n int) (int, error)     { c.in.Next(n); return n, nil }
func (c *conn) Write(b []byte) (int, error)    { return c.out.Write(b) }
func (c *conn) Context() any                   { return c.ctx }
func (c *conn) SetContext(v any)               { c.ctx = v }
func (c *conn) closed(action gnet.Action) bool { return action == gnet.Close }

// When a neighbour's workers all come over, each keeps its connection only as long
// as there are sockets to spare: what is left is for users and other controllers.
func TestWorkersLeaveSockets(t *testing.T) {
	s, _ := newServer(4, atOnce)
	s.cfg.KeepAliveLimit = 2
	ask := func(method, path string) (kept bool) {
		t.Helper()
		c := &conn{}
		if _, action := s.OnOpen(c); action == gnet.Close {
			return false
		}
		c.in.Write(httpwire.AppendRequest(nil, method, path, "x", nil))
		if c.closed(s.OnTraffic(c)) {
			s.OnClose(c, nil)
			return false
		}
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 200") {
			t.Fatalf("answered %q", c.out.String())
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
		if kept := ask(x.method, x.path); kept != x.kept {
			t.Errorf("request %d, %s: kept %t", i, x.path, kept)
		}
	}
}

// Idle and slow connections are closed by the event loop, as others open or ask. The
// engine's ticker runs on another goroutine: were it to look through the connections
// while one opens, the process would end.
func TestIdleConnectionsAreClosedByTheEventLoop(t *testing.T) {
	for name, event := range map[string]func(s *Server, other *conn){
		"another opens": func(s *Server, _ *conn) { s.OnOpen(&conn{}) },
		"another asks": func(s *Server, other *conn) {
			other.in.Write(httpwire.AppendRequest(nil, "GET", wire.ReadyPath, "x", nil))
			s.OnTraffic(other)
		},
	} {
		s, _ := newServer(16, atOnce)
		open := func(quiet time.Duration, set func(*connection)) *conn {
			c := &conn{}
			s.OnOpen(c)
			st := c.ctx.(*connection)
			st.lastActivity = st.lastActivity.Add(-quiet)
			set(st)
			return c
		}
		idle := open(2*idleTimeout, func(*connection) {})
		slow := open(2*requestTimeout, func(st *connection) { st.requestStarted = true })
		busy := open(2*idleTimeout, func(st *connection) { st.busy = true })
		fresh := open(0, func(*connection) {})
		s.OnTick()
		if idle.shut || slow.shut {
			t.Errorf("%s: the ticker's goroutine has closed a connection", name)
		}
		event(s, fresh)
		if idle.shut || slow.shut {
			t.Errorf("%s: connections looked through again at once", name)
		}
		s.lastSweep = s.lastSweep.Add(-sweepInterval)
		event(s, fresh)
		if !idle.shut || !slow.shut {
			t.Errorf("%s: idle closed %t, slow closed %t, want both", name, idle.shut, slow.shut)
		}
		if busy.shut || fresh.shut {
			t.Errorf("%s: busy closed %t, fresh closed %t, want neither", name, busy.shut, fresh.shut)
		}
	}
}

// What is ready to run, such as the renewal of the lease, comes before the next
// request however many wait.
func TestRequestsLetOthersRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var ready atomic.Bool
	ran := 0
	s, _ := newServer(4, func(httpwire.Request, func(Response)) (Response, bool) {
		if ready.Load() {
			ran++
		}
		return Response{Status: 200}, true
	})
	c := &conn{}
	s.OnOpen(c)
	for range 10 {
		ready.Store(false)
		go ready.Store(true)
		c.in.Write(httpwire.AppendRequest(nil, "POST", wire.HeartbeatPath, "x", nil))
		s.OnTraffic(c)
	}
	if ran < 8 { // each 61st time the runtime takes another order
		t.Errorf("before %d of 10 requests did what was ready run", ran)
	}
}
