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

// Node is a controller process as workers and users reach it.
type Node interface {
	// Handle answers a request. It may block.
	Handle(method, path string, body []byte) (status int, answer []byte, err error)
}

// World is everything around the controllers: the state service, the cloud, the machines, the users
// and the network between them, in the time of a testing/synctest bubble. It reports the events on
// machines and the answers to users to its checker. Its methods are safe for concurrent use.
type World struct {
	State      *StateService
	Net        *Network
	check      *Checker // verifies the events
	timing     Timing
	types      []wire.MachineType
	labels     []string
	rand       *rand.Rand
	stopped    chan struct{} // closed by Stop
	goroutines sync.WaitGroup

	mu             sync.Mutex
	nodes          map[string]Node         // by label
	agents         map[string]*Agent       // by machine ID
	specs          map[string]wire.Spec    // by REF
	durations      map[string]JobDurations // by REF
	provisioned    map[string][]string     // machines by the name of the provision request
	machineCount   int                     // machines provisioned so far
	bootTime       time.Duration
	noCapacity     bool                      // the cloud provisions nothing
	completedTasks map[string]bool           // completed tasks by REF/INDEX; their results are kept
	lastStates     map[string]string         // last state of a job that its user was given, by REF
	onJobCompleted func(ref string)          // called with a REF when the last task of the job completes
	muted          map[int]func(string) bool // groups of machines that cannot connect to controllers
	muteCount      int
	commandLog     CommandLog
	copyDelays     []time.Duration // after which copies of answered direct commands arrive
	copiedCommands int             // copies that have arrived
	observe        Observer
	assignAddr     func(*Agent) string // starts the server of a machine and returns its address; nil: addresses are of the scripted network
}

// Endpoints of the network besides controllers, which are named by label, and machines, by ID.
const (
	UsersEndpoint = "users"
	CloudEndpoint = "cloud"
)

// Timeouts of workers, users and controllers as clients, and the pace of the world.
const (
	heartbeatTimeout        = 4 * time.Second
	pollTimeout             = 2 * time.Second
	submitTimeout           = 5 * time.Second
	directTimeout           = 3 * time.Second
	heartbeatRequestTimeout = 1500 * time.Millisecond
	stepInterval            = 100 * time.Millisecond
	defaultBootTime         = 5 * time.Second
)

// NewWorld returns a world for controllers of the given labels, and starts the goroutine that advances
// its machines. All its random choices follow from the seed.
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

// completionRecorded reports whether the state service has a record of a task's completion.
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

// lockedSource is a random source that is safe for concurrent use.
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

// Stop stops the world and waits for its goroutines, except calls of the function set by
// OnJobCompleted.
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

// Go runs f in a goroutine that Stop waits for.
func (w *World) Go(f func()) { w.goroutines.Go(f) }

// Sleep waits for d and reports true, or reports false as soon as the world is stopped.
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

// SetNode sets the process that is reached at a label; nil: none, connections are refused.
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

// CompletedTasks returns how many tasks of a job have completed.
func (w *World) CompletedTasks(ref string) int {
	spec, _ := w.spec(ref)
	n := 0
	for i := range spec.Tasks {
		if w.completed(ref, i) {
			n++
		}
	}
	return n
}

// Machines returns all machines that are up, ordered by ID.
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

// Zone returns a machine's zone, or an empty string if there is no such machine.
func (w *World) Zone(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.agents[id]; a != nil {
		return a.Zone
	}
	return ""
}

// MachinesOf returns the machines with a task of a job that has not exited, ordered by ID.
func (w *World) MachinesOf(ref string) []*Agent {
	return slices.DeleteFunc(w.Machines(), func(a *Agent) bool {
		return !slices.ContainsFunc(a.Tasks(), func(t string) bool { return strings.HasPrefix(t, ref+"/") })
	})
}

// run advances the machines at each interval and lets the checker verify durations.
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
		w.check.CheckDurations(w.room())
	}
}

// completeTask notes that a task has completed, and calls onJobCompleted after a job's last task.
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

// OnJobCompleted sets a function that is called in a goroutine when the last task of a job completes.
func (w *World) OnJobCompleted(f func(ref string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onJobCompleted = f
}

// Observe sets a function that is called for every heartbeat sent, with its answer or error, and for
// every transaction.
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

// deliver sends a worker's heartbeat to a controller and returns its answer.
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
		w.Sleep(heartbeatTimeout)
		return 0, "", o, ErrLost
	}
	a, err := Call(w.Net, from, to, heartbeatTimeout, func() (answer, error) {
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
		var redirected wire.Redirect
		err = json.Unmarshal(a.body, &redirected)
		redirect = redirected.Label
	}
	return a.status, redirect, o, err
}

// markDelivered notes that a heartbeat, perhaps a late copy, was delivered to a controller.
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

// Mute keeps machines from opening connections to controllers until heal is called. Direct commands
// still reach them.
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

// ClearFaults ends all injected faults of the network, the state service, the cloud and the machines.
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

// Replay delivers copies of heartbeats to a controller, as a network may do late, and discards the
// answers. It returns how many were answered.
func (w *World) Replay(to string, reports ...wire.Heartbeat) int {
	n := 0
	for _, r := range reports {
		if _, _, _, err := w.deliver("late", to, r); err == nil {
			n++
		}
	}
	return n
}
