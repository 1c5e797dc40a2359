package transport

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

// Bounds of a connection in time and memory.
const (
	idleTimeout    = 90 * time.Second // of a connection between requests
	requestTimeout = 10 * time.Second // for a whole request, also the first one
	sweepInterval  = 5 * time.Second
	// maxRequestFragments is in how many pieces a request may arrive: each is a look at
	// all that is there. The largest takes 200 of the smallest usual size.
	maxRequestFragments = 512
	// maxPipelinedBytes is how much may arrive of the next request before the response to
	// the last.
	maxPipelinedBytes = httpwire.MaxRequest
	// maxUnreadBytes is how much of its responses a sender may leave unread.
	maxUnreadBytes = 64 << 10
	// bufferShare is the part of the memory left to the runtime that incomplete requests
	// and unread responses may fill. They take up to twice their size.
	bufferShare      = 1.0 / 16
	minBufferedBytes = 8 * httpwire.MaxRequest
)

// MaxBufferedBytes is how many bytes all connections together may leave in buffers.
func MaxBufferedBytes(r config.Resources) int {
	return max(minBufferedBytes, int((r.MemoryMB-config.UncountedMB)*bufferShare*(1<<20)))
}

// connection is the state of one connection; only the event loop touches it.
type connection struct {
	busy           bool // a request is being handled
	hasRequested   bool // it has sent a whole request
	requestStarted bool // part of a request has arrived
	fragments      int  // in so many pieces
	lastActivity   time.Time
	buffered       int // bytes of what is not complete
}

// timedOut reports whether a connection has had its time.
func (st *connection) timedOut(now time.Time) bool {
	if st.busy {
		return false
	}
	quiet := now.Sub(st.lastActivity)
	waitsForRequest := st.requestStarted || !st.hasRequested
	return quiet > idleTimeout || (waitsForRequest && quiet > requestTimeout)
}

// sweep closes idle and slow connections now and then. The event loop does it as
// connections open and requests arrive: while there are none, no socket is needed.
func (s *Server) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for c, st := range s.connections {
		if st.timedOut(now) {
			c.Close()
		}
	}
}

// requestComplete records that a connection has sent a whole request, which is handled next.
func (s *Server) requestComplete(st *connection, now time.Time) {
	s.setBuffered(st, 0)
	st.busy, st.hasRequested = true, true
	st.requestStarted, st.fragments = false, 0
	st.lastActivity = now
}

// setBuffered records how many bytes of a connection are incomplete or unread.
func (s *Server) setBuffered(st *connection, n int) {
	s.buffered += n - st.buffered
	st.buffered = n
}

// requestIncomplete records that n bytes of a request have arrived and more are needed. It
// returns false if the connection is to be closed: the request comes too slowly, in too many
// pieces, or is the one that has taken longest when there is no memory left.
func (s *Server) requestIncomplete(c gnet.Conn, st *connection, n int, now time.Time) bool {
	s.setBuffered(st, n)
	if n == 0 {
		return true
	}
	if !st.requestStarted { // the time of a slow request counts from its first byte
		st.requestStarted, st.lastActivity = true, now
	}
	st.fragments++
	if st.fragments > maxRequestFragments || st.timedOut(now) {
		return false
	}
	return s.evictSlowest(c)
}

// withinBackpressure records what has arrived while a request is being handled, and what is
// left unread of responses. It returns false if the connection is to be closed.
func (s *Server) withinBackpressure(c gnet.Conn, st *connection) bool {
	in, out := c.InboundBuffered(), c.OutboundBuffered()
	if in > maxPipelinedBytes || out > maxUnreadBytes {
		return false
	}
	s.setBuffered(st, in+out)
	return s.evictSlowest(c)
}

// evictSlowest closes the connections that have been incomplete for longest until the others
// keep to the memory. It returns false if the caller's own is among them.
func (s *Server) evictSlowest(own gnet.Conn) bool {
	for s.buffered > s.cfg.MaxBuffered {
		oldest := s.slowest()
		if oldest == nil || oldest == own {
			return oldest == nil
		}
		s.setBuffered(s.connections[oldest], 0)
		oldest.Close()
	}
	return true
}

// slowest returns the connection whose buffered bytes have waited longest; nil: there is none.
func (s *Server) slowest() gnet.Conn {
	var oldest gnet.Conn
	for c, st := range s.connections {
		if st.buffered > 0 && (oldest == nil || st.lastActivity.Before(s.connections[oldest].lastActivity)) {
			oldest = c
		}
	}
	return oldest
}
