package sched

import (
	"math"
	"slices"
	"sort"
	"time"

	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Step does what is due and returns what the shell has to carry out. It is
// cheap when nothing has changed.
func (p *Part) Step(now time.Time) Effects {
	if !p.lost {
		p.care(now)
		if p.changed || (!p.wake.IsZero() && !now.Before(p.wake)) {
			p.changed, p.wake = false, time.Time{}
			p.place(now)
		}
		p.flush(now)
		p.directs(now)
	}
	out := p.out
	p.out = Effects{}
	return out
}

// alarm makes a later Step look again at t.
func (p *Part) alarm(t time.Time) {
	if p.wake.IsZero() || t.Before(p.wake) {
		p.wake = t
	}
}

// careEvery is how often machines are looked over.
const careEvery = 250 * time.Millisecond

func (p *Part) care(now time.Time) {
	if now.Sub(p.lastCare) < careEvery {
		return
	}
	p.lastCare = now
	for _, m := range p.machines {
		if m.txn != nil || m.unsure || now.Before(m.retry) {
			continue
		}
		switch {
		case m.gone:
			p.removeRecord(m)
		case m.Phase == record.Returning:
			if !m.asked {
				m.asked = true
				p.out.Return = append(p.out.Return, m.ID)
			}
		case p.silent(m, now), p.overdue(m, now):
			// Only the answered return proves its tasks gone.
			p.giveBack(m, now)
		case m.drain:
			p.clear(m, now)
			if len(m.on) == 0 {
				p.giveBack(m, now)
			}
		case m.moveTo >= 0:
			if len(m.on) == 0 && m.fenced {
				rec := p.record(m)
				rec.Part = m.moveTo
				p.machineTxn(m, rec, now)
			}
		}
	}
}

func (p *Part) removeRecord(m *Machine) {
	key := record.MachineKey(m.ID)
	t := &Txn{machine: m, remove: true}
	t.Body.If = []wire.Cond{p.cond(), {Key: key, Version: m.version}}
	t.Body.Then = []wire.Op{{Delete: key}}
	m.txn = t
	p.out.Txns = append(p.out.Txns, t)
}

func (p *Part) giveBack(m *Machine, now time.Time) {
	rec := p.record(m)
	rec.Phase = record.Returning
	p.machineTxn(m, rec, now)
}

// SetCut tells the zones of which no controller can be reached from here.
func (p *Part) SetCut(zones map[string]bool) { p.cut = zones }

// silent reports whether a machine is lost: its worker says nothing while
// others in its zone do. When a whole zone is silent and none of its
// controllers answers, the fault is rather the network's between us.
func (p *Part) silent(m *Machine, now time.Time) bool {
	limit := p.cfg.SilentAfter
	if !m.up {
		if len(m.on) == 0 {
			return false // perhaps still booting: see overdue
		}
		limit += p.cfg.Lease / 2 // its worker has yet to find its new owner
	}
	if now.Sub(m.heard) < limit {
		return false
	}
	heard, quiet := 0, 0
	for _, o := range p.machines {
		if o == m || !o.up || o.Zone != m.Zone {
			continue
		}
		// Machines cut off together fall silent within one report's time:
		// only one heard well after m speaks against m.
		if now.Sub(o.heard) < limit/2 {
			heard++
		} else {
			quiet++
		}
	}
	if heard > 0 && heard >= quiet {
		return true
	}
	patience := p.cfg.Lease + limit
	if p.cut[m.Zone] {
		patience *= 3
	}
	return (heard+quiet == 0 || p.cut[m.Zone]) && now.Sub(m.heard) > patience
}

// overdue reports whether a machine never came up.
func (p *Part) overdue(m *Machine, now time.Time) bool {
	limit := time.Duration(p.cfg.BootFactor * m.Type.BootS * float64(time.Second))
	return !m.up && len(m.on) == 0 && !p.cut[m.Zone] && now.Sub(m.born) > limit && now.Sub(m.heard) > p.cfg.Lease
}

// clear stops in an orderly way what runs on a machine that is to be empty.
func (p *Part) clear(m *Machine, now time.Time) {
	for k, t := range m.on {
		if !t.stop {
			p.halt(k, now)
		}
	}
}

// halt stops a task, a gang's with all its mates, with time to save.
func (p *Part) halt(k key, now time.Time) {
	j := k.job
	grace := p.grace(j)
	if j.spec.Kind == wire.Gang {
		p.stopJob(j, grace, now)
		return
	}
	p.stop(k, grace, now)
}

func (p *Part) grace(j *Job) time.Duration {
	if j.spec.CheckpointS <= 0 {
		return 0
	}
	return time.Duration((j.spec.SaveS + 0.5) * float64(time.Second))
}

// directs sends stops straight to the workers: a report may be seconds away,
// and a gang's tasks must be told within a short time of each other.
func (p *Part) directs(now time.Time) {
	for _, m := range p.machines {
		if !m.direct {
			continue
		}
		m.direct = false
		if m.Addr == "" || m.session == 0 {
			continue
		}
		o := wire.DirectOrders{Token: m.token(p), Session: m.session}
		for k, t := range m.on {
			if t.stop && t.recorded {
				o.Commands = append(o.Commands, halt(k.name(), t.attempt, t.grace))
			}
		}
		if len(o.Commands) > 0 {
			p.out.Direct = append(p.out.Direct, Direct{Machine: m.ID, Addr: m.Addr, Orders: o})
		}
	}
}

// usable reports whether new work may be placed on a machine.
func (p *Part) usable(m *Machine, now time.Time) bool {
	return m.up && !m.gone && m.Phase == record.InUse && !m.drain && m.moveTo < 0 && m.txn == nil && !m.unsure &&
		m.taken.IsZero() && now.Sub(m.heard) < p.suspectAfter()
}

// suspectAfter is when a silent machine gets no new work.
func (p *Part) suspectAfter() time.Duration { return p.cfg.Report*2 + time.Second }

func allows(s *wire.Spec, m *Machine) bool {
	return (m.Spot == false || s.Spot) && (s.Zone == nil || *s.Zone == m.Zone) &&
		(s.Types == nil || slices.Contains(s.Types, m.Type.Name))
}

const slack = 1e-6 // amounts are decimal numbers

func roomFor(s *wire.Spec, cpus, gpus, mem float64) bool {
	return s.CPUs <= cpus+slack && s.GPUs <= gpus+slack && s.MemoryGB <= mem+slack
}

// room is what is free on m, less what a plan has put there already.
type room struct{ cpus, gpus, mem float64 }

func free(m *Machine) room {
	return room{m.Type.CPUs - m.cpus, m.Type.GPUs - m.gpus, m.Type.MemoryGB - m.mem}
}

func (r room) less(s *wire.Spec) room {
	return room{r.cpus - s.CPUs, r.gpus - s.GPUs, r.mem - s.MemoryGB}
}

func (p *Part) withinLimit(j *Job, n int) bool {
	t, ok := p.cfg.Teams[j.spec.Team]
	if !ok {
		return true
	}
	u := p.usage(j.spec.Team)
	f := float64(n)
	return (t.MaxCPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.MaxCPUs+slack) &&
		(t.MaxGPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.MaxGPUs+slack)
}

// guaranteed reports whether n more tasks of j keep to its team's guarantee.
func (p *Part) guaranteed(j *Job, n int) bool {
	t := p.cfg.Teams[j.spec.Team]
	if t.CPUs <= 0 && t.GPUs <= 0 {
		return false
	}
	u := p.usage(j.spec.Team)
	f := float64(n)
	return (t.CPUs <= 0 || u.cpus+f*j.spec.CPUs <= t.CPUs+slack) && (t.GPUs <= 0 || u.gpus+f*j.spec.GPUs <= t.GPUs+slack)
}

// borrowed reports whether a team runs beyond its guarantee.
func (p *Part) borrowed(team string) bool {
	t := p.cfg.Teams[team]
	u := p.usage(team)
	return (t.CPUs > 0 && u.cpus > t.CPUs+slack) || (t.GPUs > 0 && u.gpus > t.GPUs+slack) || (t.CPUs <= 0 && t.GPUs <= 0)
}

func (p *Part) load(team string) float64 {
	share := p.cfg.Teams[team].Share
	if share <= 0 {
		share = 1
	}
	u := p.usage(team)
	return (u.gpus*4 + u.cpus) / share // both kinds count; cards are the scarcer
}

func (j *Job) unit() int {
	if j.spec.Kind == wire.Gang {
		return j.nIdle // all, or what replaces those lost while it waits
	}
	return 1
}

func (p *Part) waiting(j *Job, now time.Time) bool {
	if j.cancelled || j.nIdle == 0 || j.unsure {
		return false
	}
	if j.spec.Kind == wire.Gang && !j.gathering() {
		return false // the old attempt must be gone, all of it
	}
	return true
}

// place starts what can be started: team by team, in turn by shares.
func (p *Part) place(now time.Time) {
	queues := map[string][]*Job{}
	for _, j := range p.jobs {
		if !p.waiting(j, now) {
			j.stuck = time.Time{}
			continue
		}
		if now.Before(j.hold) {
			p.alarm(j.hold)
			continue
		}
		if j.txn != nil {
			continue // looked at again when it is through
		}
		queues[j.spec.Team] = append(queues[j.spec.Team], j)
	}
	for _, q := range queues {
		urgency := make(map[*Job]float64, len(q))
		for _, j := range q {
			urgency[j] = p.cfg.Urgency(j.spec, now.Sub(j.accepted))
		}
		sort.Slice(q, func(a, b int) bool {
			x, y := q[a], q[b]
			if x.rank != y.rank {
				return x.rank > y.rank
			}
			if urgency[x] != urgency[y] {
				return urgency[x] < urgency[y]
			}
			return x.ref < y.ref
		})
	}
	for {
		var best string
		var bestJob *Job
		for team, q := range queues {
			if len(q) == 0 {
				continue
			}
			if bestJob == nil || p.before(q[0], team, bestJob, best) {
				best, bestJob = team, q[0]
			}
		}
		if bestJob == nil {
			return
		}
		if p.start(bestJob, now) && bestJob.nIdle > 0 {
			continue
		}
		queues[best] = queues[best][1:]
	}
}

// before orders the heads of two teams' queues: work within a guarantee goes
// first, then priority, then the team with less of its share.
func (p *Part) before(a *Job, teamA string, b *Job, teamB string) bool {
	if x, y := p.guaranteed(a, a.unit()), p.guaranteed(b, b.unit()); x != y {
		return x
	}
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	if x, y := p.load(teamA), p.load(teamB); x != y {
		return x < y
	}
	return teamA < teamB
}

// start places one unit of a job: a task, or all of a gang.
func (p *Part) start(j *Job, now time.Time) bool {
	n := j.unit()
	if !p.withinLimit(j, n) {
		j.stuck = time.Time{} // waits for its own team, not for machines
		return false
	}
	where := p.find(j, n, now)
	if where == nil {
		if j.stuck.IsZero() {
			j.stuck = now
		}
		p.makeRoom(j, n, now)
		return false
	}
	gang := j.attempt()
	for _, m := range where {
		i := j.nextIdle()
		a := j.nextAttempt(p.cfg, i)
		if j.spec.Kind == wire.Gang {
			if gang == 0 {
				gang = a
			}
			a = gang
		}
		p.put(key{j, i}, m, a, now)
		if m.reserved == j.ref {
			m.reserved = ""
		}
	}
	if j.nIdle == 0 {
		j.stuck = time.Time{}
	}
	return true
}

func (j *Job) nextIdle() int {
	for j.tasks[j.firstIdle].state != idle {
		j.firstIdle++
	}
	return j.firstIdle
}

// find chooses a machine for each of n tasks of j, nil if there is no room for
// all of them.
func (p *Part) find(j *Job, n int, now time.Time) []*Machine {
	s := j.spec
	var cands []*Machine
	for _, m := range p.machines {
		if !allows(s, m) || !p.usable(m, now) || !roomFor(s, free(m).cpus, free(m).gpus, free(m).mem) {
			continue
		}
		if j.failedOn[m.ID] && !j.atFault() {
			continue
		}
		if m.reserved != "" && m.reserved != j.ref && now.Before(m.reservedT) {
			if o := p.jobs[m.reserved]; o != nil && o.nIdle > 0 && o.rank >= j.rank {
				continue
			}
		}
		cands = append(cands, m)
	}
	if len(cands) == 0 {
		return nil
	}
	sort.Slice(cands, func(a, b int) bool {
		x, y := p.score(j, cands[a]), p.score(j, cands[b])
		if x != y {
			return x > y
		}
		return cands[a].ID < cands[b].ID
	})
	zones := map[string]int{}
	only := ""
	for _, m := range p.machines {
		for k := range m.on {
			if k.job == j {
				zones[m.Zone]++
				only = m.Zone
			}
		}
	}
	limit := len(j.tasks)
	if s.Spread {
		limit = (len(j.tasks) + 1) / 2
	}
	if !s.OneZone {
		return pick(s, cands, n, zones, limit, "")
	}
	if only != "" {
		return pick(s, cands, n, zones, limit, only)
	}
	tried := map[string]bool{}
	for _, m := range cands {
		if tried[m.Zone] {
			continue
		}
		tried[m.Zone] = true
		if got := pick(s, cands, n, zones, limit, m.Zone); got != nil {
			return got
		}
	}
	return nil
}

// pick takes machines in order, several tasks to one where they fit.
func pick(s *wire.Spec, cands []*Machine, n int, placed map[string]int, limit int, only string) []*Machine {
	zones := make(map[string]int, len(placed))
	for z, c := range placed {
		zones[z] = c
	}
	var got []*Machine
	for _, m := range cands {
		if only != "" && m.Zone != only {
			continue
		}
		r := free(m)
		for len(got) < n && roomFor(s, r.cpus, r.gpus, r.mem) && zones[m.Zone] < limit {
			got = append(got, m)
			zones[m.Zone]++
			r = r.less(s)
		}
		if len(got) == n {
			return got
		}
	}
	return nil
}

// score ranks a machine for a task: one that caches its image first (DESIGN's
// stand-in for sending fragments to the data), then a spot machine where the
// job may use one, then the fullest, so that whole machines stay free.
func (p *Part) score(j *Job, m *Machine) float64 {
	v := 0.0
	if m.hasImage(j.spec.Image) {
		v += 100
	}
	if m.Spot {
		v += 30
	}
	if j.spec.Spread {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == placed && t.machine.Zone == m.Zone {
				v -= 10
			}
		}
	}
	used := 0.0
	if m.Type.GPUs > 0 {
		used = m.gpus / m.Type.GPUs
	}
	if m.Type.CPUs > 0 {
		used = math.Max(used, m.cpus/m.Type.CPUs)
	}
	return v + 20*used
}

// makeRoom stops lower work for a job that has waited long enough for a free
// machine: what the protocol's preemption rules allow, least loss first.
func (p *Part) makeRoom(j *Job, n int, now time.Time) {
	due := j.stuck.Add(p.cfg.PreemptAfter)
	if now.Before(due) {
		p.alarm(due)
		return
	}
	if now.Before(j.madeRoom) {
		return
	}
	type option struct {
		m       *Machine
		victims []key
		loss    float64
		units   int
	}
	byZone := map[string][]option{}
	within := p.guaranteed(j, n)
	for _, m := range p.machines {
		if !allows(j.spec, m) || !p.usable(m, now) || (m.reserved != "" && m.reserved != j.ref && now.Before(m.reservedT)) {
			continue
		}
		r := free(m)
		o := option{m: m}
		fits := func() int {
			c, q := 0, r
			for roomFor(j.spec, q.cpus, q.gpus, q.mem) && c < n {
				c++
				q = q.less(j.spec)
			}
			return c
		}
		var ks []key
		for k, t := range m.on {
			if t.stop {
				r = room{r.cpus + k.job.spec.CPUs, r.gpus + k.job.spec.GPUs, r.mem + k.job.spec.MemoryGB}
				continue
			}
			if k.job.rank < j.rank || (within && k.job.spec.Team != j.spec.Team && p.borrowed(k.job.spec.Team)) {
				ks = append(ks, k)
			}
		}
		sort.Slice(ks, func(a, b int) bool {
			if x, y := ks[a].job.rank, ks[b].job.rank; x != y {
				return x < y
			}
			return p.loss(ks[a], now) < p.loss(ks[b], now)
		})
		for _, k := range ks {
			if fits() > 0 && (j.spec.Kind != wire.Gang || fits() >= n) {
				break
			}
			o.victims = append(o.victims, k)
			o.loss += p.loss(k, now)
			s := k.job.spec
			r = room{r.cpus + s.CPUs, r.gpus + s.GPUs, r.mem + s.MemoryGB}
		}
		if o.units = fits(); o.units == 0 {
			continue
		}
		zone := m.Zone
		if !j.spec.OneZone {
			zone = ""
		}
		byZone[zone] = append(byZone[zone], o)
	}
	var best []option
	bestLoss := math.Inf(1)
	for _, os := range byZone {
		sort.Slice(os, func(a, b int) bool {
			if os[a].loss != os[b].loss {
				return os[a].loss < os[b].loss
			}
			return os[a].m.ID < os[b].m.ID
		})
		units, loss := 0, 0.0
		for i, o := range os {
			units += o.units
			loss += o.loss
			if units >= n {
				if loss < bestLoss {
					best, bestLoss = os[:i+1], loss
				}
				break
			}
		}
	}
	for _, o := range best {
		for _, k := range o.victims {
			p.halt(k, now)
		}
		o.m.reserved = j.ref
		o.m.reservedT = now.Add(reserveFor)
	}
	if best != nil {
		j.madeRoom = now.Add(reserveFor / 2)
		p.alarm(j.madeRoom)
	} else {
		p.alarm(now.Add(time.Second))
	}
}

// reserveFor is how long room made by stopping others is kept for its job.
const reserveFor = 20 * time.Second

// loss is the work in seconds that stopping a task costs.
func (p *Part) loss(k key, now time.Time) float64 {
	t := &k.job.tasks[k.i]
	s := k.job.spec
	l := s.SaveS + s.ImageGB/2
	if t.phase == wire.Running && s.CheckpointS <= 0 {
		l += now.Sub(t.runSince).Seconds()
	}
	if s.Kind == wire.Gang {
		l *= float64(len(k.job.tasks))
	}
	return l + 1
}

// Summary tells the leader what waits and what the part's machines do.
func (p *Part) Summary(now time.Time) fleet.Summary {
	p.fade(now)
	s := fleet.Summary{Part: p.id, Arriving: p.arrived / arrivalFade.Seconds()}
	for _, j := range p.jobs {
		if !p.waiting(j, now) || now.Before(j.hold) || j.txn != nil {
			continue
		}
		n := j.nIdle
		for n > 0 && !p.withinLimit(j, n) {
			if j.spec.Kind == wire.Gang {
				n = 0
				break
			}
			n--
		}
		if j.spec.Kind != wire.Gang {
			for _, m := range p.machines {
				if m.reserved == j.ref && now.Before(m.reservedT) && n > 0 {
					n--
				}
			}
		} else if now.Before(j.madeRoom) {
			n = 0
		}
		if n == 0 {
			continue
		}
		sp := j.spec
		need := fleet.Need{
			Job: j.ref, Image: sp.Image, CPUs: sp.CPUs, GPUs: sp.GPUs, MemoryGB: sp.MemoryGB, Types: sp.Types, Spot: sp.Spot,
			OneZone: sp.OneZone, Gang: sp.Kind == wire.Gang, Count: n, Rank: j.rank, Waited: now.Sub(j.accepted),
		}
		if sp.Zone != nil {
			need.Zone = *sp.Zone
		}
		s.Needs = append(s.Needs, need)
	}
	sort.Slice(s.Needs, func(a, b int) bool {
		if s.Needs[a].Rank != s.Needs[b].Rank {
			return s.Needs[a].Rank > s.Needs[b].Rank
		}
		return s.Needs[a].Waited > s.Needs[b].Waited
	})
	if len(s.Needs) > maxNeeds {
		s.Needs = s.Needs[:maxNeeds]
	}
	for _, m := range p.machines {
		f := free(m)
		fm := fleet.Machine{
			ID: m.ID, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Up: m.up, Usable: p.usable(m, now),
			Leaving: m.moveTo >= 0 || m.drain || m.gone || m.Phase != record.InUse || !m.taken.IsZero(),
			CPUs:    f.cpus, GPUs: f.gpus, MemoryGB: f.mem, Tasks: len(m.on),
		}
		if len(m.on) == 0 && m.up && !m.idleSince.IsZero() {
			fm.Idle = now.Sub(m.idleSince)
		}
		for _, i := range m.images {
			fm.Images = append(fm.Images, i.Name)
		}
		if m.reserved != "" && now.Before(m.reservedT) {
			fm.Usable = false
		}
		for k := range m.on {
			fm.TopRank = max(fm.TopRank, k.job.rank)
		}
		s.Machines = append(s.Machines, fm)
	}
	sort.Slice(s.Machines, func(a, b int) bool { return s.Machines[a].ID < s.Machines[b].ID })
	return s
}

// maxNeeds bounds what a summary tells.
const maxNeeds = 64

// Order carries out the leader's wish for a machine, as far as it still fits.
func (p *Part) Order(o fleet.Order, now time.Time) {
	m := p.machines[o.Machine]
	if m == nil || m.moveTo >= 0 || m.drain || m.Phase != record.InUse || m.gone || m.txn != nil {
		return
	}
	for k, t := range m.on {
		if !t.stop && (o.Below <= 0 || k.job.rank >= o.Below) {
			return // in use by now
		}
	}
	if o.To == fleet.Back {
		m.drain = true
		return
	}
	if !m.fenced || m.reserved != "" && now.Before(m.reservedT) {
		return
	}
	m.moveTo = o.To
	p.clear(m, now)
}
