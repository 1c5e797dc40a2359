package controller

import (
	"runtime/metrics"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/httpwire"
)

// A processor that gets less than it needs fires its timers late and answers late.
// Leases, reports and health checks then come first: only a few polls are served at
// a time, the others refused at once, to be repeated, and the leader plans less often.
// A few are served however long it lasts, so that no job is forgotten.
const (
	lateMuch   = 300 * time.Millisecond // timers this late, in the mean of some: behind
	lateLittle = 100 * time.Millisecond // and up to this: not any more
	// lateMost is what one late timer counts at most: a process that stood still for
	// once has enough of a processor all the same.
	lateMost   = time.Second
	lateWeight = 8 // the mean is over about so many timers
	// planBehind is how long the leader waits between its plans when it is behind.
	planBehind = 3 * syncEvery
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
	mean   time.Duration // of how late timers were
	behind bool
}

// turn takes in how late a timer fired and reports whether that changed anything.
func (p *pressure) turn(late time.Duration) bool {
	late = min(max(late, 0), lateMost)
	p.mean += (late - p.mean) / lateWeight
	was := p.behind
	p.behind = p.mean > lateMuch || (was && p.mean > lateLittle)
	return p.behind != was
}

// turn takes in how late the tick came. The lock is held.
func (c *Controller) turn(late time.Duration) {
	if !c.pressure.turn(late) {
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
