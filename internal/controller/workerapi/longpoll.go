package workerapi

import (
	"sync"
	"time"

	"bramblespur/internal/controller/transport"
	"bramblespur/internal/scheduler"
)

// releaseInterval is the interval at which parked responses whose timeouts end are released
// together: on a small machine a wake-up costs more than a response.
const releaseInterval = 100 * time.Millisecond

// ParkedResponder produces the responses to parked heartbeats.
type ParkedResponder interface {
	// ParkedResponseLocked returns the response to a parked heartbeat of one of a shard's
	// machines. The shards' lock is held.
	ParkedResponseLocked(shard *scheduler.Shard, machine string, now time.Time) transport.Response
}

// parkedHeartbeat is a heartbeat whose response is held back until there is a start command
// for its machine.
type parkedHeartbeat struct {
	shard   *scheduler.Shard // of the machine
	respond func(transport.Response)
	timer   *time.Timer // ends the long poll
}

// LongPolls parks responses to heartbeats that would carry no commands, in case a start
// command for the machine follows: at most one response per machine. Each is sent once, when
// it is released or its timeout ends. The shards' lock guards it.
type LongPolls struct {
	responder ParkedResponder
	shards    sync.Locker // the shards' lock
	startedAt time.Time
	parked    map[string]*parkedHeartbeat // by machine
}

// NewLongPolls returns long polls that take the shards' lock when the timeout of one ends.
func NewLongPolls(responder ParkedResponder, shards sync.Locker) *LongPolls {
	return &LongPolls{responder: responder, shards: shards, startedAt: time.Now(), parked: map[string]*parkedHeartbeat{}}
}

// ParkLocked holds back the response to a machine's heartbeat until it is released, for at
// most a timeout. A response to an earlier heartbeat of the machine is released.
func (p *LongPolls) ParkLocked(shard *scheduler.Shard, machine string, timeout time.Duration, respond func(transport.Response)) {
	p.ReleaseLocked(machine, time.Now()) // the worker no longer waits for the earlier response
	h := &parkedHeartbeat{shard: shard, respond: respond}
	h.timer = time.AfterFunc(alignTimeout(time.Since(p.startedAt), timeout), func() {
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

// ReleaseLocked responds to a machine's heartbeat if it is parked. The response is sent by
// another goroutine.
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

// alignTimeout shortens a timeout that begins sinceStart after the start of the process, so
// that it ends at a multiple of releaseInterval. A timeout within that interval is unchanged.
func alignTimeout(sinceStart, timeout time.Duration) time.Duration {
	if timeout <= releaseInterval {
		return timeout
	}
	return timeout - (sinceStart+timeout)%releaseInterval
}
