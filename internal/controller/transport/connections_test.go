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

// newServer returns a server that has room for so many scripted connections, and what it logs.
func newServer(connections int, handler Handler) (*Server, *bytes.Buffer) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	return New(Config{
		Log: log, Handler: handler, Rejections: rejectlog.New(log),
		MaxConnections: connections, KeepAliveLimit: connections, MaxBuffered: minBufferedBytes,
	}), &out
}

// atOnce answers every request with 200.
func atOnce(httpwire.Request, func(Response)) (Response, bool) { return Response{Status: 200}, true }

// never answers no request.
func never(httpwire.Request, func(Response)) (Response, bool) { return Response{}, false }

// open makes a connection.
func (s *Server) open() *conn {
	c := &conn{}
	s.OnOpen(c)
	return c
}

// send brings bytes of a connection and reports whether it goes on.
func (s *Server) send(c *conn, b []byte) bool {
	c.in.Write(b)
	if s.OnTraffic(c) == gnet.Close || c.shut {
		s.OnClose(c, nil)
		c.shut = true
	}
	return !c.shut
}

// submission is the largest submission that is taken.
func submission() []byte {
	return httpwire.AppendRequest(nil, "POST", wire.JobsPath, "x", bytes.Repeat([]byte(" "), httpwire.MaxBody))
}

// A sender that trickles a request one byte at a time is closed in time, though
// nothing else comes: neither another connection nor another request.
func TestTricklingSenderIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, out := newServer(4, atOnce)
		c := s.open()
		begun := time.Now()
		for _, b := range submission() {
			time.Sleep(500 * time.Millisecond)
			if !s.send(c, []byte{b}) {
				break
			}
		}
		if took := time.Since(begun); !c.shut || took > requestTimeout+sweepInterval {
			t.Errorf("closed %t after %v", c.shut, took)
		}
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 503") || !strings.Contains(c.out.String(), "Retry-After") {
			t.Errorf("answered %q", c.out.String())
		}
		if s.buffered != 0 || len(s.connections) != 0 {
			t.Errorf("%d bytes and %d connections are left", s.buffered, len(s.connections))
		}
		if got := strings.Count(out.String(), "\n"); got != 1 {
			t.Errorf("%d lines: %s", got, out.String())
		}
	})
}

// One that does so without a pause is closed after so many pieces: each is a look at
// all that has come, and the processor is small.
func TestPiecesOfARequestAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(4, atOnce)
		c := s.open()
		pieces := 0
		for _, b := range submission() {
			if pieces++; !s.send(c, []byte{b}) {
				break
			}
		}
		if pieces != maxRequestFragments+1 {
			t.Errorf("closed after %d pieces", pieces)
		}
		// The largest request in packets of the smallest usual size goes through.
		c = s.open()
		for rest := submission(); len(rest) > 0; {
			n := min(len(rest), 536)
			if !s.send(c, rest[:n]) {
				t.Fatal("closed")
			}
			rest = rest[n:]
		}
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 200") {
			t.Errorf("answered %q", c.out.String())
		}
	})
}

// Connections that never ask anything are closed sooner than those that are kept
// between requests: else they hold all sockets for as long.
func TestSilentConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(4, atOnce)
		get := httpwire.AppendRequest(nil, "GET", wire.ReadyPath, "x", nil)
		silent, kept := s.open(), s.open()
		s.send(kept, get)
		time.Sleep(requestTimeout + time.Second)
		s.send(s.open(), get)
		if !silent.shut || kept.shut {
			t.Errorf("silent closed %t, kept closed %t", silent.shut, kept.shut)
		}
	})
}

// Half-sent requests on all sockets of a small machine, 900 and 49 MB, keep a bounded
// amount of memory, and requests that come whole are still answered.
func TestHalfSentRequestsAreBoundedInAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, out := newServer(900*3/4, atOnce)
		s.cfg.MaxBuffered = MaxBufferedBytes(config.Resources{MemoryMB: 49, MaxSockets: 900})
		half := submission()
		half = half[:len(half)-1]
		var all []*conn
		for range s.cfg.MaxConnections - 1 {
			c := s.open()
			all = append(all, c)
			s.send(c, half)
			if s.buffered > s.cfg.MaxBuffered {
				t.Fatalf("%d bytes are kept", s.buffered)
			}
			for _, old := range all { // what was closed by another's traffic
				if old.shut {
					s.OnClose(old, nil)
				}
			}
			time.Sleep(time.Millisecond)
		}
		if !all[0].shut || all[len(all)-1].shut {
			t.Errorf("the oldest closed %t, the newest %t", all[0].shut, all[len(all)-1].shut)
		}
		if most := 3 << 20; s.buffered > most {
			t.Errorf("%d bytes are kept", s.buffered)
		}
		c := s.open()
		s.send(c, submission())
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 200") {
			t.Errorf("a whole request is answered %q", c.out.String())
		}
		if got := strings.Count(out.String(), "\n"); got > 1 {
			t.Errorf("%d lines", got)
		}
	})
}

// A sender that goes on while its request is being answered, or does not read its
// answers, is closed before it fills the memory.
func TestSenderThatRunsAheadIsClosed(t *testing.T) {
	get := httpwire.AppendRequest(nil, "GET", wire.ReadyPath, "x", nil)
	s, _ := newServer(4, never)
	c := s.open()
	sent := 0
	for sent < 4*maxPipelinedBytes && s.send(c, get) {
		sent += len(get)
	}
	if sent > maxPipelinedBytes+len(get) || s.buffered != 0 {
		t.Errorf("closed %t after %d bytes, %d are kept", c.shut, sent, s.buffered)
	}
	s, _ = newServer(4, atOnce)
	c = s.open()
	c.unread = maxUnreadBytes
	if !s.send(c, get) {
		t.Error("closed for answers on their way")
	}
	c.unread++
	if s.send(c, get) {
		t.Error("goes on though its answers are not read")
	}
}

// What makes no sense is answered 400, closes its connection and is logged once,
// however often it comes and under however many names.
func TestMalformedRequestsAreLoggedOnce(t *testing.T) {
	s, out := newServer(4, atOnce)
	for range 100 {
		c := s.open()
		if s.send(c, []byte("nonsense\r\n\r\n")) {
			t.Fatal("goes on")
		}
		if !strings.HasPrefix(c.out.String(), "HTTP/1.1 400") {
			t.Fatalf("answered %q", c.out.String())
		}
	}
	if got := strings.Count(out.String(), "\n"); got != 1 {
		t.Errorf("%d lines: %s", got, out.String())
	}
}
