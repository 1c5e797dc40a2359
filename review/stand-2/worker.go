package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// A worker is a stand-in of the agent of one machine, for arrays and services.
type worker struct {
	w          *world
	id, zone   string
	spot       bool
	typ        machineType
	addr       string
	rented     time.Time
	listener   net.Listener
	wakeReport chan struct{}
	gone       chan struct{}
	// hold says how long a direct command is held up before it is carried out, unanswered; 0: not at all.
	hold func(m *worker, calls []call) time.Duration

	mu        sync.Mutex
	up        bool
	season    uint64
	tally     uint64
	crook     uint64
	leaseFrom time.Time
	lastSent  time.Time
	tasks     []*task
	images    map[string]bool
	node      int
	sick      bool // every task that starts fails
	failed    int
	tasksGone bool // the cloud has taken the machine back
}

type call struct {
	Call   string   `json:"call"`
	Berry  string   `json:"berry"`
	Sprout uint64   `json:"sprout"`
	Wilt   *float64 `json:"wilt_s,omitempty"`
}

type commands struct {
	Crook  *uint64 `json:"crook"`
	Season *uint64 `json:"season"`
	Calls  []call  `json:"calls"`
}

type task struct {
	Berry  string `json:"berry"`
	Sprout uint64 `json:"sprout"`
	Bloom  string `json:"bloom"`
	Blight string `json:"blight,omitempty"`
	Saved  bool   `json:"saved,omitempty"`
	ref    string
	index  int
}

type beat struct {
	Bush     string   `json:"bush"`
	Address  string   `json:"address"`
	Stock    string   `json:"stock"`
	Patch    string   `json:"patch"`
	Windfall bool     `json:"windfall"`
	Season   uint64   `json:"season"`
	Tally    uint64   `json:"tally"`
	Crook    uint64   `json:"crook"`
	Frost    *float64 `json:"frost_s"`
	Berries  []task   `json:"berries"`
}

func newWorker(w *world, id, zone string, spot bool, typ machineType) *worker {
	m := &worker{w: w, id: id, zone: zone, spot: spot, typ: typ, rented: time.Now(), wakeReport: make(chan struct{}, 1), gone: make(chan struct{}),
		season: 1, images: map[string]bool{}, hold: w.hold}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	m.listener, m.addr = l, l.Addr().String()
	return m
}

// run starts the machine and reports until it is gone.
func (m *worker) run() {
	select {
	case <-m.gone:
		return
	default:
	}
	m.mu.Lock()
	m.up, m.leaseFrom = true, time.Now()
	m.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", m.direct)
	mux.HandleFunc("GET /show", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, m.report()) })
	go func() { _ = http.Serve(m.listener, mux) }()
	m.w.rec.note("machine %s is up in %s", m.id, m.zone)
	go m.watchLease()
	m.node = rand.IntN(len(m.w.nodes))
	pause := time.Duration(0)
	for {
		select {
		case <-m.gone:
			return
		case <-time.After(pause):
		case <-m.wakeReport:
			if wait := 500*time.Millisecond - time.Since(m.lastSent); wait > 0 {
				time.Sleep(wait)
			}
		}
		pause = m.sendReport()
	}
}

func (m *worker) destroy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.gone)
	m.tasksGone = true
	m.listener.Close()
	for _, t := range m.tasks {
		if t.Bloom != "exited" {
			m.exit(t, "gone")
		}
	}
	m.tasks = nil
}

// watchLease ends the session when the lease has run out.
func (m *worker) watchLease() {
	for {
		select {
		case <-m.gone:
			return
		case <-time.After(50 * time.Millisecond):
		}
		m.mu.Lock()
		if time.Since(m.leaseFrom) > m.w.lease {
			m.w.rec.note("machine %s: lease over, session %d ends", m.id, m.season)
			for _, t := range m.tasks {
				if t.Bloom != "exited" {
					m.exit(t, "lease over")
				}
			}
			m.tasks = nil
			m.season++
			m.leaseFrom = time.Now()
		}
		m.mu.Unlock()
	}
}

// report returns the next report.
func (m *worker) report() beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportLocked()
}

func (m *worker) reportLocked() beat {
	m.tally++
	b := beat{Bush: m.id, Address: m.addr, Stock: m.typ.Label, Patch: m.zone, Windfall: m.spot, Season: m.season, Tally: m.tally, Crook: m.crook, Berries: []task{}}
	for _, t := range m.tasks {
		b.Berries = append(b.Berries, *t)
	}
	return b
}

// sendReport sends a report and returns the pause before the next one.
func (m *worker) sendReport() time.Duration {
	sent := time.Now()
	m.mu.Lock()
	m.lastSent = sent
	b := m.reportLocked()
	m.mu.Unlock()
	body, _ := json.Marshal(b)
	client := m.w.nodes[m.node].workerClient
	resp, err := client.Post("http://"+m.w.nodes[m.node].public+"/agent/beat", "application/json", bytes.NewReader(body))
	if err != nil {
		m.w.rec.note("machine %s: report of %d bytes to %s not answered", m.id, len(body), m.w.nodes[m.node].label)
		m.node = (m.node + 1) % len(m.w.nodes)
		return time.Second
	}
	raw, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || resp.StatusCode != 200 {
		m.w.rec.note("machine %s: report of %d bytes to %s answered %d %s", m.id, len(body), m.w.nodes[m.node].label, resp.StatusCode, raw)
		if to := m.w.nodeIndex(trellis(raw)); resp.StatusCode == 421 && to >= 0 && to != m.node {
			m.node = to
			return time.Duration(rand.IntN(500)) * time.Millisecond
		}
		m.node = (m.node + 1) % len(m.w.nodes)
		return time.Second
	}
	var c commands
	if json.Unmarshal(raw, &c) == nil && c.Crook != nil {
		m.mu.Lock()
		if b.Season == m.season && *c.Crook >= m.crook {
			m.leaseFrom = sent
			m.hear(*c.Crook)
			m.execute(c.Calls, "report")
		}
		m.mu.Unlock()
	}
	return time.Duration(m.w.beat.Seconds() * (0.75 + rand.Float64()/2) * float64(time.Second))
}

func trellis(raw []byte) string {
	var r struct{ Trellis string }
	_ = json.Unmarshal(raw, &r)
	return r.Trellis
}

func (m *worker) hear(crook uint64) {
	if crook > m.crook {
		m.crook = crook
		m.wake()
	}
}

func (m *worker) wake() {
	select {
	case m.wakeReport <- struct{}{}:
	default:
	}
}

// direct serves POST /commands.
func (m *worker) direct(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c commands
	if json.Unmarshal(raw, &c) != nil || c.Crook == nil || c.Season == nil {
		reply(w, 400, fault{"crook or season is missing"})
		return
	}
	m.w.rec.note("machine %s: direct command %s", m.id, raw)
	if held := m.holdFor(c.Calls); held > 0 {
		m.w.rec.note("machine %s: the command is held up for %v", m.id, held)
		time.AfterFunc(held, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.tasksGone {
				return
			}
			m.w.rec.note("machine %s: the held command arrives: %s", m.id, raw)
			m.carryOut(c)
		})
		<-r.Context().Done() // unanswered
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.carryOut(c) {
		reply(w, 409, m.reportLocked())
		return
	}
	reply(w, 200, m.reportLocked())
}

func (m *worker) holdFor(calls []call) time.Duration {
	if m.hold == nil {
		return 0
	}
	return m.hold(m, calls)
}

// carryOut executes direct commands if token and session match. The lock is held.
func (m *worker) carryOut(c commands) bool {
	if *c.Crook < m.crook || *c.Season != m.season {
		m.w.rec.note("machine %s: refused, highest token %d, session %d", m.id, m.crook, m.season)
		return false
	}
	m.hear(*c.Crook)
	m.execute(c.Calls, "direct")
	return true
}

func (m *worker) find(berry string, sprout uint64) *task {
	for _, t := range m.tasks {
		if t.Berry == berry && t.Sprout == sprout {
			return t
		}
	}
	return nil
}

// execute carries out commands in order. The lock is held.
func (m *worker) execute(calls []call, how string) {
	for _, c := range calls {
		t := m.find(c.Berry, c.Sprout)
		if (c.Call == "run") == (t == nil) {
			m.w.rec.note("machine %s: %s %s attempt %d (%s)", m.id, c.Call, c.Berry, c.Sprout, how)
		}
		switch {
		case c.Call == "run" && t == nil:
			m.start(c)
		case c.Call == "halt" && t != nil && t.Bloom != "exited":
			m.halt(t, c)
		case c.Call == "forget" && t != nil && t.Bloom == "exited":
			m.tasks = slices.DeleteFunc(m.tasks, func(o *task) bool { return o == t })
		}
	}
}

func (m *worker) start(c call) {
	ref, index := splitTask(c.Berry)
	t := &task{Berry: c.Berry, Sprout: c.Sprout, Bloom: "fetching", ref: ref, index: index}
	m.tasks = append(m.tasks, t)
	m.wake()
	j := m.w.job(ref)
	if j == nil || index >= j.spec.Berries {
		t.Bloom, t.Blight = "exited", "no_such"
		return
	}
	cores, cards, ram := j.spec.Cores, j.spec.Cards, j.spec.RAM
	for _, o := range m.tasks {
		if o == t || o.Bloom == "exited" {
			continue
		}
		if o.Berry == t.Berry {
			t.Bloom, t.Blight = "exited", "in_use"
			return
		}
		if oj := m.w.job(o.ref); oj != nil {
			cores, cards, ram = cores+oj.spec.Cores, cards+oj.spec.Cards, ram+oj.spec.RAM
		}
	}
	if cores > m.typ.Cores+1e-6 || cards > m.typ.Cards+1e-6 || ram > m.typ.RAM+1e-6 {
		t.Bloom, t.Blight = "exited", "no_room"
		return
	}
	fetch := time.Duration(0)
	if !m.images[j.spec.Seedling] {
		fetch = time.Duration(j.spec.Pull / m.typ.PullRate * float64(time.Second))
	}
	m.w.started(t, m)
	if fetch == 0 {
		m.begin(t, j)
		return
	}
	time.AfterFunc(fetch, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if t.Bloom == "fetching" {
			m.images[j.spec.Seedling] = true
			m.begin(t, j)
		}
	})
}

// begin runs a task that has its image. The lock is held.
func (m *worker) begin(t *task, j *job) {
	if m.sick {
		m.failed++
		m.exit(t, "error")
		return
	}
	t.Bloom = "running"
	m.w.rec.note("machine %s: %s attempt %d runs", m.id, t.Berry, t.Sprout)
	m.wake()
	if j.isDone(t.index) {
		m.exit(t, "done")
		return
	}
	run := j.duration(t.index)
	if run <= 0 {
		return
	}
	time.AfterFunc(run, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if t.Bloom == "running" {
			j.setDone(t.index)
			m.exit(t, "done")
		}
	})
}

func (m *worker) halt(t *task, c call) {
	j := m.w.job(t.ref)
	if j.spec.Graft > 0 && t.Bloom == "running" && c.Wilt != nil && *c.Wilt >= j.spec.Press {
		t.Bloom = "saving"
		m.wake()
		time.AfterFunc(time.Duration(j.spec.Press*float64(time.Second)), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if t.Bloom == "saving" {
				t.Saved = true
				m.exit(t, "halted")
			}
		})
		return
	}
	m.exit(t, "halted")
}

// exit ends a task. The lock is held.
func (m *worker) exit(t *task, blight string) {
	t.Bloom, t.Blight = "exited", blight
	m.w.ended(t, m, blight)
	m.wake()
}

func (m *worker) setSick(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sick = on
	m.w.rec.note("machine %s fails every task that it starts: %t", m.id, on)
}

func (m *worker) failures() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failed
}
