// Package sched is the pure core of one part of the work: the ledger of its
// tasks and machines, its queues, placement, preemption and demand. Events and
// the time go in, transactions, commands and requests come out. It starts no
// goroutines and does no input or output.
//
// Nothing runs that was not recorded: a placement first becomes a transaction,
// and only when that has succeeded does a report's answer carry the start. A
// placed task keeps its place, its resources and its quota until its machine
// proved it gone.
package sched

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramblespur/internal/fragment"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Team is a team's guarantee and limit (0: none) and its share.
type Team struct {
	Name             string
	CPUs, GPUs       float64 // guaranteed
	MaxCPUs, MaxGPUs float64
	Share            float64
}

// Config is what a part's core needs to know.
type Config struct {
	Teams  map[string]Team
	Types  map[string]wire.MachineType
	Report time.Duration // interval of reports
	Lease  time.Duration // workers' lease
	// SilentAfter is when a machine counts as lost while others are heard.
	SilentAfter time.Duration
	// BootFactor times a type's boot time is how long a machine may boot.
	BootFactor float64
	// PreemptAfter is how long a task waits for a free machine from elsewhere
	// before it takes the place of lower work.
	PreemptAfter time.Duration
	TxnOps       int
	ChunkTasks   int
	// Urgency orders a team's jobs of one priority; smaller goes first.
	Urgency func(spec *wire.Spec, waited time.Duration) float64
}

// Chunks sizes a range of tasks so that its record keeps to valueKB: a
// placement takes less than 64 bytes.
func Chunks(valueKB float64) int {
	n := int(valueKB * 1024 / 64)
	return max(1, min(n, 256))
}

type taskState uint8

const (
	idle   taskState = iota
	placed           // has a machine; see the flags
	done
)

type task struct {
	state     taskState
	recorded  bool // the placement is in the state service
	inTxn     bool // the placement is in a transaction under way
	durable   bool // the completion is in the state service
	inherited bool // placed by an earlier owner: never started by us
	seen      bool // its machine has reported this attempt to us
	sentSess  uint64
	sent      bool
	phase     string // as reported
	runSince  time.Time
	attempt   uint64
	machine   *Machine
	stop      bool // to be stopped; never taken back for an attempt
	grace     time.Duration
}

// Job is an unfinished job.
type Job struct {
	ref       string
	spec      *wire.Spec
	pipe      *fragment.Pipeline // of one job, see package fragment
	version   uint64
	accepted  time.Time
	cancelled bool
	tasks     []task
	nIdle     int
	nPlaced   int
	nDone     int
	firstIdle int // no idle task before it
	chunks    map[int]*chunk
	txn       *Txn
	unsure    bool // a transaction's outcome is unknown; a reread is under way
	retry     time.Time
	hold      time.Time // not to be placed before, after failures
	fails     int
	failedOn  map[string]bool
	stuck     time.Time // since when something waits that fits nowhere
	rank      int
	madeRoom  time.Time // until when room made for it is awaited
}

type chunk struct {
	version uint64 // 0: no record
	attempt uint64
	dirty   bool
}

// Machine is a machine of the part.
type Machine struct {
	ID        string
	Type      wire.MachineType
	Zone      string
	Spot      bool
	Addr      string
	Phase     string
	version   uint64
	born      time.Time
	session   uint64
	seq       uint64
	up        bool
	fenced    bool
	heard     time.Time
	taken     time.Time // when the cloud takes it back; zero: no notice
	cpus      float64   // used
	gpus      float64
	mem       float64
	on        map[key]*task
	images    []record.Image // believed to be cached, the latest used last
	idleSince time.Time
	failed    map[string]bool // jobs that failed here in a row
	moveTo    int             // -1: stays
	drain     bool
	txn       *Txn
	unsure    bool
	retry     time.Time
	direct    bool   // a direct command is due
	gone      bool   // proven gone; its record is still to go
	asked     bool   // its return was handed to the shell
	reserved  string // job for which room was made
	reservedT time.Time
}

type key struct {
	job *Job
	i   int
}

func (k key) name() string { return k.job.ref + "/" + strconv.Itoa(k.i) }

// SplitTask splits a task's name.
func SplitTask(name string) (ref string, i int, ok bool) {
	at := strings.LastIndexByte(name, '/')
	if at < 0 {
		return "", 0, false
	}
	i, err := strconv.Atoi(name[at+1:])
	return name[:at], i, err == nil && i >= 0
}

// Txn is a transaction to carry out. Its outcome must be told to the part by
// exactly one of Applied, Conflict, Refused and Unknown.
type Txn struct {
	Body    wire.Txn
	Urgent  bool
	job     *Job
	machine *Machine
	chunks  []int
	starts  []key
	dones   []key
	final   bool
	ends    bool // the open record goes with it
	remove  bool // machine's record goes
	moved   bool
	phase   string
}

// Direct is a command to send straight to a worker.
type Direct struct {
	Machine string
	Addr    string
	Orders  wire.DirectOrders
}

// Effects is what the shell has to carry out.
type Effects struct {
	Txns           []*Txn
	RereadJobs     []string
	RereadMachines []string
	Return         []string // machines to give back to the cloud
	Direct         []Direct
	Wake           []string // machines for which a start is ready
}

type usage struct{ cpus, gpus float64 }

// Part is the core of one part.
type Part struct {
	cfg      *Config
	id       int
	token    uint64
	lost     bool
	machines map[string]*Machine
	jobs     map[string]*Job
	teams    map[string]*usage
	out      Effects
	changed  bool // something that may allow a placement
	wake     time.Time
	dirty    map[string]*Job
	lastCare time.Time
	cut      map[string]bool
	arrived  float64 // machines' worth that arrived, fading
	arriveAt time.Time
}

// New makes the core of a part claimed under a token.
func New(cfg *Config, id int, token uint64) *Part {
	return &Part{
		cfg: cfg, id: id, token: token, machines: map[string]*Machine{}, jobs: map[string]*Job{},
		teams: map[string]*usage{}, dirty: map[string]*Job{}, changed: true,
	}
}

// ID returns the part's number, Token its token, Lost whether it was found to
// belong to somebody else.
func (p *Part) ID() int       { return p.id }
func (p *Part) Token() uint64 { return p.token }
func (p *Part) Lost() bool    { return p.lost }

func (m *Machine) token(p *Part) uint64 { return max(p.token, m.version) }

// keepsImage takes in that an image was used, and which older ones the cache
// can no longer hold.
func (m *Machine) keepsImage(name string, gb float64) {
	m.images = slices.DeleteFunc(m.images, func(i record.Image) bool { return i.Name == name })
	m.images = append(m.images, record.Image{Name: name, GB: gb})
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if sum += m.images[i].GB; sum > m.Type.CacheGB && i < len(m.images)-1 {
			m.images = slices.Clone(m.images[i+1:])
			break
		}
	}
}

func (m *Machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i record.Image) bool { return i.Name == name })
}

func (p *Part) cond() wire.Cond { return wire.Cond{Key: record.PartKey(p.id), Version: p.token} }

func rank(priority string) int {
	switch priority {
	case "prod":
		return 3
	case "urgent":
		return 2
	case "normal":
		return 1
	}
	return 0
}

func (p *Part) usage(team string) *usage {
	u := p.teams[team]
	if u == nil {
		u = &usage{}
		p.teams[team] = u
	}
	return u
}

// put sets task k on machine m in the ledger.
func (p *Part) put(k key, m *Machine, attempt uint64, now time.Time) *task {
	j := k.job
	t := &j.tasks[k.i]
	*t = task{state: placed, attempt: attempt, machine: m}
	j.nIdle--
	j.nPlaced++
	s := j.spec
	m.on[k] = t
	m.cpus += s.CPUs
	m.gpus += s.GPUs
	m.mem += s.MemoryGB
	u := p.usage(s.Team)
	u.cpus += s.CPUs
	u.gpus += s.GPUs
	m.idleSince = time.Time{}
	c := j.chunk(p.cfg, k.i)
	c.dirty = true
	c.attempt = max(c.attempt, attempt)
	p.dirty[j.ref] = j
	return t
}

// take removes task k from its machine: it was proven gone, or never recorded.
func (p *Part) take(k key, now time.Time) {
	j := k.job
	t := &j.tasks[k.i]
	m := t.machine
	s := j.spec
	delete(m.on, k)
	m.cpus -= s.CPUs
	m.gpus -= s.GPUs
	m.mem -= s.MemoryGB
	if len(m.on) == 0 {
		m.cpus, m.gpus, m.mem = 0, 0, 0
		m.idleSince = now
	}
	u := p.usage(s.Team)
	u.cpus -= s.CPUs
	u.gpus -= s.GPUs
	*t = task{state: idle}
	j.nPlaced--
	j.nIdle++
	j.firstIdle = min(j.firstIdle, k.i)
	j.chunk(p.cfg, k.i).dirty = true
	p.dirty[j.ref] = j
	p.changed = true
}

func (p *Part) finish(k key, now time.Time) {
	j := k.job
	t := &j.tasks[k.i]
	if t.state == done {
		return
	}
	if t.state == placed {
		p.take(k, now)
	}
	*t = task{state: done}
	j.nIdle--
	j.nDone++
	j.fails = 0
	j.chunk(p.cfg, k.i).dirty = true
	p.dirty[j.ref] = j
	p.changed = true
}

func (j *Job) chunk(cfg *Config, i int) *chunk {
	n := i / cfg.ChunkTasks
	c := j.chunks[n]
	if c == nil {
		c = &chunk{}
		j.chunks[n] = c
	}
	return c
}

func (j *Job) nextAttempt(cfg *Config, i int) uint64 {
	if j.spec.Kind != wire.Gang {
		return j.chunk(cfg, i).attempt + 1
	}
	var a uint64
	for _, c := range j.chunks {
		a = max(a, c.attempt)
	}
	return a + 1
}

// Load fills a newly claimed part from its records. Placements of earlier
// owners count as there until their machines answer under our token.
func (p *Part) Load(machines, open, runs []wire.Entry, now time.Time) error {
	for _, e := range machines {
		if err := p.SetMachine(e, now); err != nil {
			return err
		}
	}
	for _, e := range open {
		if err := p.SetJob(e, now); err != nil {
			return err
		}
	}
	for _, e := range runs {
		ref, n, ok := record.SplitRunKey(e.Key)
		j := p.jobs[ref]
		if !ok || j == nil {
			continue // left over from a finished job
		}
		if err := p.loadRun(j, n, e, true, now); err != nil {
			return err
		}
	}
	return nil
}

func (p *Part) loadRun(j *Job, n int, e wire.Entry, inherit bool, now time.Time) error {
	r, err := decode[record.Run](e)
	if err != nil {
		return err
	}
	c := j.chunk(p.cfg, n*p.cfg.ChunkTasks)
	c.version = e.Version
	c.attempt = max(c.attempt, r.Attempt)
	for _, span := range r.Done {
		for i := max(0, span[0]); i <= span[1] && i < len(j.tasks); i++ {
			p.finish(key{j, i}, now)
			j.tasks[i].durable = true
		}
	}
	if !inherit {
		return nil
	}
	for i, pl := range r.On {
		if i < 0 || i >= len(j.tasks) || j.tasks[i].state != idle {
			continue
		}
		m := p.machines[pl.Machine]
		if m == nil {
			continue // given back or empty when it moved: proven gone before
		}
		t := p.put(key{j, i}, m, pl.Attempt, now)
		t.recorded, t.inherited = true, true
		if j.cancelled {
			// The cancellation came while nobody owned the part: its record
			// was read before these placements were.
			p.stop(key{j, i}, 0, now)
		}
	}
	return nil
}

func decode[T any](e wire.Entry) (T, error) {
	var v T
	if err := unmarshal(e.Value, &v); err != nil {
		return v, fmt.Errorf("record %s: %w", e.Key, err)
	}
	return v, nil
}

// SetJob takes in an unfinished job's record, new or changed.
func (p *Part) SetJob(e wire.Entry, now time.Time) error {
	o, err := decode[record.Open](e)
	if err != nil {
		return err
	}
	ref := record.Last(e.Key)
	j := p.jobs[ref]
	if j == nil {
		spec := o.Spec
		j = &Job{
			ref: ref, spec: &spec, accepted: time.UnixMilli(o.At), tasks: make([]task, spec.Tasks), nIdle: spec.Tasks,
			chunks: map[int]*chunk{}, rank: rank(spec.Priority), pipe: fragment.Begin(fragment.Single(ref)),
		}
		p.jobs[ref] = j
		if age := now.Sub(j.accepted); age < arrivalFade {
			p.arrive(j, now)
		}
	}
	if e.Version <= j.version {
		return nil
	}
	j.version = e.Version
	if o.Cancelled && !j.cancelled {
		j.cancelled = true
		for i := range j.tasks {
			if j.tasks[i].state == placed {
				p.stop(key{j, i}, 0, now)
			}
		}
	}
	p.dirty[ref] = j
	p.changed = true
	return nil
}

// arrivalFade is how long an arrival counts for what is to be expected.
const arrivalFade = 60 * time.Second

// arrive counts a job for the headroom if it is of the kind that must start
// soon: no spot machine will do, or its team is guaranteed.
func (p *Part) arrive(j *Job, now time.Time) {
	t := p.cfg.Teams[j.spec.Team]
	if j.spec.Spot && t.CPUs <= 0 && t.GPUs <= 0 {
		return
	}
	share := 1.0
	for _, typ := range p.cfg.Types {
		s := j.spec.CPUs / typ.CPUs
		if typ.GPUs > 0 {
			s = max(s, j.spec.GPUs/typ.GPUs)
		}
		share = min(share, s)
	}
	n := float64(j.spec.Tasks)
	if j.spec.Kind == wire.Array {
		n = min(n, arrayAhead)
	}
	p.fade(now)
	p.arrived += n * share
}

// arrayAhead bounds the tasks of an array that count as expected: the rest of
// it starts where there is room.
const arrayAhead = 2

func (p *Part) fade(now time.Time) {
	if !p.arriveAt.IsZero() {
		p.arrived *= math.Exp(-now.Sub(p.arriveAt).Seconds() / arrivalFade.Seconds())
	}
	p.arriveAt = now
}

// SetMachine takes in a machine's record, new or changed.
func (p *Part) SetMachine(e wire.Entry, now time.Time) error {
	r, err := decode[record.Machine](e)
	if err != nil {
		return err
	}
	id := record.Last(e.Key)
	m := p.machines[id]
	if r.Part != p.id {
		if m != nil && e.Version > m.version && len(m.on) == 0 {
			delete(p.machines, id)
		}
		return nil
	}
	if m == nil {
		typ, ok := p.cfg.Types[r.Type]
		if !ok {
			return fmt.Errorf("machine %s: unknown type %q", id, r.Type)
		}
		m = &Machine{
			ID: id, Type: typ, Zone: r.Zone, Spot: r.Spot, born: time.UnixMilli(r.Born), on: map[key]*task{},
			images: r.Images, moveTo: -1, idleSince: now, heard: now,
		}
		p.machines[id] = m
	}
	if e.Version > m.version {
		m.version = e.Version
		m.fenced = false
		if m.txn == nil {
			m.Phase = r.Phase
		}
	}
	p.changed = true
	return nil
}

// DropMachine takes in that a machine's record is gone: so is the machine.
func (p *Part) DropMachine(id string, now time.Time) {
	m := p.machines[id]
	if m == nil {
		return
	}
	m.gone = true
	for k := range m.on {
		p.lose(k, now)
	}
	delete(p.machines, id)
}

// HasMachine reports whether the part holds a machine.
func (p *Part) HasMachine(id string) bool { return p.machines[id] != nil }

// HasJob reports whether the part holds an unfinished job.
func (p *Part) HasJob(ref string) bool { return p.jobs[ref] != nil }

// Status returns a job's state for display.
func (p *Part) Status(ref string) (wire.Status, bool) {
	j := p.jobs[ref]
	if j == nil {
		return wire.Status{}, false
	}
	s := wire.Status{Ref: ref, State: wire.Pending, Done: j.nDone}
	for _, m := range p.machines {
		for k, t := range m.on {
			if k.job == j && t.phase == wire.Running {
				s.Running++
			}
		}
	}
	if s.Running > 0 {
		s.State = wire.Running
	}
	return s, true
}

// stop asks for a task's end; it is never taken back for that attempt.
func (p *Part) stop(k key, grace time.Duration, now time.Time) {
	t := &k.job.tasks[k.i]
	if t.state != placed {
		return
	}
	if !t.stop || grace < t.grace {
		t.stop, t.grace = true, grace
		t.machine.direct = true
	}
}

// stopJob stops every placed task of a job.
func (p *Part) stopJob(j *Job, grace time.Duration, now time.Time) {
	for i := range j.tasks {
		p.stop(key{j, i}, grace, now)
	}
}

// lose takes in that a placed task is proven gone without completing. A gang
// that has not started keeps waiting, and a replacement under the same attempt
// completes it; of one that runs, what was not saved is lost already, so the
// rest only holds places and is ended.
func (p *Part) lose(k key, now time.Time) {
	p.take(k, now)
	if k.job.spec.Kind == wire.Gang && !k.job.gathering() {
		p.endAttempt(k.job, now)
	}
}

func (p *Part) endAttempt(j *Job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == placed && !t.stop {
			p.stop(key{j, i}, 0, now)
		}
	}
}

// gathering reports whether the placed tasks of a gang still wait for the
// others of their attempt, as far as their reports tell.
func (j *Job) gathering() bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != placed {
			continue
		}
		waits := t.phase == wire.Fetching || t.phase == wire.Gathering || (t.phase == "" && !t.inherited)
		if t.stop || !waits {
			return false
		}
	}
	return true
}

// attempt returns the attempt of a gang's placed tasks, 0 if there are none.
func (j *Job) attempt() uint64 {
	for i := range j.tasks {
		if j.tasks[i].state == placed {
			return j.tasks[i].attempt
		}
	}
	return 0
}
