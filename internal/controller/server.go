package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"time"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// reply is an answer to a request.
type reply struct {
	status     int
	body       any
	retryAfter int  // seconds; 0: none
	settled    bool // no other controller would answer otherwise
}

// handler answers requests: at once with a reply and true, or later by calling
// answer exactly once, from any goroutine.
type handler func(req httpwire.Request, answer func(reply)) (reply, bool)

// server is the gnet side: one event loop that cuts bytes into requests. gnet calls
// OnTick on a goroutine of its own, so nothing here relies on its ticker.
type server struct {
	gnet.BuiltinEventEngine
	handle  handler
	log     *slog.Logger
	maxConn int
	// workerConn is from how many connections on those of workers are closed after
	// each answer: when a neighbour's workers all come over, more may report than
	// there are sockets, and users' and peers' connections go on.
	workerConn int
	// maxBuffered is how many bytes of unfinished requests and unread answers are kept.
	maxBuffered int
	refusals    *refusals

	// Only the event loop touches these.
	conns    map[gnet.Conn]*connState
	swept    time.Time // when they were last looked through
	buffered int       // bytes in their buffers
}

func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.sweep(time.Now())
	if len(s.conns) >= s.maxConn {
		return httpwire.AppendResponse(nil, 503, nil, 1, true), gnet.Close
	}
	st := &connState{last: time.Now()}
	s.conns[c] = st
	c.SetContext(st)
	return nil, gnet.None
}

func (s *server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if st := s.conns[c]; st != nil {
		s.buffer(st, 0)
	}
	delete(s.conns, c)
	return gnet.None
}

func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	s.sweep(time.Now())
	// Requests that wait are taken one after the other without a pause, so that a
	// process that falls behind would come to its lease, its timers and other
	// controllers' calls only when the runtime interrupts this loop, every 10 ms.
	runtime.Gosched()
	st, ok := c.Context().(*connState)
	for ok && !st.busy { // else what follows is looked at once the answer is out
		buf, _ := c.Peek(-1)
		req, n, err := httpwire.ParseRequest(buf)
		if err != nil {
			s.refusals.tell(s.log, "request", senderOf(c), err)
			c.Write(httpwire.AppendResponse(nil, 400, nil, 0, true))
			return gnet.Close
		}
		now := time.Now()
		if n == 0 {
			if !s.unfinished(c, st, len(buf), now) {
				return s.closeSlow(c)
			}
			return gnet.None
		}
		c.Discard(n)
		s.whole(st, now)
		req.Close = req.Close || (req.Path == wire.HeartbeatPath && len(s.conns) > s.workerConn)
		r, answered := s.handle(req, func(r reply) { s.answerLater(c, st, r, req.Close) })
		if !answered {
			return gnet.None
		}
		// Most reports are answered here and now, without another turn of the
		// event loop.
		st.busy = false
		if _, err := c.Write(s.encode(r, req.Close)); err != nil || req.Close || c.OutboundBuffered() > maxUnread {
			return gnet.Close
		}
	}
	if ok && !s.ahead(c, st) {
		return gnet.Close
	}
	return gnet.None
}

// closeSlow refuses a request for which there is no time or room.
func (s *server) closeSlow(c gnet.Conn) gnet.Action {
	s.refusals.tell(s.log, "slow request", senderOf(c), errSlow)
	c.Write(s.encode(reply{status: 503, retryAfter: retryLater}, true))
	return gnet.Close
}

// errSlow is why a request is given up that does not come to its end.
var errSlow = errors.New("unfinished for too long, or in too many pieces")

// senderOf names who is at the other end of a connection.
func senderOf(c gnet.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return "unknown"
	}
	return host
}

func (s *server) encode(r reply, last bool) []byte {
	var body []byte
	if r.body != nil {
		var err error
		if body, err = json.Marshal(r.body); err != nil {
			s.log.Error("encode answer", "err", err)
			r.status, body = 500, nil
		}
	}
	return httpwire.AppendResponse(nil, r.status, body, r.retryAfter, last)
}

// answerLater answers from any goroutine and goes on with what came meanwhile.
func (s *server) answerLater(c gnet.Conn, st *connState, r reply, last bool) {
	c.AsyncWrite(s.encode(r, last), func(c gnet.Conn, err error) error {
		st.busy, st.last = false, time.Now()
		if last || err != nil {
			return c.Close()
		}
		if c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
}

// gnetLog brings gnet's own messages into the project's log.
type gnetLog struct{ log *slog.Logger }

func (g gnetLog) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLog) Infof(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLog) Warnf(format string, args ...any)  { g.log.Info(fmt.Sprintf(format, args...)) }
func (g gnetLog) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
func (g gnetLog) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
