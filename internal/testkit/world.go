package testkit

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblespur/internal/record"
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
	State      *StateService
	Net        *Network
	check      *Checker
	timing     Timing
	types      []wire.MachineType
	labels     []string
	rand       *rand.Rand
	stopped    chan struct{}
	goroutines sync.WaitGroup

	mu             sync.Mutex
	nodes          map[string]Node
	agents         map[string]*Agent
	specs          map[string]wire.Spec
	durations      map[string]JobDurations
	provisioned    map[string][]string
	machineCount   int
	bootTime       time.Duration
	noCapacity     bool
	completedTasks map[string]bool // completed tasks, whose results are kept
	lastStates     map[string]string
	onJobCompleted func(ref string) // called when the last task of a job completes
	muted          map[int]func(string) bool
	muteCount      int
	commandLog     CommandLog
	observe        Observer
	assignAddr     func(*Agent) string // gives a machine an address; nil: one of the scripted network
}

// Ends of the network besides controllers, by label, and machines, by name.
const (
	UsersEndpoint = "users"
	CloudEndpoint = "cloud"
)

// Timeouts of the outside world's clients.
const (
	reportTimeout   = 4 * time.Second
	pollTimeout     = 2 * time.Second
	submitTimeout   = 5 * time.Second
	directTimeout   = 3 * time.Second
	showTimeout     = 1500 * time.Millisecond
	stepInterval    = 100 * time.Millisecond
	defaultBootTime = 5 * time.Second
)

// NewWorld returns a world for controllers of the given labels, and starts its time.
// Whatever it chooses follows from the seed.
func NewWorld(labels []string, types []wire.MachineType, timing Timing, check *Checker, seed uint64) *World {
	w := &World{
		State: NewStateService(), Net: NewNetwork(), check: check, timing: timing, types: types, labels: labels,
		rand: rand.New(&lockedSource{src: rand.NewPCG(seed, 1)}), stopped: make(chan struct{}), nodes: map[string]Node{}, agents: map[string]*Agent{},
		specs: map[string]wire.Spec{}, durations: map[string]JobDurations{}, provisioned: map[string][]string{}, bootTime: defaultBootTime,
		completedTasks: map[string]bool{}, lastStates: map[string]string{}, muted: map[int]func(string) bool{},
	}
	check.SetCompletionLookup(w.completionRecorded)
	w.goroutines.Go(w.run)
	return w
}

// completionRecorded reports whether a record tells that a task has completed.
func (w *World) completionRecorded(ref string, task int) bool {
	if _, ended := w.State.Entry(record.FinishedJobKey(ref)); ended {
		return true
	}
	for _, e := range w.State.Entries(record.PlacementsPrefix) {
		var placements record.Placements
		if json.Unmarshal(e.Value, &placements) != nil {
			continue
		}
		for name, r := range placements.Ranges {
			if job, _, ok := record.SplitRangeName(name); ok && job == ref && r.HasCompleted(task) {
				return true
			}
		}
	}
	return false
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
	close(w.stopped)
	w.goroutines.Wait()
}

func (w *World) isStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// Go runs f beside the test; Stop waits for it.
func (w *World) Go(f func()) { w.goroutines.Go(f) }

// Sleep waits, and reports false if the world is over first.
func (w *World) Sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.stopped:
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
	spec, ok := w.specs[ref]
	return spec, ok
}

func (w *World) jobDurations(ref string) JobDurations {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.durations[ref]
}

func (w *World) completed(ref string, i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.completedTasks[ref+"/"+strconv.Itoa(i)]
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

// MachinesOf returns the machines with a task of a job, by name.
func (w *World) MachinesOf(ref string) []*Agent {
	return slices.DeleteFunc(w.Machines(), func(a *Agent) bool {
		return !slices.ContainsFunc(a.Tasks(), func(t string) bool { return strings.HasPrefix(t, ref+"/") })
	})
}

// run moves the machines.
func (w *World) run() {
	for w.Sleep(stepInterval) {
		now := time.Now()
		all := w.Machines()
		for _, a := range all {
			a.mu.Lock()
			a.step(now)
			a.mu.Unlock()
		}
		w.stepGangs(all, now)
		w.check.CheckDurations(w.hasRoom)
	}
}

func (w *World) completeTask(ref string, i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completedTasks[ref+"/"+strconv.Itoa(i)] = true
	for i := range w.specs[ref].Tasks {
		if !w.completedTasks[ref+"/"+strconv.Itoa(i)] {
			return
		}
	}
	if w.onJobCompleted != nil {
		go w.onJobCompleted(ref)
	}
}

// OnEnd sets what happens beside the test when the last task of a job completes.
func (w *World) OnEnd(f func(ref string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onJobCompleted = f
}

// Observe tells of every heartbeat that is delivered, with its answer, and of every transaction.
func (w *World) Observe(o Observer) {
	w.State.Observe(o)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe = o
}

func (w *World) observer() Observer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.observe
}

// deliver brings a worker's report to a controller.
func (w *World) deliver(from, to string, r wire.Heartbeat) (status int, redirect string, o wire.CommandBatch, err error) {
	if observe := w.observer(); observe != nil {
		sent := time.Now().Format(time.TimeOnly)
		defer func() {
			observe("heartbeat", "from", from, "to", to, "sent", sent, "heartbeat", r, "status", status, "redirect", redirect, "orders", o, "err", err)
		}()
	}
	body, _ := json.Marshal(r)
	type answer struct {
		status int
		body   []byte
	}
	if w.isMuted(from) {
		w.Sleep(reportTimeout)
		return 0, "", o, ErrLost
	}
	a, err := Call(w.Net, from, to, reportTimeout, func() (answer, error) {
		n := w.node(to)
		if n == nil {
			return answer{}, ErrRefused
		}
		w.markDelivered(&r)
		status, body, err := n.Handle("POST", wire.HeartbeatPath, body)
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

// markDelivered notes that a report, perhaps a late copy, is brought to a controller.
func (w *World) markDelivered(r *wire.Heartbeat) {
	w.mu.Lock()
	a := w.agents[r.Machine]
	w.mu.Unlock()
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Session == a.session {
		a.markDelivered(r)
	}
}

// Mute keeps machines from opening connections to controllers, while direct commands
// reach them, until heal is called.
func (w *World) Mute(ids func(string) bool) (heal func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.muteCount++
	n := w.muteCount
	w.muted[n] = ids
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.muted, n)
	}
}

// ClearFaults ends every trouble of the network, the state service and the machines.
func (w *World) ClearFaults() {
	w.Net.Heal()
	w.State.InjectTxnFaults(nil)
	w.State.Outage(false)
	w.State.Slow(0)
	for _, label := range w.labels {
		w.State.Refuse(label, false)
		w.State.Partition(label, false)
	}
	w.mu.Lock()
	clear(w.muted)
	w.bootTime, w.noCapacity = defaultBootTime, false
	w.mu.Unlock()
	for _, a := range w.Machines() {
		a.Hang(false)
	}
}

func (w *World) isMuted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ids := range w.muted {
		if ids(id) {
			return true
		}
	}
	return false
}

// Replay brings copies of reports to a controller, as a network does late. What is
// answered goes to nobody. It reports how many were answered.
func (w *World) Replay(to string, reports ...wire.Heartbeat) int {
	n := 0
	for _, r := range reports {
		if _, _, _, err := w.deliver("late", to, r); err == nil {
			n++
		}
	}
	return n
}
