package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
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

// Connections that say nothing for idleConn, or leave a request unfinished for
// slowConn, are closed: sockets are few, and half-open ones never end.
const (
	idleConn  = 90 * time.Second
	slowConn  = 10 * time.Second
	sweepEach = 5 * time.Second
)

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
	conns      map[gnet.Conn]*connState // only the event loop touches it
	swept      time.Time                // when they were last looked through
}

// connState is a connection's; only the event loop touches it.
type connState struct {
	busy    bool // a request is being answered
	last    time.Time
	partial bool // a request has begun
}

// sweep closes idle and slow connections now and then. The event loop does it as
// connections open and requests come: while there are none, no socket is wanted.
func (s *server) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepEach {
		return
	}
	s.swept = now
	for c, st := range s.conns {
		quiet := now.Sub(st.last)
		if !st.busy && (quiet > idleConn || (st.partial && quiet > slowConn)) {
			c.Close()
		}
	}
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
			s.log.Debug("malformed request", "from", c.RemoteAddr(), "err", err)
			c.Write(httpwire.AppendResponse(nil, 400, nil, 0, true))
			return gnet.Close
		}
		if n == 0 {
			if len(buf) > 0 && !st.partial { // the time of a slow request counts from its begin
				st.partial, st.last = true, time.Now()
			}
			return gnet.None
		}
		c.Discard(n)
		st.busy, st.partial, st.last = true, false, time.Now()
		req.Close = req.Close || (req.Path == wire.ReportPath && len(s.conns) > s.workerConn)
		r, now := s.handle(req, func(r reply) { s.answerLater(c, st, r, req.Close) })
		if !now {
			return gnet.None
		}
		// Most reports are answered here and now, without another turn of the
		// event loop.
		st.busy = false
		if _, err := c.Write(s.encode(r, req.Close)); err != nil || req.Close {
			return gnet.Close
		}
	}
	return gnet.None
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
