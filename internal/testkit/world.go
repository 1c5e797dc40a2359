package testkit

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/cloud"
	"bramblespur/internal/wire"
)

// Node is a process of a controller as workers and users reach it.
type Node interface {
	// Handle answers a request; it may take its time.
	Handle(method, path string, body []byte) (status int, answer []byte, err error)
}

// World is all that surrounds the controllers: the state service, the cloud, the
// machines, the users and the network between them, in the bubble time of
// testing/synctest. Its checker watches.
type World struct {
	State   *Service
	Net     *Network
	check   *Checker
	timing  Timing
	types   []wire.MachineType
	labels  []string
	rand    *rand.Rand
	over    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	nodes    map[string]Node
	agents   map[string]*Agent
	specs    map[string]wire.Spec
	lengths  map[string]Length
	rentals  map[string][]string
	rented   int
	boot     time.Duration
	full     bool
	finished map[string]bool // completed tasks, whose results are kept
	told     map[string]string
	onEnd    func(ref string) // called when the last task of a job completes
	mute     map[int]func(string) bool
	mutes    int
}

// Ends of the network besides controllers, by label, and machines, by name.
const (
	UsersEnd = "users"
	CloudEnd = "cloud"
)

// Timeouts of the outside world's clients.
const (
	reportTimeout = 4 * time.Second
	pollTimeout   = 2 * time.Second
	submitTimeout = 5 * time.Second
	directTimeout = 3 * time.Second
	showTimeout   = 1500 * time.Millisecond
	worldStep     = 100 * time.Millisecond
	usualBoot     = 5 * time.Second
)

// NewWorld returns a world for controllers of the given labels, and starts its time.
// Whatever it chooses follows from the seed.
func NewWorld(labels []string, types []wire.MachineType, timing Timing, check *Checker, seed uint64) *World {
	w := &World{
		State: NewService(), Net: NewNetwork(), check: check, timing: timing, types: types, labels: labels,
		rand: rand.New(&lockedSource{src: rand.NewPCG(seed, 1)}), over: make(chan struct{}), nodes: map[string]Node{}, agents: map[string]*Agent{},
		specs: map[string]wire.Spec{}, lengths: map[string]Length{}, rentals: map[string][]string{}, boot: usualBoot,
		finished: map[string]bool{}, told: map[string]string{}, mute: map[int]func(string) bool{},
	}
	w.running.Go(w.tick)
	return w
}

// lockedSource is a source for several goroutines.
type lockedSource struct {
	mu  sync.Mutex
	src rand.Source
}

// Uint64 implements rand.Source.
func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.src.Uint64()
}

// Stop ends the world and waits until nothing of it runs.
func (w *World) Stop() {
	close(w.over)
	w.running.Wait()
}

func (w *World) isOver() bool {
	select {
	case <-w.over:
		return true
	default:
		return false
	}
}

// Go runs f beside the test; Stop waits for it.
func (w *World) Go(f func()) { w.running.Go(f) }

// Sleep waits, and reports false if the world is over first.
func (w *World) Sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.over:
		return false
	}
}

// SetNode puts a process at a label, nil for none.
func (w *World) SetNode(label string, n Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n == nil {
		delete(w.nodes, label)
		return
	}
	w.nodes[label] = n
}

func (w *World) node(label string) Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[label]
}

func (w *World) spec(ref string) (wire.Spec, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.specs[ref]
	return s, ok
}

func (w *World) length(ref string) Length {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lengths[ref]
}

func (w *World) completed(ref string, i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finished[ref+"/"+strconv.Itoa(i)]
}

// Machines returns all machines that are up, by name.
func (w *World) Machines() []*Agent {
	w.mu.Lock()
	out := slices.Collect(maps.Values(w.agents))
	w.mu.Unlock()
	out = slices.DeleteFunc(out, func(a *Agent) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.gone
	})
	slices.SortFunc(out, func(a, b *Agent) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Zone returns a machine's zone, "" for what is none.
func (w *World) Zone(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.agents[id]; a != nil {
		return a.Zone
	}
	return ""
}

// On returns the machines with a task of a job, by name.
func (w *World) On(ref string) []*Agent {
	return slices.DeleteFunc(w.Machines(), func(a *Agent) bool {
		return !slices.ContainsFunc(a.Tasks(), func(t string) bool { return strings.HasPrefix(t, ref+"/") })
	})
}

// tick moves the machines.
func (w *World) tick() {
	for w.Sleep(worldStep) {
		now := time.Now()
		all := w.Machines()
		for _, a := range all {
			a.mu.Lock()
			a.step(now)
			a.mu.Unlock()
		}
		w.gangs(all, now)
		w.check.Look(w.room)
	}
}

// member is a gang's task on its machine.
type member struct {
	a *Agent
	t *agentTask
}

// gangs lets gangs start, complete and fall apart.
func (w *World) gangs(all []*Agent, now time.Time) {
	gangs := map[string][]member{}
	var names []string
	for _, a := range all {
		a.mu.Lock()
		for _, t := range a.tasks {
			if s, ok := w.spec(t.ref); ok && s.Kind == wire.Gang && t.on() && !a.hung {
				key := fmt.Sprintf("%s#%d", t.ref, t.attempt)
				if gangs[key] == nil {
					names = append(names, key)
				}
				gangs[key] = append(gangs[key], member{a, t})
			}
		}
		a.mu.Unlock()
	}
	slices.Sort(names)
	for _, name := range names {
		ms := gangs[name]
		s, _ := w.spec(ms[0].t.ref)
		count := map[string]int{}
		var since time.Time
		for _, m := range ms {
			m.a.mu.Lock()
			count[m.t.state]++
			since = later(since, m.t.since)
			m.a.mu.Unlock()
		}
		active := count[wire.Running] + count[wire.Saving]
		switch {
		case count[wire.Gathering] == s.Tasks:
			w.each(ms, func(m member) { m.t.state, m.t.since = wire.Running, now; m.a.note() })
		case count[wire.Running] == s.Tasks && now.Sub(since) >= w.length(s.Ref).Run:
			w.each(ms, func(m member) { m.a.exit(m.t, wire.Done, false) })
		case active > 0 && active < s.Tasks:
			w.each(ms, func(m member) {
				if m.t.state != wire.Running {
					return
				}
				if m.t.alone.IsZero() {
					m.t.alone = now
				}
				if now.Sub(m.t.alone) >= w.timing.GangPeer {
					m.a.exit(m.t, wire.WhyPeers, false)
				}
			})
		}
	}
}

func (w *World) each(ms []member, f func(member)) {
	for _, m := range ms {
		m.a.mu.Lock()
		if m.t.on() {
			f(m)
		}
		m.a.mu.Unlock()
	}
}

func (w *World) finish(ref string, i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished[ref+"/"+strconv.Itoa(i)] = true
	for i := range w.specs[ref].Tasks {
		if !w.finished[ref+"/"+strconv.Itoa(i)] {
			return
		}
	}
	if w.onEnd != nil {
		go w.onEnd(ref)
	}
}

// OnEnd sets what happens beside the test when the last task of a job completes.
func (w *World) OnEnd(f func(ref string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onEnd = f
}

// room reports whether what a job still needs fits on the machines that are up.
func (w *World) room(s *wire.Spec, may func(zone string) bool) bool {
	fits := map[string]int{} // by zone where all have to be in one
	for _, a := range w.Machines() {
		if (s.Types != nil && !slices.Contains(s.Types, a.Type)) || (s.Zone != nil && *s.Zone != a.Zone) || (a.Spot && !s.Spot) || !may(a.Zone) {
			continue
		}
		cpus, gpus, mem := a.typ.CPUs, a.typ.GPUs, a.typ.MemoryGB
		a.mu.Lock()
		usable := !a.hung && a.notice == nil
		for _, t := range a.tasks {
			if o, ok := w.spec(t.ref); ok && t.on() {
				cpus, gpus, mem = cpus-o.CPUs, gpus-o.GPUs, mem-o.MemoryGB
			}
		}
		a.mu.Unlock()
		for usable && cpus >= s.CPUs && gpus >= s.GPUs && mem >= s.MemoryGB && (s.CPUs > 0 || s.GPUs > 0 || s.MemoryGB > 0) {
			zone := ""
			if s.OneZone {
				zone = a.Zone
			}
			fits[zone]++
			cpus, gpus, mem = cpus-s.CPUs, gpus-s.GPUs, mem-s.MemoryGB
		}
	}
	need := 1
	if s.Kind == wire.Gang {
		need = s.Tasks
	}
	for _, n := range fits {
		if n >= need {
			return true
		}
	}
	return false
}

// deliver brings a worker's report to a controller.
func (w *World) deliver(from, to string, r wire.Report) (status int, redirect string, o wire.Orders, err error) {
	body, _ := json.Marshal(r)
	type answer struct {
		status int
		body   []byte
	}
	if w.isMute(from) {
		w.Sleep(reportTimeout)
		return 0, "", o, ErrLost
	}
	a, err := Call(w.Net, from, to, reportTimeout, func() (answer, error) {
		n := w.node(to)
		if n == nil {
			return answer{}, ErrRefused
		}
		status, body, err := n.Handle("POST", wire.ReportPath, body)
		return answer{status, body}, err
	})
	if err != nil {
		return 0, "", o, err
	}
	switch a.status {
	case 200:
		err = json.Unmarshal(a.body, &o)
	case 421:
		var red wire.Redirect
		err = json.Unmarshal(a.body, &red)
		redirect = red.Label
	}
	return a.status, redirect, o, err
}

// Mute keeps machines from opening connections to controllers, while direct commands
// reach them, until heal is called.
func (w *World) Mute(ids func(string) bool) (heal func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mutes++
	n := w.mutes
	w.mute[n] = ids
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.mute, n)
	}
}

// Mend ends every trouble of the network, the state service and the machines.
func (w *World) Mend() {
	w.Net.Heal()
	w.State.Decide(nil)
	w.State.Outage(false)
	w.State.Slow(0)
	for _, label := range w.labels {
		w.State.Refuse(label, false)
		w.State.Cut(label, false)
	}
	w.mu.Lock()
	clear(w.mute)
	w.boot, w.full = usualBoot, false
	w.mu.Unlock()
	for _, a := range w.Machines() {
		a.Hang(false)
	}
}

func (w *World) isMute(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ids := range w.mute {
		if ids(id) {
			return true
		}
	}
	return false
}

// Replay brings copies of reports to a controller, as a network does late. What is
// answered goes to nobody. It reports how many were answered.
func (w *World) Replay(to string, reports ...wire.Report) int {
	n := 0
	for _, r := range reports {
		if _, _, _, err := w.deliver("late", to, r); err == nil {
			n++
		}
	}
	return n
}

// Direct is how a controller's process reaches workers. It implements agent.API.
type Direct struct {
	w    *World
	from string
	life context.Context
}

var _ agent.API = (*Direct)(nil)

// Direct returns the way to workers for a process that lives as long as ctx.
func (w *World) Direct(ctx context.Context, from string) *Direct { return &Direct{w, from, ctx} }

// at returns the machine at an address.
func (w *World) at(addr string) *Agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[strings.TrimPrefix(addr, "addr-")]
}

// Command implements agent.API.
func (d *Direct) Command(_ context.Context, addr string, o wire.DirectOrders) (wire.Report, bool, error) {
	a := d.w.at(addr)
	if a == nil || d.life.Err() != nil {
		return wire.Report{}, false, ErrLost
	}
	type answer struct {
		r  wire.Report
		ok bool
	}
	got, err := Call(d.w.Net, d.from, a.ID, directTimeout, func() (answer, error) {
		r, ok, err := a.command(o)
		return answer{r, ok}, err
	})
	if d.life.Err() != nil {
		return wire.Report{}, false, ErrLost
	}
	return got.r, got.ok, err
}

// Show implements agent.API.
func (d *Direct) Show(_ context.Context, addr string) (wire.Report, error) {
	a := d.w.at(addr)
	if a == nil || d.life.Err() != nil {
		return wire.Report{}, ErrLost
	}
	r, err := Call(d.w.Net, d.from, a.ID, showTimeout, a.show)
	if d.life.Err() != nil {
		return wire.Report{}, ErrLost
	}
	return r, err
}

// Rentals is how a controller's process reaches the cloud. It implements cloud.API.
type Rentals struct {
	w    *World
	from string
	life context.Context
}

var _ cloud.API = (*Rentals)(nil)

// Rentals returns the cloud for a process that lives as long as ctx.
func (w *World) Rentals(ctx context.Context, from string) *Rentals { return &Rentals{w, from, ctx} }

const cloudTimeout = 5 * time.Second

// Types implements cloud.API.
func (c *Rentals) Types(context.Context) ([]wire.MachineType, error) {
	return Call(c.w.Net, c.from, CloudEnd, cloudTimeout, func() ([]wire.MachineType, error) { return c.w.types, c.life.Err() })
}

// Rent implements cloud.API: a repeated name gives the same machines.
func (c *Rentals) Rent(_ context.Context, r wire.Rental) ([]string, error) {
	return Call(c.w.Net, c.from, CloudEnd, cloudTimeout, func() ([]string, error) {
		if err := c.life.Err(); err != nil {
			return nil, err
		}
		return c.w.rent(r)
	})
}

func (w *World) rent(r wire.Rental) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ids, ok := w.rentals[r.Request]; ok {
		return ids, nil
	}
	if w.full {
		return nil, cloud.ErrNoCapacity
	}
	var ids []string
	for range r.Count {
		w.rented++
		id := fmt.Sprintf("i-%06d", w.rented)
		ids = append(ids, id)
		for _, t := range w.types {
			if t.Name == r.Type {
				w.bootLater(newAgent(w, id, t, r.Zone, r.Spot))
			}
		}
	}
	w.rentals[r.Request] = ids
	return ids, nil
}

// bootLater lets a rented machine come up. The lock is held.
func (w *World) bootLater(a *Agent) {
	a.gone = true
	w.agents[a.ID] = a
	boot := w.boot
	w.running.Go(func() {
		if !w.Sleep(boot) {
			return
		}
		w.mu.Lock()
		still := w.agents[a.ID] == a
		w.mu.Unlock()
		a.mu.Lock()
		a.gone, a.leaseFrom = !still, time.Now()
		a.mu.Unlock()
		if still {
			a.run()
		}
	})
}

// Boot sets how long machines take to come up, and whether there are any.
func (w *World) Boot(d time.Duration, full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot, w.full = d, full
}

// Return implements cloud.API: the machines are gone before it answers.
func (c *Rentals) Return(_ context.Context, ids []string) error {
	_, err := Call(c.w.Net, c.from, CloudEnd, cloudTimeout, func() (struct{}, error) {
		if err := c.life.Err(); err != nil {
			return struct{}{}, err
		}
		for _, id := range ids {
			c.w.mu.Lock()
			a := c.w.agents[id]
			delete(c.w.agents, id)
			c.w.mu.Unlock()
			if a != nil {
				a.Die()
			}
		}
		return struct{}{}, nil
	})
	return err
}

// List implements cloud.API.
func (c *Rentals) List(context.Context) ([]wire.Listed, error) {
	return Call(c.w.Net, c.from, CloudEnd, cloudTimeout, func() ([]wire.Listed, error) {
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		var out []wire.Listed
		for _, a := range c.w.agents {
			out = append(out, wire.Listed{ID: a.ID, Addr: a.addr, Type: a.Type, Zone: a.Zone, Spot: a.Spot, State: wire.Running})
		}
		slices.SortFunc(out, func(a, b wire.Listed) int { return strings.Compare(a.ID, b.ID) })
		return out, c.life.Err()
	})
}

// Budget implements cloud.API.
func (c *Rentals) Budget(float64) {}

// Ask sends a user's request to a node and has the checker look at the answer.
func (w *World) Ask(kind Request, label, ref string, body []byte) (status int, state string) {
	method, path, timeout := "POST", wire.JobsPath, submitTimeout
	switch kind {
	case Poll:
		method, path, timeout = "GET", wire.JobsPath+"/"+ref, pollTimeout
	case Cancellation:
		path = wire.JobsPath + "/" + ref + "/" + wire.CancelWord
		w.check.Cancel(ref)
	}
	asked := time.Now()
	type answer struct {
		status int
		body   []byte
	}
	a, err := Call(w.Net, UsersEnd, label, timeout, func() (answer, error) {
		n := w.node(label)
		if n == nil {
			return answer{}, ErrRefused
		}
		status, body, err := n.Handle(method, path, body)
		return answer{status, body}, err
	})
	if err != nil {
		return 0, ""
	}
	var s wire.Status
	if len(a.body) > 0 && json.Unmarshal(a.body, &s) != nil {
		return a.status, ""
	}
	w.check.Answer(kind, ref, asked, time.Now(), a.status, s.State)
	return a.status, s.State
}

// Register uploads a job's description, as users do before they submit it.
func (w *World) Register(s wire.Spec, l Length) {
	w.mu.Lock()
	w.specs[s.Ref] = s
	w.lengths[s.Ref] = l
	w.mu.Unlock()
	w.check.Submit(s)
}

// Submit submits a job once.
func (w *World) Submit(label string, s wire.Spec, l Length) (status int, state string) {
	w.Register(s, l)
	body, _ := json.Marshal(s)
	return w.Ask(Submission, label, s.Ref, body)
}

// Until repeats a request, at one node after the other as a load balancer would,
// until it is answered with a state, or for at most d.
func (w *World) Until(kind Request, ref string, body []byte, d time.Duration) (state string, ok bool) {
	end := time.Now().Add(d)
	for i := int(w.rand.Uint32() % uint32(len(w.labels))); time.Now().Before(end); i++ {
		label := w.labels[i%len(w.labels)]
		if w.node(label) == nil {
			if !w.Sleep(10 * time.Millisecond) {
				return "", false
			}
			continue
		}
		if status, state := w.Ask(kind, label, ref, body); status == 200 || status == 201 {
			w.mu.Lock()
			w.told[ref] = state
			w.mu.Unlock()
			return state, true
		}
		if !w.Sleep(time.Second) {
			return "", false
		}
	}
	return "", false
}

// Follow polls a job every few seconds until it is over, as its user does.
func (w *World) Follow(ref string) {
	w.running.Go(func() {
		for {
			state, _ := w.Until(Poll, ref, nil, 20*time.Second)
			if state == wire.Done || state == wire.Cancelled || !w.Sleep(5*time.Second) {
				return
			}
		}
	})
}

// IsService reports whether a job is a service.
func (w *World) IsService(ref string) bool {
	s, _ := w.spec(ref)
	return s.Kind == wire.Service
}

// Told returns the state of a job that its user was told last.
func (w *World) Told(ref string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.told[ref]
}
