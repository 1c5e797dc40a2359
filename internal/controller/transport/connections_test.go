package transport

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/rejectlog"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// newServer returns a server that accepts a number of scripted connections, and the buffer that
// it logs to.
func newServer(connections int, handler Handler) (*Server, *bytes.Buffer) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	return New(Config{
		Log: log, Handler: handler, Rejections: rejectlog.New(log),
		MaxConnections: connections, KeepAliveLimit: connections, MaxBuffered: minBufferedBytes,
	}), &out
}

// respondAtOnce is a Handler that answers every request with 200 at once.
func respondAtOnce(httpwire.Request, func(Response)) (Response, bool) {
	return Response{Status: 200}, true
}

// neverRespond is a Handler that leaves every request unanswered.
func neverRespond(httpwire.Request, func(Response)) (Response, bool) { return Response{}, false }

// open opens a scripted connection.
func (s *Server) open() *scriptedConn {
	c := &scriptedConn{}
	s.OnOpen(c)
	return c
}

// send delivers bytes that arrive on a connection and reports whether it stays open.
func (s *Server) send(c *scriptedConn, b []byte) bool {
	c.in.Write(b)
	if s.OnTraffic(c) == gnet.Close || c.wasClosed {
		s.OnClose(c, nil)
		c.wasClosed = true
	}
	return !c.wasClosed
}

// submission returns a request with the largest body that is accepted.
func submission() []byte {
	return httpwire.AppendRequest(nil, "POST", wire.JobsPath, "x", bytes.Repeat([]byte(" "), httpwire.MaxBody))
}

// A connection that sends a request one byte at a time is closed in time, even if no other
// connection opens and no other request arrives.
func TestTricklingSenderIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, out := newServer(4, respondAtOnce)
		c := s.open()
		startedAt := time.Now()
		for _, b := range submission() {
			time.Sleep(500 * time.Millisecond)
			if !s.send(c, []byte{b}) {
				break
			}
		}
		if took := time.Since(startedAt); !c.wasClosed || took > requestTimeout+sweepInterval {
			t.Errorf("closed %t after %v, want closed once requestTimeout is over", c.wasClosed, took)
		}
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 503") || !strings.Contains(c.out.String(), "Retry-After") {
			t.Errorf("a slow request is answered %q, want 503 and Retry-After", c.out.String())
		}
		if s.buffered != 0 || len(s.connections) != 0 {
			t.Errorf("%d buffered bytes and %d connections are left, want none", s.buffered, len(s.connections))
		}
		if got := strings.Count(out.String(), "\n"); got != 1 {
			t.Errorf("%d lines are logged, want 1: %s", got, out.String())
		}
	})
}

// A connection that sends a request in small pieces without a pause is closed after
// maxRequestFragments pieces: with each piece the request is parsed from its start again, and
// CPU time is scarce.
func TestPiecesOfARequestAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(4, respondAtOnce)
		c := s.open()
		pieces := 0
		for _, b := range submission() {
			if pieces++; !s.send(c, []byte{b}) {
				break
			}
		}
		if pieces != maxRequestFragments+1 {
			t.Errorf("closed after %d pieces, want maxRequestFragments+1", pieces)
		}
		// The largest request in packets of the smallest usual size is accepted.
		c = s.open()
		for rest := submission(); len(rest) > 0; {
			n := min(len(rest), 536)
			if !s.send(c, rest[:n]) {
				t.Fatal("connection closed while it sent the largest request")
			}
			rest = rest[n:]
		}
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 200") {
			t.Errorf("the largest request is answered %q, want 200", c.out.String())
		}
	})
}

// Connections that never send a request are closed sooner than those that are kept between
// requests. Otherwise they could hold all sockets for the longer time.
func TestSilentConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(4, respondAtOnce)
		get := httpwire.AppendRequest(nil, "GET", wire.ReadyPath, "x", nil)
		silent, kept := s.open(), s.open()
		s.send(kept, get)
		time.Sleep(requestTimeout + time.Second)
		s.send(s.open(), get)
		if !silent.wasClosed || kept.wasClosed {
			t.Errorf("silent connection closed %t, want true; idle connection closed %t, want false", silent.wasClosed, kept.wasClosed)
		}
	})
}

// On a small machine with 900 sockets and 49 MB, half-sent requests on all connections take a
// bounded amount of memory, and whole requests are still answered.
func TestHalfSentRequestsAreBoundedInAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, out := newServer(900*3/4, respondAtOnce)
		s.cfg.MaxBuffered = MaxBufferedBytes(config.Resources{MemoryMB: 49, MaxSockets: 900})
		half := submission()
		half = half[:len(half)-1]
		var all []*scriptedConn
		for range s.cfg.MaxConnections - 1 {
			c := s.open()
			all = append(all, c)
			s.send(c, half)
			if s.buffered > s.cfg.MaxBuffered {
				t.Fatalf("%d bytes are buffered, want at most MaxBuffered", s.buffered)
			}
			for _, old := range all { // connections closed by the traffic of another
				if old.wasClosed {
					s.OnClose(old, nil)
				}
			}
			time.Sleep(time.Millisecond)
		}
		if !all[0].wasClosed || all[len(all)-1].wasClosed {
			t.Errorf("oldest connection closed %t, want true; newest closed %t, want false", all[0].wasClosed, all[len(all)-1].wasClosed)
		}
		if most := 3 << 20; s.buffered > most {
			t.Errorf("%d bytes are buffered, want at most 3 MiB", s.buffered)
		}
		c := s.open()
		s.send(c, submission())
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 200") {
			t.Errorf("a whole request is answered %q, want 200", c.out.String())
		}
		if got := strings.Count(out.String(), "\n"); got > 1 {
			t.Errorf("%d lines are logged, want at most 1", got)
		}
	})
}

// A connection that sends on while its request is being handled, or that does not read its
// responses, is closed before it fills the memory.
func TestSenderThatExceedsBackpressureIsClosed(t *testing.T) {
	get := httpwire.AppendRequest(nil, "GET", wire.ReadyPath, "x", nil)
	s, _ := newServer(4, neverRespond)
	c := s.open()
	sent := 0
	for sent < 4*maxPipelinedBytes && s.send(c, get) {
		sent += len(get)
	}
	if sent > maxPipelinedBytes+len(get) || s.buffered != 0 {
		t.Errorf("closed %t after %d bytes, want true after at most maxPipelinedBytes; %d bytes are buffered, want 0", c.wasClosed, sent, s.buffered)
	}
	s, _ = newServer(4, respondAtOnce)
	c = s.open()
	c.unread = maxUnreadBytes
	if !s.send(c, get) {
		t.Error("connection closed although its unread responses are within the limit")
	}
	c.unread++
	if s.send(c, get) {
		t.Error("connection stays open although its unread responses exceed the limit")
	}
}

// A malformed request is answered 400 and its connection closed. It is logged once for a
// sender, however many connections it uses.
func TestMalformedRequestsAreLoggedOnce(t *testing.T) {
	s, out := newServer(4, respondAtOnce)
	for range 100 {
		c := s.open()
		if s.send(c, []byte("nonsense\r\n\r\n")) {
			t.Fatal("connection stays open after a malformed request")
		}
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 400") {
			t.Fatalf("a malformed request is answered %q, want 400", c.out.String())
		}
	}
	if got := strings.Count(out.String(), "\n"); got != 1 {
		t.Errorf("%d lines are logged, want 1: %s", got, out.String())
	}
}
