package workerapi

import (
	"sync"
	"time"

	"bramblespur/internal/controller/transport"
	"bramblespur/internal/scheduler"
)

// releaseInterval makes parked responses that are due one shortly after the other go out
// together: each wake-up costs a small machine more than the response does.
const releaseInterval = 100 * time.Millisecond

// ParkedResponder makes the responses to parked heartbeats.
type ParkedResponder interface {
	// ParkedResponseLocked returns the response to a heartbeat of one of a shard's
	// machines that was parked. The shards' lock is held.
	ParkedResponseLocked(shard *scheduler.Shard, machine string, now time.Time) transport.Response
}

// parkedHeartbeat is a heartbeat whose response waits for a start on its machine.
type parkedHeartbeat struct {
	shard   *scheduler.Shard
	respond func(transport.Response)
	timer   *time.Timer
}

// LongPolls parks the responses to heartbeats that bring no commands, in case a start
// comes for their machines: at most one a machine, and each is given once, when it is
// released or its time is over. The shards' lock guards it.
type LongPolls struct {
	responder ParkedResponder
	shards    sync.Locker
	startedAt time.Time
	parked    map[string]*parkedHeartbeat // by machine
}

// NewLongPolls returns the long polls of a process that takes the shards' lock when the
// time of one is over.
func NewLongPolls(responder ParkedResponder, shards sync.Locker) *LongPolls {
	return &LongPolls{responder: responder, shards: shards, startedAt: time.Now(), parked: map[string]*parkedHeartbeat{}}
}

// ParkLocked keeps the response to a machine's heartbeat back for at most d.
func (p *LongPolls) ParkLocked(shard *scheduler.Shard, machine string, d time.Duration, respond func(transport.Response)) {
	p.ReleaseLocked(machine, time.Now()) // an older one: its worker has gone on
	h := &parkedHeartbeat{shard: shard, respond: respond}
	h.timer = time.AfterFunc(alignTimeout(time.Since(p.startedAt), d), func() {
		p.shards.Lock()
		defer p.shards.Unlock()
		if p.parked[machine] == h {
			p.ReleaseLocked(machine, time.Now())
		}
	})
	p.parked[machine] = h
}

// ParkedLocked reports whether a heartbeat of a machine is parked.
func (p *LongPolls) ParkedLocked(machine string) bool { return p.parked[machine] != nil }

// LenLocked returns how many heartbeats are parked.
func (p *LongPolls) LenLocked() int { return len(p.parked) }

// ReleaseLocked responds to a machine's heartbeat if it is parked.
func (p *LongPolls) ReleaseLocked(machine string, now time.Time) {
	h := p.parked[machine]
	if h == nil {
		return
	}
	delete(p.parked, machine)
	h.timer.Stop()
	response := p.responder.ParkedResponseLocked(h.shard, machine, now)
	go h.respond(response)
}

// ReleaseAllLocked responds to all parked heartbeats.
func (p *LongPolls) ReleaseAllLocked(now time.Time) {
	for machine := range p.parked {
		p.ReleaseLocked(machine, now)
	}
}

// alignTimeout shortens a timeout so that it ends with those of others.
func alignTimeout(sinceStart, d time.Duration) time.Duration {
	if d <= releaseInterval {
		return d
	}
	return d - (sinceStart+d)%releaseInterval
}
