package controller

import (
	"runtime/metrics"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/httpwire"
)

// A processor that gets less than it needs fires its timers late and answers late.
// What can wait is left undone in steps. A strained process holds no answers to
// reports, and renews its lease without awaiting answers. In one that falls behind leases, reports and health checks come first:
// only a few polls are served at a time, the others refused at once, to be repeated,
// the leader plans less often, and silence of machines proves nothing. A few polls are
// served however long it lasts, so that no job is forgotten. Of one that is overloaded
// all the same another controller that has room takes a part over.
const (
	// lateStrained is how late timers are, in the mean of some, where little is
	// missing. Those of a process that has room are late by 1 to 3 ms.
	lateStrained = 30 * time.Millisecond
	// lateRoom is the same, in the mean of many, up to which a process has room for
	// another's part.
	lateRoom = 5 * time.Millisecond
	// lateMostRoom is what one late timer counts at most for that: a wave of work
	// passes.
	lateMostRoom = 20 * time.Millisecond
	lateMuch     = 300 * time.Millisecond // timers this late, in the mean of some: behind
	lateLittle   = 100 * time.Millisecond // and up to this: in time
	// lateMost is what one late timer counts at most: a process that stood still for
	// once has enough of a processor all the same.
	lateMost   = time.Second
	lateWeight = 8  // the mean is over about so many timers
	roomWeight = 40 // and that for lateRoom over so many
	// inTimeFor is how long timers must be in time before what was left undone is
	// taken up again: that alone may be what was too much.
	inTimeFor = 20 * time.Second
	// holdAgainAfter is the same for held answers, which cost little if that is wrong.
	holdAgainAfter = 5 * time.Second
	// A strained process renews its lease each renewStrained, without awaiting answers, of
	// which at most renewalsAtOnce are under way: its timers and the answers are late.
	renewStrained  = membership.LeaseTTL / 8
	renewalsAtOnce = 8
	// overloadedAfter is how long a process that left undone what can wait may still
	// fall behind before it counts as overloaded: its lease ends about then.
	overloadedAfter = membership.LeaseTTL
	// notOverloadedAfter is how long it must not be for that to end.
	notOverloadedAfter = 5 * time.Second
	// A controller that was overloaded must keep up for leastRecovery before its
	// parts go back to it, and twice as long each time it soon is overloaded again:
	// without parts it can't tell whether the cause has passed.
	leastRecovery = 2 * time.Minute
	mostRecovery  = 8 * time.Minute
	// usersPerMB is how many users' requests are served at a time for each MB of
	// memory: one of the largest size takes half of that with its copies.
	usersPerMB = 2
	leastUsers = 20
	// pollsBehind is how many polls are served at a time when the process is behind.
	pollsBehind = 4
	// memoryShort is the part of the memory limit from which that is said.
	memoryShort = 0.9
)

// pressure is whether the process keeps up.
type pressure struct {
	mean     time.Duration // of how late timers were
	longMean time.Duration
	strained bool
	// strainedAt is when timers last were late enough for that.
	strainedAt time.Time
	behind     bool
	since      time.Time // when it fell behind
	lateAt     time.Time // when timers were last late, in the mean
	// recovery is how long it must keep up after it was last overloaded; 0: it
	// never was.
	recovery   time.Duration
	overloadAt time.Time // when it was last overloaded
	overloaded bool
}

// turn takes in how late a timer fired and reports whether that changed anything.
func (p *pressure) turn(late time.Duration, now time.Time) bool {
	late = min(max(late, 0), lateMost)
	p.mean += (late - p.mean) / lateWeight
	p.longMean += (min(late, lateMostRoom) - p.longMean) / roomWeight
	if p.mean > lateLittle {
		p.lateAt = now
	}
	if p.mean > lateStrained {
		p.strained, p.strainedAt = true, now
	} else if now.Sub(p.strainedAt) >= holdAgainAfter {
		p.strained = false
	}
	was := p.behind
	switch {
	case !p.behind && p.mean > lateMuch:
		p.behind, p.since = true, now
	case p.behind && now.Sub(p.lateAt) >= inTimeFor:
		p.behind = false
	}
	p.turnOverloaded(now)
	return p.behind != was
}

// turnOverloaded tells whether the process falls behind although it leaves undone what
// can wait: another controller should own its parts.
func (p *pressure) turnOverloaded(now time.Time) {
	switch {
	case p.behind && p.mean > lateLittle && now.Sub(p.since) >= overloadedAfter:
		p.overloaded = true
		p.setRecovery()
		p.overloadAt = now
	case now.Sub(p.overloadAt) >= notOverloadedAfter:
		p.overloaded = false
	}
}

// setRecovery sets how long the process must keep up from now on. It doubles when
// the process falls behind anew within twice the time it had to keep up before.
func (p *pressure) setRecovery() {
	switch {
	case p.overloadAt.After(p.since):
		return // overloaded all along
	case p.recovery > 0 && p.since.Sub(p.overloadAt) < 2*p.recovery:
		p.recovery = min(2*p.recovery, mostRecovery)
	default:
		p.recovery = leastRecovery
	}
}

// keepsUp reports whether the process may have its own parts back: it is not behind,
// and after it was overloaded it has kept up for a while.
func (p *pressure) keepsUp(now time.Time) bool {
	return !p.behind && (p.recovery == 0 || now.Sub(p.lateAt) >= p.recovery)
}

// hasRoom reports whether the process could carry another's part besides its own.
func (p *pressure) hasRoom(now time.Time) bool {
	return p.keepsUp(now) && !p.strained && p.longMean <= lateRoom
}

// turn takes in how late the tick came. The lock is held.
func (c *Controller) turn(late time.Duration, now time.Time) {
	if !c.pressure.turn(late, now) {
		return
	}
	if c.pressure.behind {
		c.log.Info("the processor falls behind: params.resources.cpu_share is too small", "cpu_share", c.cfg.Params.Resources.CPUShare, "timers late by", c.pressure.mean)
	} else {
		c.log.Info("the processor keeps up again", "timers late by", c.pressure.mean)
	}
}

// maxUsers is how many users' requests are served at a time.
func maxUsers(r config.Resources) int {
	return max(leastUsers, int((r.MemoryMB-config.UncountedMB)*usersPerMB))
}

// admits takes a user's request in, unless there is no room for more. What is admitted
// must be let go.
func (c *Controller) admits(req httpwire.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	poll := req.Method == "GET"
	if c.users >= maxUsers(c.cfg.Params.Resources) || (poll && c.pressure.behind && c.polls >= pollsBehind) {
		return false
	}
	c.users++
	if poll {
		c.polls++
	}
	return true
}

// letGo takes in that an admitted request is answered.
func (c *Controller) letGo(req httpwire.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if req.Method == "GET" {
		c.polls--
	}
}

// memory is what the runtime tells of the process's memory, in bytes.
type memory struct{ held, live uint64 }

func readMemory() memory {
	s := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(s)
	return memory{held: s[0].Value.Uint64() - s[1].Value.Uint64(), live: s[2].Value.Uint64()}
}

// short reports whether memory comes close to the limit.
func (m memory) short(r config.Resources) bool {
	const mb = 1 << 20
	return float64(m.held)/mb+config.UncountedMB > r.MemoryMB*memoryShort
}
