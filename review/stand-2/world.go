package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

// maxLine bounds the bytes of a line of the record.
const maxLine = 600

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		unable("record: %v", err)
	}
	return &recorder{f: f, begin: time.Now()}
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	if len(line) > maxLine {
		line = line[:maxLine] + "..."
	}
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.begin).Seconds(), line)
}

// cleanup ends all processes that were started; unable calls it before it exits.
var cleanup = func() {}

// unable ends the program because the case could not run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	cleanup()
	os.Exit(2)
}

// spec is a job as its user submits it.
type spec struct {
	Ref      string   `json:"ref"`
	Thicket  string   `json:"thicket"`
	Keeper   string   `json:"keeper"`
	Habit    string   `json:"habit"`
	Rank     string   `json:"rank"`
	Berries  int      `json:"berries"`
	Cores    float64  `json:"cores"`
	Cards    float64  `json:"cards"`
	RAM      float64  `json:"ram_gb"`
	Seedling string   `json:"seedling"`
	Pull     float64  `json:"pull_gb"`
	Stocks   []string `json:"stocks"`
	Patch    *string  `json:"patch"`
	Same     bool     `json:"same_place"`
	Scatter  bool     `json:"scatter"`
	Windfall bool     `json:"windfall"`
	Ripen    float64  `json:"ripen_s"`
	Graft    float64  `json:"graft_s"`
	Press    float64  `json:"press_s"`
	Harvest  *float64 `json:"harvest_s"`
	Roots    []string `json:"roots,omitempty"`
}

// job is a job that a user has submitted, with the durations of its tasks; 0: until it is stopped.
type job struct {
	spec spec
	runs []time.Duration

	mu        sync.Mutex
	done      map[int]bool
	cancelled time.Time // when its user was told that it is cancelled
}

func (j *job) duration(i int) time.Duration {
	if i < len(j.runs) {
		return j.runs[i]
	}
	return 0
}

func (j *job) isDone(i int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[i]
}

func (j *job) setDone(i int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[i] = true
}

// node is one controller.
type node struct {
	label, zone, public, peer, state string
	settings                         string
	cmd                              *exec.Cmd
	release                          func() // of the addresses, before the process starts
	workerClient, userClient         *http.Client
}

// world is a deployment: the controllers as processes, and stand-ins for all else.
type world struct {
	rec         *recorder
	dir         string
	nodes       []*node
	state       *stateService
	cloud       *cloud
	lease, beat time.Duration
	cancelS     time.Duration
	hold        func(m *worker, calls []call) time.Duration
	runArgs     []string

	mu     sync.Mutex
	jobs   map[string]*job
	on     map[string]map[string]int // by task: the machines on which it is
	broken []string
}

// options are the settings of a deployment. The defaults are those of a small one.
type options struct {
	report, lease, cancel float64
	teams                 string
	capacity              int
	typ                   machineType
	zones                 []string
}

func smallDeployment() options {
	zones := []string{"westlands", "mombasa-road", "kisumu-annex"}
	return options{report: 3, lease: 34, cancel: 64, capacity: 4, zones: zones,
		teams: "[[params.teams]]\nname = \"solver-desk-00\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 8.0\ngpus_max = 32.0\n",
		typ:   machineType{Label: "kiboko-gpu16", Cores: 16, Cards: 2, RAM: 64, Cache: 90, PullRate: 4, Rate: 6.78, SpotPrice: 2.23, Ready: 25, Patches: zones}}
}

// reserve returns a free address, which nobody else gets until release is called.
func reserve() (addr string, release func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	return l.Addr().String(), func() { l.Close() }
}

func client(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// newWorld starts the stand-ins and writes the settings. The controllers are started by start.
func newWorld(o options, record string) *world {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		unable("%v", err)
	}
	w := &world{rec: newRecorder(record), dir: dir, lease: time.Duration(o.lease * float64(time.Second)), beat: time.Duration(o.report * float64(time.Second)),
		cancelS: time.Duration(o.cancel * float64(time.Second)), jobs: map[string]*job{}, on: map[string]map[string]int{}}
	cleanup = w.stop
	w.state = newStateService(200, 25, 16, 16, w.rec)
	w.cloud = &cloud{typ: o.typ, capacity: o.capacity, boot: time.Second, machines: map[string]*worker{}, answers: map[string][]string{}, w: w}
	cloudAddr := serve(w.cloud.handler())
	for i := range 3 {
		n := &node{label: fmt.Sprintf("sprig-%d", i), zone: o.zones[i%len(o.zones)], workerClient: client(4 * time.Second), userClient: client(5 * time.Second)}
		n.state = serve(w.state.handler(n.label))
		var releasePublic, releasePeer func()
		n.public, releasePublic = reserve()
		n.peer, releasePeer = reserve()
		n.release = func() { releasePublic(); releasePeer() }
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		var b strings.Builder
		fmt.Fprintf(&b, "label = %q\nzone = %q\npublic_addr = %q\ncluster_listen = %q\n", n.label, n.zone, n.public, n.peer)
		for _, p := range w.nodes {
			if p != n {
				fmt.Fprintf(&b, "[[seeds]]\nlabel = %q\nzone = %q\npeer_addr = %q\n", p.label, p.zone, p.peer)
			}
		}
		fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", cloudAddr, n.state)
		fmt.Fprintf(&b, "[params]\ncount = 3\nzones = [\"%s\"]\nclock_error_ms = 25.0\n%s", strings.Join(o.zones, `", "`), o.teams)
		fmt.Fprintf(&b, "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 45.0\ngang_peer_s = 4.0\ncancel_s = %.1f\n", o.report, o.lease, o.cancel)
		b.WriteString("[params.state]\nrps = 200.0\nwrite_rps = 25.0\nvalue_kb = 16.0\ntxn_ops = 16\n[params.cloud]\nrps = 1.5\nlist_lag_s = 10.0\n")
		b.WriteString("[params.resources]\ncpu_share = 0.24\nmemory_mb = 234.0\nmax_sockets = 2500\n")
		n.settings = filepath.Join(dir, n.label+".toml")
		if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
			unable("%v", err)
		}
	}
	w.runArgs = runCommand()
	return w
}

// runCommand returns the command of the deploy file that starts a controller.
func runCommand() []string {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		unable("%v", err)
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(v, `"`))
		}
	}
	unable("deploy/service.toml has no run line")
	return nil
}

// start starts a controller.
func (w *world) start(n *node) {
	args := append(w.runArgs[1:len(w.runArgs):len(w.runArgs)], n.settings)
	n.release()
	n.cmd = exec.Command(w.runArgs[0], args...)
	if log := os.Getenv("REVIEW_LOG"); log != "" {
		f, err := os.OpenFile(filepath.Join(log, n.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			n.cmd.Stderr = f
		}
	}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		unable("start %s: %v", n.label, err)
	}
	w.rec.note("controller %s started", n.label)
}

// kill ends a controller without notice.
func (w *world) kill(n *node) {
	if n.cmd != nil {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		n.cmd = nil
		w.rec.note("controller %s killed", n.label)
	}
}

func (w *world) stop() {
	for _, n := range w.nodes {
		w.kill(n)
	}
	_ = os.RemoveAll(w.dir)
}

// awaitReady waits until all controllers answer that they are ready.
func (w *world) awaitReady(limit time.Duration) {
	for _, n := range w.nodes {
		w.await("controller "+n.label+" ready", limit, func() bool {
			resp, err := n.userClient.Get("http://" + n.public + "/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == 200
		})
	}
}

// await waits for a condition of the set-up; without it the case cannot run.
func (w *world) await(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.rec.note("not reached: %s", what)
			unable("%s: not reached in %v", what, limit)
		}
	}
}

func (w *world) nodeIndex(label string) int {
	for i, n := range w.nodes {
		if n.label == label {
			return i
		}
	}
	return -1
}

func (w *world) job(ref string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[ref]
}

func splitTask(berry string) (ref string, index int) {
	ref, n, _ := strings.Cut(berry, "/")
	index, _ = strconv.Atoi(n)
	return ref, index
}

// started notes that a task starts on a machine.
func (w *world) started(t *task, m *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, n := range w.on[t.Berry] {
		if n > 0 && other != m.id {
			w.breakLocked("ran_twice: %s starts on %s while it is on %s", t.Berry, m.id, other)
		}
	}
	if w.on[t.Berry] == nil {
		w.on[t.Berry] = map[string]int{}
	}
	w.on[t.Berry][m.id]++
	w.rec.note("START %s attempt %d on %s", t.Berry, t.Sprout, m.id)
	j := w.jobs[t.ref]
	if j != nil {
		j.mu.Lock()
		told := j.cancelled
		j.mu.Unlock()
		if !told.IsZero() {
			w.breakLocked("start after the cancellation was confirmed: %s on %s, %.1f s after its user was told", t.Berry, m.id, time.Since(told).Seconds())
		}
	}
}

func (w *world) ended(t *task, m *worker, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.on[t.Berry][m.id] > 0 {
		w.on[t.Berry][m.id]--
	}
	w.rec.note("END %s attempt %d on %s: %s", t.Berry, t.Sprout, m.id, why)
}

func (w *world) breakLocked(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, s)
	w.rec.note("BROKEN %s", s)
}

func (w *world) breakRule(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breakLocked(format, args...)
}

// finish ends all processes and the program: with 1 if a rule was broken.
func (w *world) finish() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.broken {
		fmt.Println("broken:", b)
	}
	if len(w.broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

// answer is the answer to a user's request; status 0: none.
type answer struct {
	status int
	body   string
	bloom  string
	ref    string
}

// ask sends one user's request to a controller.
func (w *world) ask(n *node, method, path string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+n.public+path, bytes.NewReader(body))
	if err != nil {
		unable("%v", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	w.rec.note("user -> %s %s %s %s", n.label, method, path, body)
	resp, err := n.userClient.Do(req)
	if err != nil {
		w.rec.note("user <- %s %s %s: no answer", n.label, method, path)
		return answer{}
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(raw)}
	var s struct{ Ref, Bloom string }
	if json.Unmarshal(raw, &s) == nil {
		a.bloom, a.ref = s.Bloom, s.Ref
	}
	w.rec.note("user <- %s %s %s: %d %s", n.label, method, path, a.status, raw)
	return a
}

// repeat asks the controllers in turn, every second, until the answer is final or the time is over.
func (w *world) repeat(limit time.Duration, method, path string, body []byte, final func(answer) bool) (answer, bool) {
	for end := time.Now().Add(limit); ; time.Sleep(time.Second) {
		for _, n := range w.nodes {
			if n.cmd == nil {
				continue
			}
			if a := w.ask(n, method, path, body); final(a) {
				return a, true
			}
			break
		}
		if time.Now().After(end) {
			return answer{}, false
		}
		w.rotate()
	}
}

// rotate makes another controller the first one to be asked.
func (w *world) rotate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = append(w.nodes[1:len(w.nodes):len(w.nodes)], w.nodes[0])
}

// submit submits a job until it is accepted.
func (w *world) submit(s spec, runs ...time.Duration) *job {
	j := &job{spec: s, runs: runs, done: map[int]bool{}}
	w.mu.Lock()
	w.jobs[s.Ref] = j
	w.mu.Unlock()
	body, _ := json.Marshal(s)
	a, ok := w.repeat(40*time.Second, "POST", "/work", body, func(a answer) bool { return a.status == 200 || a.status == 201 || a.status == 400 || a.status == 422 })
	if !ok || a.status >= 400 {
		unable("%s not accepted: %d", s.Ref, a.status)
	}
	return j
}

// cancel asks to cancel a job until that is answered, and returns the state that its user is told.
func (w *world) cancel(j *job, limit time.Duration) (string, bool) {
	a, ok := w.repeat(limit, "POST", "/work/"+j.spec.Ref+"/withdraw", nil, func(a answer) bool { return a.status == 200 })
	if ok && a.bloom == "aborted" {
		j.mu.Lock()
		j.cancelled = time.Now()
		j.mu.Unlock()
		w.rec.note("user told: %s is cancelled", j.spec.Ref)
	}
	return a.bloom, ok
}

// status asks a controller for a job's state.
func (w *world) status(n *node, ref string) answer { return w.ask(n, "GET", "/work/"+ref, nil) }

// machines returns the machines that are up.
func (w *world) machines() []*worker {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	var out []*worker
	for _, m := range w.cloud.machines {
		m.mu.Lock()
		if m.up {
			out = append(out, m)
		}
		m.mu.Unlock()
	}
	return out
}

// runsOn returns the machine on which a task runs, nil for none.
func (w *world) runsOn(berry string) *worker {
	for _, m := range w.machines() {
		m.mu.Lock()
		for _, t := range m.tasks {
			if t.Berry == berry && t.Bloom == "running" {
				m.mu.Unlock()
				return m
			}
		}
		m.mu.Unlock()
	}
	return nil
}
