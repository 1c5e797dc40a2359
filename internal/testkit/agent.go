package testkit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// Timing holds the settings of workers: the interval of heartbeats, the lease, how long a task awaits
// its gang, how long it outlives its gang's peers, and how long a cancelled task may remain.
type Timing struct {
	Report, Lease, GangWait, GangPeer, Cancel time.Duration
}

// JobDurations is how long each task of a job runs, and how long a machine fetches its image.
type JobDurations struct{ Run, Fetch time.Duration }

// Agent is a machine with its worker, which implements the whole protocol: heartbeats, tokens,
// incarnations, leases, commands, gangs, image fetches and checkpoints. It can also hang. Its world
// advances it by calls of step. Its exported methods are safe for concurrent use.
type Agent struct {
	Place
	w    *World
	typ  wire.MachineType
	addr string

	mu               sync.Mutex
	gone             bool      // not up: it boots, has died or was released
	hung             bool      // it sends nothing and its tasks do not advance
	released         bool      // released while it was up
	unreachableUntil time.Time // until then, a stop of its tasks counts as involuntary
	session          uint64    // agent incarnation
	seq              uint64    // number of the last heartbeat
	token            uint64
	leaseStart       time.Time // when the last answered heartbeat was sent
	tasks            map[WorkerAttempt]*agentTask
	images           map[string]bool  // images on the machine
	notice           *float64         // seconds left of a spot notice; nil: none
	changed          bool             // something changed since the last heartbeat
	tokenReported    time.Time        // when a raised token last caused a heartbeat
	lastSent         time.Time        // when the last heartbeat was sent
	queue            []func()         // direct commands that wait while the machine hangs
	wake             chan struct{}    // ends a sleep early
	recent           []wire.Heartbeat // latest heartbeats, the newest last
}

func newAgent(w *World, id string, typ wire.MachineType, zone string, spot bool) *Agent {
	now := time.Now()
	return &Agent{
		Place: Place{ID: id, Type: typ.Name, Zone: zone, Spot: spot}, w: w, typ: typ, addr: "addr-" + id,
		leaseStart: now, session: 1, tasks: map[WorkerAttempt]*agentTask{}, images: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// nextHeartbeat returns the next heartbeat, with all attempts in the order of their tasks' names. The lock is held.
func (a *Agent) nextHeartbeat() wire.Heartbeat {
	a.seq++
	r := wire.Heartbeat{
		Machine: a.ID, Addr: a.addr, Type: a.Type, Zone: a.Zone, Spot: a.Spot,
		Session: a.session, Seq: a.seq, Token: a.token, NoticeS: a.notice,
	}
	for at, t := range a.tasks {
		r.Tasks = append(r.Tasks, wire.HeartbeatTask{Task: at.Task, Attempt: t.attempt, State: t.state, Why: t.why, Saved: t.saved})
	}
	slices.SortFunc(r.Tasks, func(x, y wire.HeartbeatTask) int {
		return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Attempt, y.Attempt))
	})
	return r
}

// maxRecent is how many heartbeats an agent keeps, for copies that are delivered late.
const maxRecent = 64

// run sends heartbeats until the machine is gone or the world is stopped.
func (a *Agent) run() {
	node := int(a.w.rand.Uint32()) % len(a.w.labels)
	pause := time.Duration(a.w.rand.Int64N(int64(a.w.timing.Report)))
	for {
		a.sleep(pause)
		a.mu.Lock()
		if a.gone || a.w.isStopped() {
			a.mu.Unlock()
			return
		}
		if a.hung {
			a.mu.Unlock()
			pause = 100 * time.Millisecond
			continue
		}
		r := a.nextHeartbeat()
		sent := time.Now()
		a.changed, a.lastSent = false, sent
		a.recent = append(a.recent, r)
		a.recent = a.recent[max(0, len(a.recent)-maxRecent):]
		a.mu.Unlock()
		status, to, batch, err := a.w.deliver(a.ID, a.w.labels[node], r)
		a.mu.Lock()
		switch {
		case a.gone:
		case err != nil || (status != 200 && status != 421):
			node = (node + 1) % len(a.w.labels)
			pause = time.Second
		case status == 421:
			if at := slices.Index(a.w.labels, to); at >= 0 && at != node {
				node, pause = at, 100*time.Millisecond
			} else {
				node, pause = (node+1)%len(a.w.labels), time.Second
			}
		default:
			if !a.hung && r.Session == a.session && batch.Token >= a.token {
				a.leaseStart = sent
				a.raiseToken(batch.Token)
				a.executeCommands(batch.Commands)
			}
			every := a.w.timing.Report
			pause = every*3/4 + time.Duration(a.w.rand.Int64N(int64(every/2)))
		}
		a.mu.Unlock()
	}
}

// sleep waits for d. A change to report ends it earlier, but not within half a second of the last
// heartbeat.
func (a *Agent) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return
		case <-a.w.stopped:
			return
		case <-a.wake:
			a.mu.Lock()
			early := a.changed && time.Since(a.lastSent) >= 500*time.Millisecond && !a.hung
			gone := a.gone
			a.mu.Unlock()
			if early || gone {
				return
			}
		}
	}
}

// raiseToken adopts a token if it is higher. It causes a heartbeat, but at most one in half a lease.
// The lock is held.
func (a *Agent) raiseToken(token uint64) {
	if token <= a.token {
		return
	}
	a.token = token
	if time.Since(a.tokenReported) > a.w.timing.Lease/2 {
		a.tokenReported = time.Now()
		a.markChanged()
	}
}

// markChanged notes a change that the next heartbeat should report soon. The lock is held.
func (a *Agent) markChanged() {
	a.changed = true
	a.wakeUp()
}

// wakeUp lets a sleeping agent examine its state.
func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// executeDirect executes direct commands and returns a heartbeat, and whether the token and the
// incarnation were accepted. While the machine hangs it blocks.
func (a *Agent) executeDirect(o wire.DirectCommands) (r wire.Heartbeat, ok bool, err error) {
	a.mu.Lock()
	if a.gone {
		a.mu.Unlock()
		a.w.Sleep(directTimeout) // a machine that is gone does not answer
		return r, false, ErrLost
	}
	if a.hung {
		done := make(chan struct{})
		a.queue = append(a.queue, func() {
			r, ok = a.execute(o)
			close(done)
		})
		a.mu.Unlock()
		select {
		case <-done:
			return r, ok, nil
		case <-a.w.stopped:
			return r, false, ErrLost
		}
	}
	defer a.mu.Unlock()
	r, ok = a.execute(o)
	return r, ok, nil
}

// execute executes direct commands and returns what executeDirect does. The lock is held.
func (a *Agent) execute(o wire.DirectCommands) (wire.Heartbeat, bool) {
	ok := o.Token >= a.token && o.Session == a.session
	if ok {
		a.raiseToken(o.Token)
		a.executeCommands(o.Commands)
	}
	r := a.nextHeartbeat()
	a.markDelivered(&r)
	return r, ok
}

// heartbeat returns a heartbeat on request. A machine that hangs or is gone does not answer.
func (a *Agent) heartbeat() (wire.Heartbeat, error) {
	a.mu.Lock()
	if a.gone || a.hung {
		a.mu.Unlock()
		a.w.Sleep(heartbeatRequestTimeout)
		return wire.Heartbeat{}, ErrLost
	}
	defer a.mu.Unlock()
	r := a.nextHeartbeat()
	a.markDelivered(&r)
	return r, nil
}

// Hang makes the machine hang, or resumes it: it then executes the direct commands that waited.
func (a *Agent) Hang(hung bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hung && !hung && !a.gone {
		a.hung = false
		a.step(time.Now()) // its lease may have expired, which comes before any command
		for _, f := range a.queue {
			f()
		}
		a.queue = nil
	}
	a.hung = hung
	switch {
	case hung:
		a.unreachableUntil = time.Now().Add(unreachableWholeTest)
	case a.unreachableUntil.After(time.Now()):
		a.unreachableUntil = time.Now().Add(unreachableAfterHang)
	}
	a.wakeUp()
}

// Die ends the machine and all its tasks.
func (a *Agent) Die() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gone {
		a.dropTasks()
		a.gone, a.queue = true, nil
		a.wakeUp()
	}
}

// Tasks returns the names, REF/INDEX, of the tasks that have not exited, in order.
func (a *Agent) Tasks() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for at, t := range a.tasks {
		if t.active() {
			out = append(out, at.Task)
		}
	}
	slices.Sort(out)
	return out
}

// RecentHeartbeats returns copies of the latest heartbeats, the newest last.
func (a *Agent) RecentHeartbeats() []wire.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.recent)
}

// Session returns the agent incarnation. It is 1 until the lease first expires.
func (a *Agent) Session() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.session
}
