// Package transport is the controller's HTTP server for users, workers and health checks, on
// gnet. One event loop owns all connections: it cuts what arrives into requests, passes them
// to a Handler and writes the responses. It bounds the number of connections, the time and
// the pieces that a request may take, and the bytes buffered for all connections together,
// since sockets and memory are few and a slow or silent sender must cost nobody else anything.
//
// State of connections is touched by the event loop alone and needs no lock. A Handler may
// respond later, from any goroutine.
package transport

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"time"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/rejectlog"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// readBufferBytes is how much the event loop reads from a connection at once.
const readBufferBytes = 16 << 10

// RetryAfter is the number of seconds after which a sender is asked to come again.
const RetryAfter = 1

// Handler answers requests: at once with a response and true, or later by calling respond
// exactly once, from any goroutine.
type Handler func(req httpwire.Request, respond func(Response)) (Response, bool)

// Config is what a Server is made of.
type Config struct {
	Handler    Handler
	Log        *slog.Logger
	Rejections *rejectlog.Log
	// MaxConnections is how many connections are accepted.
	MaxConnections int
	// KeepAliveLimit is from how many connections on those of workers are closed after
	// each response: when the workers of another controller all come over, more may send
	// heartbeats than there are sockets, and connections of users and peers go on.
	KeepAliveLimit int
	// MaxBuffered is how many bytes of incomplete requests and unread responses are kept.
	MaxBuffered int
}

// Server serves a Handler. Only gnet calls its On methods, all on the event loop; gnet
// calls OnTick on a goroutine of its own, so nothing here relies on its ticker.
type Server struct {
	gnet.BuiltinEventEngine
	cfg Config

	connections map[gnet.Conn]*connection
	lastSweep   time.Time
	buffered    int // bytes in the buffers of all connections
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, connections: map[gnet.Conn]*connection{}}
}

// SocketLimits returns the configuration's limits for a process with certain resources: a
// quarter of the sockets is left to outgoing connections.
func SocketLimits(r config.Resources) (maxConnections, keepAliveLimit int) {
	return r.MaxSockets * 3 / 4, r.MaxSockets * 5 / 8
}

// Run serves on an address until the server fails.
func (s *Server) Run(addr string) error {
	return gnet.Run(s, "tcp4://"+addr, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		// A restarted controller binds its address at once, though connections of its
		// predecessor still linger on it.
		gnet.WithReuseAddr(true), gnet.WithLogger(gnetLogger{s.cfg.Log}))
}

// OnOpen accepts a connection, or answers 503 where there are too many.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.sweep(time.Now())
	if len(s.connections) >= s.cfg.MaxConnections {
		return httpwire.AppendResponse(nil, 503, nil, RetryAfter, true), gnet.Close
	}
	st := &connection{lastActivity: time.Now()}
	s.connections[c] = st
	c.SetContext(st)
	return nil, gnet.None
}

// OnClose forgets a connection.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if st := s.connections[c]; st != nil {
		s.setBuffered(st, 0)
	}
	delete(s.connections, c)
	return gnet.None
}

// OnTraffic handles the requests that a connection has sent, one after the other.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	s.sweep(time.Now())
	// Requests that wait are handled one after the other without a pause. Without this
	// a process that falls behind would come to its lease, its timers and other
	// controllers' calls only when the runtime preempts this loop, every 10 ms.
	runtime.Gosched()
	st, ok := c.Context().(*connection)
	for ok && !st.busy { // what follows is handled once the response is out
		if next, action := s.handleNext(c, st); !next {
			return action
		}
	}
	if ok && !s.withinBackpressure(c, st) {
		return gnet.Close
	}
	return gnet.None
}

// handleNext handles the next request of a connection. It returns false if no further one is
// to be handled now, and what becomes of the connection.
func (s *Server) handleNext(c gnet.Conn, st *connection) (next bool, action gnet.Action) {
	buf, _ := c.Peek(-1)
	req, n, err := httpwire.ParseRequest(buf)
	if err != nil {
		s.cfg.Rejections.Reject("request", remoteHost(c), err)
		c.Write(httpwire.AppendResponse(nil, 400, nil, 0, true))
		return false, gnet.Close
	}
	now := time.Now()
	if n == 0 {
		if !s.requestIncomplete(c, st, len(buf), now) {
			return false, s.rejectSlow(c)
		}
		return false, gnet.None
	}
	c.Discard(n)
	s.requestComplete(st, now)
	req.Close = req.Close || (req.Path == wire.HeartbeatPath && len(s.connections) > s.cfg.KeepAliveLimit)
	r, responded := s.cfg.Handler(req, func(r Response) { s.respondAsync(c, st, r, req.Close) })
	if !responded {
		return false, gnet.None
	}
	// Most heartbeats are answered here, without another turn of the event loop.
	st.busy = false
	if _, err := c.Write(s.Encode(r, req.Close)); err != nil || req.Close || c.OutboundBuffered() > maxUnreadBytes {
		return false, gnet.Close
	}
	return true, gnet.None
}

// rejectSlow refuses a request for which there is no time or memory.
func (s *Server) rejectSlow(c gnet.Conn) gnet.Action {
	s.cfg.Rejections.Reject("slow request", remoteHost(c), errSlowRequest)
	c.Write(s.Encode(Response{Status: 503, RetryAfter: RetryAfter}, true))
	return gnet.Close
}

// errSlowRequest is why a request that does not come to its end is given up.
var errSlowRequest = errors.New("incomplete for too long, or in too many pieces")

// remoteHost names who is at the other end of a connection.
func remoteHost(c gnet.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return "unknown"
	}
	return host
}

// Encode returns the bytes of a response; last says that the connection closes after it.
func (s *Server) Encode(r Response, last bool) []byte {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = json.Marshal(r.Body); err != nil {
			s.cfg.Log.Error("response not encoded", "err", err)
			r.Status, body = 500, nil
		}
	}
	return httpwire.AppendResponse(nil, r.Status, body, r.RetryAfter, last)
}

// respondAsync responds from any goroutine and goes on with what arrived meanwhile.
func (s *Server) respondAsync(c gnet.Conn, st *connection, r Response, last bool) {
	c.AsyncWrite(s.Encode(r, last), func(c gnet.Conn, err error) error {
		st.busy, st.lastActivity = false, time.Now()
		if last || err != nil {
			return c.Close()
		}
		if c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
}

// gnetLogger writes gnet's own messages to the project's log.
type gnetLogger struct{ log *slog.Logger }

// Debugf implements logging.Logger of gnet.
func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Infof implements logging.Logger of gnet.
func (g gnetLogger) Infof(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Warnf implements logging.Logger of gnet.
func (g gnetLogger) Warnf(format string, args ...any) { g.log.Info(fmt.Sprintf(format, args...)) }

// Errorf implements logging.Logger of gnet.
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf implements logging.Logger of gnet.
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
