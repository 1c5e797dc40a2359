package transport

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

// Limits on the time and the memory that connections may take.
const (
	idleTimeout = 90 * time.Second // of a connection between requests
	// requestTimeout is the time that a whole request may take from its first byte. A new
	// connection must also send its first byte within that time.
	requestTimeout = 10 * time.Second
	sweepInterval  = 5 * time.Second // minimum time between two sweeps for timed out connections
	// maxRequestFragments bounds the pieces in which a request may arrive: with each piece the
	// request is parsed from its start again. The largest request takes 200 pieces of the
	// smallest usual size.
	maxRequestFragments = 512
	// maxPipelinedBytes bounds the bytes of further requests that may arrive on a connection
	// while a request is being handled.
	maxPipelinedBytes = httpwire.MaxRequest
	// maxUnreadBytes bounds the bytes of its responses that a sender may leave unread.
	maxUnreadBytes = 64 << 10
	// bufferShare is the part of the memory left to the runtime that incomplete requests
	// and unread responses may fill. They occupy up to twice their size.
	bufferShare      = 1.0 / 16
	minBufferedBytes = 8 * httpwire.MaxRequest
)

// MaxBufferedBytes returns the limit on the bytes in the buffers of all connections together,
// for a process with certain resources.
func MaxBufferedBytes(r config.Resources) int {
	return max(minBufferedBytes, int((r.MemoryMB-config.NonRuntimeMB)*bufferShare*(1<<20)))
}

// connection is the state of one connection; only the event loop touches it.
type connection struct {
	busy           bool      // a request is being handled
	hasRequested   bool      // the connection has sent a whole request
	requestStarted bool      // part of a request has arrived
	fragments      int       // number of pieces in which that part arrived
	lastActivity   time.Time // when it opened, or last began or completed a request or a response
	buffered       int       // bytes of incomplete requests and unread responses
}

// timedOut reports whether a connection has been idle, or has not completed a request, for too
// long.
func (state *connection) timedOut(now time.Time) bool {
	if state.busy {
		return false
	}
	inactive := now.Sub(state.lastActivity)
	awaitsRequest := state.requestStarted || !state.hasRequested
	return inactive > idleTimeout || (awaitsRequest && inactive > requestTimeout)
}

// sweep closes connections that have timed out, at most once per sweepInterval. The event loop
// calls it when connections open and requests arrive: at other times no socket is needed.
func (s *Server) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for c, state := range s.connections {
		if state.timedOut(now) {
			c.Close()
		}
	}
}

// requestComplete records that a connection has sent a whole request, which is about to be
// handled.
func (s *Server) requestComplete(state *connection, now time.Time) {
	s.setBuffered(state, 0)
	state.busy, state.hasRequested = true, true
	state.requestStarted, state.fragments = false, 0
	state.lastActivity = now
}

// setBuffered records how many bytes of incomplete requests and unread responses a connection
// has.
func (s *Server) setBuffered(state *connection, bytes int) {
	s.buffered += bytes - state.buffered
	state.buffered = bytes
}

// requestIncomplete records that some bytes of a request have arrived and more are needed. It
// returns false if the connection is to be closed: the request arrives too slowly or in too
// many pieces, or it has taken longest when the buffers are full.
func (s *Server) requestIncomplete(c gnet.Conn, state *connection, bytes int, now time.Time) bool {
	s.setBuffered(state, bytes)
	if bytes == 0 {
		return true
	}
	if !state.requestStarted { // the timeout of a request counts from its first byte
		state.requestStarted, state.lastActivity = true, now
	}
	state.fragments++
	if state.fragments > maxRequestFragments || state.timedOut(now) {
		return false
	}
	return s.evictSlowest(c)
}

// withinBackpressure records how many bytes have arrived while a request is being handled, and
// how many bytes of responses are unread. It returns false if the connection is to be closed,
// because either exceeds its limit or the connection has waited longest when the buffers are
// full.
func (s *Server) withinBackpressure(c gnet.Conn, state *connection) bool {
	in, out := c.InboundBuffered(), c.OutboundBuffered()
	if in > maxPipelinedBytes || out > maxUnreadBytes {
		return false
	}
	s.setBuffered(state, in+out)
	return s.evictSlowest(c)
}

// evictSlowest closes the connections whose buffered bytes have waited longest until the others
// are within the limit on buffered bytes. If the caller's own connection is among them, it
// returns false, and the caller closes that one.
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

// slowest returns the connection whose buffered bytes have waited longest; nil: no connection
// has any.
func (s *Server) slowest() gnet.Conn {
	var oldest gnet.Conn
	for c, state := range s.connections {
		if state.buffered > 0 && (oldest == nil || state.lastActivity.Before(s.connections[oldest].lastActivity)) {
			oldest = c
		}
	}
	return oldest
}
