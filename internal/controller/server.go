package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/httpwire"
)

// reply is an answer to a request.
type reply struct {
	status     int
	body       any
	retryAfter int // seconds; 0: none
}

// handler answers requests. It calls answer exactly once, at once or later,
// from any goroutine.
type handler func(req httpwire.Request, answer func(reply))

// idleConn is how long a connection may stay without a whole request; users
// and workers that speak are far quicker.
const idleConn = 90 * time.Second

// server is the gnet side: one event loop that cuts bytes into requests.
type server struct {
	gnet.BuiltinEventEngine
	handle  handler
	log     *slog.Logger
	maxConn int
	open    atomic.Int64
	booted  chan struct{}
}

type connState struct {
	busy bool // a request is being answered; only the event loop touches it
	last time.Time
}

func (s *server) OnBoot(gnet.Engine) gnet.Action {
	close(s.booted)
	return gnet.None
}

func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if s.open.Add(1) > int64(s.maxConn) {
		return httpwire.AppendResponse(nil, 503, nil, 1, true), gnet.Close
	}
	c.SetContext(&connState{last: time.Now()})
	return nil, gnet.None
}

func (s *server) OnClose(gnet.Conn, error) gnet.Action {
	s.open.Add(-1)
	return gnet.None
}

func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	st, ok := c.Context().(*connState)
	if !ok || st.busy {
		return gnet.None // what follows is looked at once the answer is out
	}
	buf, _ := c.Peek(-1)
	req, n, err := httpwire.ParseRequest(buf)
	if err != nil {
		s.log.Debug("malformed request", "from", c.RemoteAddr(), "err", err)
		c.Write(httpwire.AppendResponse(nil, 400, nil, 0, true))
		return gnet.Close
	}
	if n == 0 {
		return gnet.None
	}
	c.Discard(n)
	st.busy = true
	st.last = time.Now()
	s.handle(req, func(r reply) {
		var body []byte
		if r.body != nil {
			var err error
			if body, err = json.Marshal(r.body); err != nil {
				s.log.Error("encode answer", "err", err)
				r.status, body = 500, nil
			}
		}
		out := httpwire.AppendResponse(nil, r.status, body, r.retryAfter, req.Close)
		c.AsyncWrite(out, func(c gnet.Conn, err error) error {
			st.busy = false
			if req.Close || err != nil {
				return c.Close()
			}
			if c.InboundBuffered() > 0 {
				return c.Wake(nil)
			}
			return nil
		})
	})
	return gnet.None
}

// gnetLog brings gnet's own messages into the project's log.
type gnetLog struct{ log *slog.Logger }

func (g gnetLog) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLog) Infof(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLog) Warnf(format string, args ...any)  { g.log.Info(fmt.Sprintf(format, args...)) }
func (g gnetLog) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
func (g gnetLog) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
