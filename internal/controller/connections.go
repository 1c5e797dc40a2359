package controller

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

// Bounds of connections in time and memory: sockets are few and so is memory, and a
// sender that is slow, silent or never reads costs nobody else anything.
const (
	idleConn  = 90 * time.Second // a connection that says nothing is closed after this
	slowConn  = 10 * time.Second // one that leaves a request unfinished, or never begins one
	sweepEach = 5 * time.Second
	// maxPieces is in how many pieces a request may come: each is a look at all that
	// is there. The largest takes 200 of the smallest usual size.
	maxPieces = 512
	// maxAhead is how much may come of the next request before the answer to the last.
	maxAhead = httpwire.MaxRequest
	// maxUnread is how much of its answers a sender may leave unread.
	maxUnread = 64 << 10
	// bufferShare is the part of the memory left to the runtime that unfinished
	// requests and unread answers may fill. They take up to twice their size.
	bufferShare   = 1.0 / 16
	leastBuffered = 8 * httpwire.MaxRequest
)

// maxBuffered is how many bytes all connections together may leave in buffers.
func maxBuffered(r config.Resources) int {
	return max(leastBuffered, int((r.MemoryMB-config.UncountedMB)*bufferShare*(1<<20)))
}

// connState is a connection's; only the event loop touches it.
type connState struct {
	busy     bool // a request is being answered
	asked    bool // it has sent a whole request
	partial  bool // a request has begun
	pieces   int  // in so many pieces
	last     time.Time
	buffered int // bytes of what is not finished
}

// tooSlow reports whether a connection has had its time.
func (st *connState) tooSlow(now time.Time) bool {
	quiet := now.Sub(st.last)
	return !st.busy && (quiet > idleConn || ((st.partial || !st.asked) && quiet > slowConn))
}

// sweep closes idle and slow connections now and then. The event loop does it as
// connections open and requests come: while there are none, no socket is wanted.
func (s *server) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepEach {
		return
	}
	s.swept = now
	for c, st := range s.conns {
		if st.tooSlow(now) {
			c.Close()
		}
	}
}

// whole takes in that a connection has sent a whole request.
func (s *server) whole(st *connState, now time.Time) {
	s.buffer(st, 0)
	st.busy, st.asked, st.partial, st.pieces, st.last = true, true, false, 0, now
}

// buffer takes in how many bytes of a connection are unfinished.
func (s *server) buffer(st *connState, n int) {
	s.buffered += n - st.buffered
	st.buffered = n
}

// unfinished takes in that n bytes of a request have come and more are needed. It
// reports false if the connection is to be closed: the request comes too slowly, in
// too many pieces, or is the one that has taken longest when there is no room left.
func (s *server) unfinished(c gnet.Conn, st *connState, n int, now time.Time) bool {
	s.buffer(st, n)
	if n == 0 {
		return true
	}
	if !st.partial { // the time of a slow request counts from its begin
		st.partial, st.last = true, now
	}
	st.pieces++
	if st.pieces > maxPieces || st.tooSlow(now) {
		return false
	}
	return s.makeRoom(c)
}

// ahead takes in what has come while a request is being answered, or is left unread of
// answers. It reports false if the connection is to be closed.
func (s *server) ahead(c gnet.Conn, st *connState) bool {
	in, out := c.InboundBuffered(), c.OutboundBuffered()
	if in > maxAhead || out > maxUnread {
		return false
	}
	s.buffer(st, in+out)
	return s.makeRoom(c)
}

// makeRoom closes the connections that have been unfinished for longest until the
// others have room. It reports false if the caller's own is among them.
func (s *server) makeRoom(own gnet.Conn) bool {
	for s.buffered > s.maxBuffered {
		var oldest gnet.Conn
		for c, st := range s.conns {
			if st.buffered > 0 && (oldest == nil || st.last.Before(s.conns[oldest].last)) {
				oldest = c
			}
		}
		if oldest == nil || oldest == own {
			return oldest == nil
		}
		s.buffer(s.conns[oldest], 0)
		oldest.Close()
	}
	return true
}
