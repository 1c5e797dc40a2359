// Package transport is the controller's HTTP server for users, workers and health checks, on
// gnet. One event loop owns all connections: it parses the bytes that arrive into requests,
// passes them to a Handler and writes the responses. It bounds the number of connections, the
// time and the pieces that a request may take, and the bytes buffered for all connections
// together, since sockets and memory are scarce and a slow or silent sender must not harm
// others.
//
// Only the event loop touches the state of connections, so it needs no lock. A Handler may
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

// readBufferBytes is how many bytes the event loop reads from a connection at once.
const readBufferBytes = 16 << 10

// RetryAfter is the number of seconds after which a sender is asked to repeat its request.
const RetryAfter = 1

// Handler answers requests: at once, by returning a response and true, or later, by returning
// false and calling respond exactly once, from any goroutine. It is called on the event loop.
type Handler func(req httpwire.Request, respond func(Response)) (Response, bool)

// Config configures a Server.
type Config struct {
	Handler    Handler
	Log        *slog.Logger
	Rejections *rejectlog.Log // logs malformed and slow requests
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// KeepAliveLimit is the number of open connections above which those of workers are
	// closed after each response: when all workers of another controller move to this one,
	// more may send heartbeats than there are sockets. Connections of users and peers are
	// kept.
	KeepAliveLimit int
	// MaxBuffered is the maximum number of bytes of incomplete requests and unread responses
	// that are kept for all connections together.
	MaxBuffered int
}

// Server serves requests by a Handler. Only gnet calls its On methods, all on the event loop.
// It does not use gnet's ticker, since gnet calls OnTick on a goroutine of its own.
type Server struct {
	gnet.BuiltinEventEngine
	cfg Config

	connections map[gnet.Conn]*connection // the open ones
	lastSweep   time.Time
	buffered    int // bytes of incomplete requests and unread responses of all connections
}

// New returns a server that listens once Run is called.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, connections: map[gnet.Conn]*connection{}}
}

// SocketLimits returns Config's MaxConnections and KeepAliveLimit for a process with certain
// resources. A quarter of the sockets is left for outgoing connections.
func SocketLimits(r config.Resources) (maxConnections, keepAliveLimit int) {
	return r.MaxSockets * 3 / 4, r.MaxSockets * 5 / 8
}

// Run serves on an address, host:port, until the server fails. It returns why it failed.
func (s *Server) Run(addr string) error {
	return gnet.Run(s, "tcp4://"+addr, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		// A restarted controller can bind its address at once, although connections of the
		// previous process still linger on it.
		gnet.WithReuseAddr(true), gnet.WithLogger(gnetLogger{s.cfg.Log}))
}

// OnOpen accepts a connection, or answers 503 and closes it if there are too many.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.sweep(time.Now())
	if len(s.connections) >= s.cfg.MaxConnections {
		return httpwire.AppendResponse(nil, 503, nil, RetryAfter, true), gnet.Close
	}
	state := &connection{lastActivity: time.Now()}
	s.connections[c] = state
	c.SetContext(state)
	return nil, gnet.None
}

// OnClose removes the state of a connection.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if state := s.connections[c]; state != nil {
		s.setBuffered(state, 0)
	}
	delete(s.connections, c)
	return gnet.None
}

// OnTraffic handles the requests that a connection has sent, one after the other. It closes
// the connection if it exceeds a limit.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	s.sweep(time.Now())
	// Queued requests are handled one after the other without a pause. If the loop did not
	// yield here, a process that falls behind would get to its lease, its timers and other
	// controllers' calls only when the runtime preempts the loop, every 10 ms.
	runtime.Gosched()
	state, ok := c.Context().(*connection)
	for ok && !state.busy { // further requests are handled once the response is sent
		if next, action := s.handleNext(c, state); !next {
			return action
		}
	}
	if ok && !s.withinBackpressure(c, state) {
		return gnet.Close
	}
	return gnet.None
}

// handleNext handles the next request of a connection. It returns false if no further request
// is to be handled now, and then whether the connection is kept or closed.
func (s *Server) handleNext(c gnet.Conn, state *connection) (next bool, action gnet.Action) {
	buf, _ := c.Peek(-1)
	req, n, err := httpwire.ParseRequest(buf)
	if err != nil {
		s.cfg.Rejections.Reject("request", remoteHost(c), err)
		c.Write(httpwire.AppendResponse(nil, 400, nil, 0, true))
		return false, gnet.Close
	}
	now := time.Now()
	if n == 0 {
		if !s.requestIncomplete(c, state, len(buf), now) {
			return false, s.rejectSlow(c)
		}
		return false, gnet.None
	}
	c.Discard(n)
	s.requestComplete(state, now)
	req.Close = req.Close || (req.Path == wire.HeartbeatPath && len(s.connections) > s.cfg.KeepAliveLimit)
	r, responded := s.cfg.Handler(req, func(r Response) { s.respondAsync(c, state, r, req.Close) })
	if !responded {
		return false, gnet.None
	}
	// Most heartbeats are answered here, without another turn of the event loop.
	state.busy = false
	if _, err := c.Write(s.Encode(r, req.Close)); err != nil || req.Close || c.OutboundBuffered() > maxUnreadBytes {
		return false, gnet.Close
	}
	return true, gnet.None
}

// rejectSlow answers a request that has exceeded its time, its number of pieces or the memory
// for buffers with 503, and closes the connection.
func (s *Server) rejectSlow(c gnet.Conn) gnet.Action {
	s.cfg.Rejections.Reject("slow request", remoteHost(c), errSlowRequest)
	c.Write(s.Encode(Response{Status: 503, RetryAfter: RetryAfter}, true))
	return gnet.Close
}

// errSlowRequest is the logged reason for which an incomplete request is rejected.
var errSlowRequest = errors.New("request incomplete for too long, in too many pieces, or the slowest while the buffers are full")

// remoteHost returns the address, without the port, of the other end of a connection.
func remoteHost(c gnet.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return "unknown"
	}
	return host
}

// Encode returns the bytes of a response; last says that the connection is closed after it. A
// response whose body cannot be encoded becomes a 500.
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

// respondAsync sends a response from any goroutine. Requests that arrived meanwhile are then
// handled, unless the response is the last one of the connection.
func (s *Server) respondAsync(c gnet.Conn, state *connection, r Response, last bool) {
	c.AsyncWrite(s.Encode(r, last), func(c gnet.Conn, err error) error {
		state.busy, state.lastActivity = false, time.Now()
		if last || err != nil {
			return c.Close()
		}
		if c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
}

// gnetLogger writes gnet's own messages to the server's log. It lowers the levels of infos and
// warnings by one, and logs fatal errors as errors.
type gnetLogger struct{ log *slog.Logger }

// Debugf implements gnet's logging.Logger.
func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Infof implements gnet's logging.Logger.
func (g gnetLogger) Infof(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Warnf implements gnet's logging.Logger.
func (g gnetLogger) Warnf(format string, args ...any) { g.log.Info(fmt.Sprintf(format, args...)) }

// Errorf implements gnet's logging.Logger.
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf implements gnet's logging.Logger.
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
