package testkit

import (
	"slices"
	"sort"
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// Timing is what the settings say of workers.
type Timing struct {
	Report, Lease, GangWait, GangPeer, Cancel time.Duration
}

// JobDurations says how long a job's tasks run and its image takes to come.
type JobDurations struct{ Run, Fetch time.Duration }

// Agent is a machine with its worker, which keeps the protocol in full: reports,
// tokens, sessions, leases, commands, gangs, fetches, saving and hanging. Its world
// moves it.
type Agent struct {
	Place
	w    *World
	typ  wire.MachineType
	addr string

	mu               sync.Mutex
	gone             bool
	hung             bool
	released         bool      // while it was well
	unreachableUntil time.Time // while what is stopped there counts as lost
	session          uint64
	seq              uint64
	token            uint64
	leaseStart       time.Time // when the last answered report was sent
	tasks            map[string]*agentTask
	images           map[string]bool
	notice           *float64
	changed          bool // something to report
	tokenReported    time.Time
	lastSent         time.Time
	queue            []func() // commands that wait for a hanging machine
	wake             chan struct{}
	recent           []wire.Heartbeat
}

func newAgent(w *World, id string, typ wire.MachineType, zone string, spot bool) *Agent {
	now := time.Now()
	return &Agent{
		Place: Place{ID: id, Type: typ.Name, Zone: zone, Spot: spot}, w: w, typ: typ, addr: "addr-" + id,
		leaseStart: now, session: 1, tasks: map[string]*agentTask{}, images: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// nextHeartbeat makes the next nextHeartbeat. The lock is held.
func (a *Agent) nextHeartbeat() wire.Heartbeat {
	a.seq++
	r := wire.Heartbeat{
		Machine: a.ID, Addr: a.addr, Type: a.Type, Zone: a.Zone, Spot: a.Spot,
		Session: a.session, Seq: a.seq, Token: a.token, NoticeS: a.notice,
	}
	for name, t := range a.tasks {
		r.Tasks = append(r.Tasks, wire.HeartbeatTask{Task: name, Attempt: t.attempt, State: t.state, Why: t.why, Saved: t.saved})
	}
	sort.Slice(r.Tasks, func(x, y int) bool { return r.Tasks[x].Task < r.Tasks[y].Task })
	return r
}

// maxRecent is how many reports an agent remembers, for copies that come late.
const maxRecent = 64

// run reports until the machine is gone.
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
		status, to, orders, err := a.w.deliver(a.ID, a.w.labels[node], r)
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
			if !a.hung && r.Session == a.session && orders.Token >= a.token {
				a.leaseStart = sent
				a.raiseToken(orders.Token)
				a.executeCommands(orders.Commands)
			}
			every := a.w.timing.Report
			pause = every*3/4 + time.Duration(a.w.rand.Int64N(int64(every/2)))
		}
		a.mu.Unlock()
	}
}

// sleep waits for d, or until something changed, but half a second since the last
// report at least.
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

// raiseToken takes in a token. The lock is held.
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

// markChanged marks a change that is to be reported. The lock is held.
func (a *Agent) markChanged() {
	a.changed = true
	a.wakeUp()
}

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// executeDirect carries out direct orders, or holds them while the machine hangs.
func (a *Agent) executeDirect(o wire.DirectCommands) (r wire.Heartbeat, ok bool, err error) {
	a.mu.Lock()
	if a.gone {
		a.mu.Unlock()
		a.w.Sleep(directTimeout) // it is silent
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

// execute carries out direct orders. The lock is held.
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

// heartbeat returns the worker's report.
func (a *Agent) heartbeat() (wire.Heartbeat, error) {
	a.mu.Lock()
	if a.gone || a.hung {
		a.mu.Unlock()
		a.w.Sleep(showTimeout)
		return wire.Heartbeat{}, ErrLost
	}
	defer a.mu.Unlock()
	r := a.nextHeartbeat()
	a.markDelivered(&r)
	return r, nil
}

// Hang makes the machine stand still, or go on.
func (a *Agent) Hang(hung bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hung && !hung && !a.gone {
		a.hung = false
		a.step(time.Now()) // its lease first
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

// Die ends the machine with all that is on it.
func (a *Agent) Die() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gone {
		a.dropTasks()
		a.gone, a.queue = true, nil
		a.wakeUp()
	}
}

// Tasks returns the names of the tasks on the machine, in order.
func (a *Agent) Tasks() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for name, t := range a.tasks {
		if t.active() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// RecentHeartbeats returns copies of the latest reports, the newest last.
func (a *Agent) RecentHeartbeats() []wire.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.recent)
}

// Session is the worker's, 1 until its lease first runs out.
func (a *Agent) Session() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.session
}
