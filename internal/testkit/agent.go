package testkit

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"bramblespur/internal/wire"
)

// Timing is what the settings say of workers.
type Timing struct {
	Report, Lease, GangWait, GangPeer, Cancel time.Duration
}

// Length says how long a job's tasks run and its image takes to come.
type Length struct{ Run, Fetch time.Duration }

// Agent is a machine with its worker, which keeps the protocol in full: reports,
// tokens, sessions, leases, commands, gangs, fetches, saving and hanging. Its world
// moves it.
type Agent struct {
	Place
	w    *World
	typ  wire.MachineType
	addr string

	mu        sync.Mutex
	gone      bool
	hung      bool
	session   uint64
	seq       uint64
	token     uint64
	leaseFrom time.Time // when the last answered report was sent
	tasks     map[string]*agentTask
	images    map[string]bool
	notice    *float64
	changed   bool // something to report
	tokenTold time.Time
	lastSent  time.Time
	queue     []func() // commands that wait for a hanging machine
	wake      chan struct{}
	last      []wire.Report
}

type agentTask struct {
	ref     string
	i       int
	attempt uint64
	state   string
	why     string
	saved   bool
	since   time.Time // in this state
	stopped bool
	saveEnd time.Time
	alone   time.Time // since when a gang's mate is missing
}

func (t *agentTask) on() bool { return t.state != wire.Exited }

func newAgent(w *World, id string, typ wire.MachineType, zone string, spot bool) *Agent {
	now := time.Now()
	return &Agent{
		Place: Place{ID: id, Type: typ.Name, Zone: zone, Spot: spot}, w: w, typ: typ, addr: "addr-" + id,
		leaseFrom: now, session: 1, tasks: map[string]*agentTask{}, images: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// report makes the next report. The lock is held.
func (a *Agent) report() wire.Report {
	a.seq++
	r := wire.Report{
		Machine: a.ID, Addr: a.addr, Type: a.Type, Zone: a.Zone, Spot: a.Spot,
		Session: a.session, Seq: a.seq, Token: a.token, NoticeS: a.notice,
	}
	for name, t := range a.tasks {
		r.Tasks = append(r.Tasks, wire.ReportTask{Task: name, Attempt: t.attempt, State: t.state, Why: t.why, Saved: t.saved})
	}
	sort.Slice(r.Tasks, func(x, y int) bool { return r.Tasks[x].Task < r.Tasks[y].Task })
	return r
}

// kept is how many reports an agent remembers, for copies that come late.
const kept = 64

// run reports until the machine is gone.
func (a *Agent) run() {
	node := int(a.w.rand.Uint32()) % len(a.w.labels)
	pause := time.Duration(a.w.rand.Int64N(int64(a.w.timing.Report)))
	for {
		a.sleep(pause)
		a.mu.Lock()
		if a.gone || a.w.isOver() {
			a.mu.Unlock()
			return
		}
		if a.hung {
			a.mu.Unlock()
			pause = 100 * time.Millisecond
			continue
		}
		r := a.report()
		sent := time.Now()
		a.changed, a.lastSent = false, sent
		a.last = append(a.last, r)
		a.last = a.last[max(0, len(a.last)-kept):]
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
				a.leaseFrom = sent
				a.see(orders.Token)
				a.obey(orders.Commands)
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
		case <-a.w.over:
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

// see takes in a token. The lock is held.
func (a *Agent) see(token uint64) {
	if token <= a.token {
		return
	}
	a.token = token
	if time.Since(a.tokenTold) > a.w.timing.Lease/2 {
		a.tokenTold = time.Now()
		a.note()
	}
}

// note marks a change that is to be reported. The lock is held.
func (a *Agent) note() {
	a.changed = true
	a.poke()
}

func (a *Agent) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// obey carries out commands in order. The lock is held.
func (a *Agent) obey(commands []wire.Command) {
	for _, c := range commands {
		t := a.tasks[c.Task]
		switch c.Op {
		case wire.Start:
			if t == nil || t.attempt != c.Attempt {
				a.start(c.Task, c.Attempt)
			}
		case wire.Stop:
			if t != nil && t.attempt == c.Attempt && t.on() {
				grace := time.Duration(0)
				if c.GraceS != nil {
					grace = time.Duration(*c.GraceS * float64(time.Second))
				}
				a.stop(t, grace)
			}
		case wire.Forget:
			if t != nil && t.attempt == c.Attempt && !t.on() {
				delete(a.tasks, c.Task)
			}
		}
	}
}

// start carries out a start. The lock is held.
func (a *Agent) start(name string, attempt uint64) {
	ref, num, _ := strings.Cut(name, "/")
	i := 0
	fmt.Sscanf(num, "%d", &i)
	now := time.Now()
	t := &agentTask{ref: ref, i: i, attempt: attempt, state: wire.Exited, since: now}
	spec, known := a.w.spec(ref)
	old := a.tasks[name]
	var cpus, gpus, mem float64
	for _, o := range a.tasks {
		if s, ok := a.w.spec(o.ref); ok && o.on() {
			cpus, gpus, mem = cpus+s.CPUs, gpus+s.GPUs, mem+s.MemoryGB
		}
	}
	const slack = 1e-6
	switch {
	case old != nil && old.on():
		return // in use: the other attempt stays, which its reports tell
	case !known || i >= spec.Tasks:
		t.why = wire.WhyUnknown
	case cpus+spec.CPUs > a.typ.CPUs+slack || gpus+spec.GPUs > a.typ.GPUs+slack || mem+spec.MemoryGB > a.typ.MemoryGB+slack:
		t.why = wire.WhyNoRoom
	default:
		t.state = wire.Fetching
		a.w.check.On(name, a.Place)
	}
	a.tasks[name] = t
	a.note()
}

// stop carries out a stop. The lock is held.
func (a *Agent) stop(t *agentTask, grace time.Duration) {
	spec, _ := a.w.spec(t.ref)
	save := time.Duration(spec.SaveS * float64(time.Second))
	if t.state == wire.Running && !t.stopped && spec.CheckpointS > 0 && grace >= save {
		t.stopped, t.state, t.since, t.saveEnd = true, wire.Saving, time.Now(), time.Now().Add(save)
		a.note()
		return
	}
	if t.state == wire.Saving && grace > 0 {
		return
	}
	a.exit(t, wire.WhyStopped, false)
}

// exit ends a task. The lock is held.
func (a *Agent) exit(t *agentTask, why string, saved bool) {
	t.state, t.why, t.saved, t.since = wire.Exited, why, saved, time.Now()
	a.w.check.Off(t.name(), a.Place)
	if why == wire.Done {
		a.w.finish(t.ref, t.i)
		a.w.check.Done(t.ref, t.i)
	}
	a.note()
}

func (t *agentTask) name() string { return fmt.Sprintf("%s/%d", t.ref, t.i) }

// drop ends all tasks without a word. The lock is held.
func (a *Agent) drop() {
	for name, t := range a.tasks {
		if t.on() {
			a.w.check.Off(name, a.Place)
		}
	}
	a.tasks = map[string]*agentTask{}
}

// step moves time on: the lease, fetches, runs and saves. The lock is held.
func (a *Agent) step(now time.Time) {
	if a.gone || a.hung {
		return
	}
	if now.Sub(a.leaseFrom) > a.w.timing.Lease {
		a.drop()
		a.session++
		a.leaseFrom = now
		a.note()
		return
	}
	for _, t := range a.tasks {
		spec, ok := a.w.spec(t.ref)
		if !ok || !t.on() {
			continue
		}
		length := a.w.length(t.ref)
		switch t.state {
		case wire.Fetching:
			if !a.images[spec.Image] && now.Sub(t.since) < length.Fetch {
				continue
			}
			a.images[spec.Image] = true
			if a.w.completed(t.ref, t.i) {
				a.exit(t, wire.Done, false) // its result is kept
				continue
			}
			t.state, t.since = wire.Running, now
			if spec.Kind == wire.Gang {
				t.state = wire.Gathering
			}
			a.note()
		case wire.Gathering:
			if now.Sub(t.since) > a.w.timing.GangWait {
				a.exit(t, wire.WhyIncomplete, false)
			}
		case wire.Running:
			if spec.Kind == wire.Array && now.Sub(t.since) >= length.Run {
				a.exit(t, wire.Done, false)
			}
		case wire.Saving:
			if !now.Before(t.saveEnd) {
				a.exit(t, wire.WhyStopped, true)
			}
		}
	}
}

// command carries out direct orders, or holds them while the machine hangs.
func (a *Agent) command(o wire.DirectOrders) (r wire.Report, ok bool, err error) {
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
		case <-a.w.over:
			return r, false, ErrLost
		}
	}
	defer a.mu.Unlock()
	r, ok = a.execute(o)
	return r, ok, nil
}

// execute carries out direct orders. The lock is held.
func (a *Agent) execute(o wire.DirectOrders) (wire.Report, bool) {
	ok := o.Token >= a.token && o.Session == a.session
	if ok {
		a.see(o.Token)
		a.obey(o.Commands)
	}
	return a.report(), ok
}

// show returns the worker's report.
func (a *Agent) show() (wire.Report, error) {
	a.mu.Lock()
	if a.gone || a.hung {
		a.mu.Unlock()
		a.w.Sleep(showTimeout)
		return wire.Report{}, ErrLost
	}
	defer a.mu.Unlock()
	return a.report(), nil
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
	a.poke()
}

// Die ends the machine with all that is on it.
func (a *Agent) Die() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gone {
		a.drop()
		a.gone, a.queue = true, nil
		a.poke()
	}
}

// Tasks returns the names of the tasks on the machine, in order.
func (a *Agent) Tasks() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for name, t := range a.tasks {
		if t.on() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Reports returns copies of the latest reports, the newest last.
func (a *Agent) Reports() []wire.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.last)
}

// Session is the worker's, 1 until its lease first runs out.
func (a *Agent) Session() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.session
}
