package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Author makes the transactions of one turn of a part's owner. Each is conditioned on the
// part's token and on the version of every record that it relies on, so that of two
// controllers that decide at the same moment one fails.
type Author struct {
	Input
	Owner wire.Cond // the part's record
	// Gone tells whether a machine has been given back or is lost.
	Gone func(machine string) bool
	// Waited is how long machines were held since the last write, by drain and reason.
	Waited map[string]map[HoldReason]time.Duration
}

// Write is a transaction to carry out.
type Write struct {
	Txn    wire.Txn
	Course string // the drain whose course it brings up to date, if any
	Team   string // the team whose ledger it writes, if any
}

// courseEvery is how often the course of a drain is written if nothing else is.
const courseEvery = 30 * time.Second

// Writes returns the transactions that bring the records up to the steps.
func (a *Author) Writes(steps Steps, ledgers *Ledgers) []Write {
	var out []Write
	for _, team := range slices.Sorted(maps.Keys(ledgers.dirty)) {
		if w, ok := a.ledgerWrite(team, steps, ledgers); ok {
			out = append(out, w)
		}
	}
	if w, ok := a.cordonWrite(steps, ledgers); ok {
		out = append(out, w)
	}
	if len(out) == 0 {
		out = append(out, a.courseWrites(ledgers)...)
	}
	return out
}

// ledgerWrite writes a team's ledger, with what is granted to a drain, if anything is.
func (a *Author) ledgerWrite(team string, steps Steps, ledgers *Ledgers) (Write, bool) {
	l := ledgers.of(team)
	l.Forget(a.Settings.Budget(team), a.Now)
	if !l.Fit(func(l *Ledger) int { return encodedSize(l) }, a.Bytes) {
		return Write{}, false
	}
	w := Write{Txn: wire.Txn{If: []wire.Cond{a.Owner}}, Team: team}
	a.put(&w, LedgerKey(team), a.View.Ledger(team).Version, l)
	var granted []Eviction
	for _, e := range steps.Evict {
		if e.Team == team {
			granted = append(granted, e)
		}
	}
	if len(granted) > 0 {
		a.relyOn(&w, granted[0].Drain)
		a.putCourse(&w, granted[0].Drain, ledgers, func(c *Course) {
			for _, e := range granted {
				c.Evicted(team, e.Lost, e.Forced)
			}
		})
	}
	return w, true
}

// cordonWrite writes which machines are cordoned: without those that are gone or whose
// drain is over, and with those that are next, for one drain at a time.
func (a *Author) cordonWrite(steps Steps, ledgers *Ledgers) (Write, bool) {
	held := a.View.Cordons()
	next := held.Rec.Clone()
	name, gone, lifted := a.lift(&next)
	added := 0
	if name == "" || name == steps.Drain {
		added = a.add(&next, steps)
	}
	if added > 0 {
		name = steps.Drain
	}
	if gone+lifted+added == 0 {
		return Write{}, false
	}
	w := Write{Txn: wire.Txn{If: []wire.Cond{a.Owner}}}
	a.put(&w, CordonsKey, held.Version, next)
	a.relyOn(&w, name)
	a.putCourse(&w, name, ledgers, func(c *Course) {
		c.Cordoned += added
		c.Returned += gone
	})
	return w, true
}

// lift takes out what needs no cordon any more of the first drain that has such machines,
// and returns its name, and how many machines are gone and how many stay.
func (a *Author) lift(c *Cordons) (name string, gone, stay int) {
	for _, id := range slices.Sorted(maps.Keys(c.Machines)) {
		at := c.Machines[id]
		plan, ok := a.View.Plan(at.Drain)
		isGone := a.Gone(id)
		over := !ok || plan.Rec.State.Over()
		if at.Part != a.Part || !(isGone || over) || (name != "" && name != at.Drain) {
			continue
		}
		name = at.Drain
		delete(c.Machines, id)
		if isGone {
			gone++
		} else {
			stay++
		}
	}
	return name, gone, stay
}

// add cordons the machines that are next, as far as the record has room.
func (a *Author) add(c *Cordons, steps Steps) int {
	zones := map[string]string{}
	for _, m := range a.Machines {
		zones[m.ID] = m.Zone
	}
	added := 0
	for _, id := range steps.Cordon {
		c.Machines[id] = Cordon{Drain: steps.Drain, Since: a.Now.UnixMilli(), Part: a.Part, Zone: zones[id]}
		if encodedSize(c) > a.Bytes {
			delete(c.Machines, id)
			break
		}
		added++
	}
	return added
}

// courseWrites brings courses up to date that have not been for a while.
func (a *Author) courseWrites(ledgers *Ledgers) []Write {
	for _, name := range slices.Sorted(maps.Keys(a.Waited)) {
		c := a.View.Course(name, a.Part).Rec
		if n := len(c.Points); n > 0 && a.Now.Sub(time.UnixMilli(c.Points[n-1].At)) < courseEvery {
			continue
		}
		w := Write{Txn: wire.Txn{If: []wire.Cond{a.Owner}}}
		a.putCourse(&w, name, ledgers, func(*Course) {})
		return []Write{w}
	}
	return nil
}

// put adds a record that replaces one of a version.
func (a *Author) put(w *Write, key string, version uint64, rec any) {
	w.Txn.If = append(w.Txn.If, wire.Cond{Key: key, Version: version})
	w.Txn.Then = append(w.Txn.Then, wire.Op{Put: key, Value: record.Encode(rec)})
}

// relyOn makes a write fail if a drain's record is not what it is taken for.
func (a *Author) relyOn(w *Write, name string) {
	p, _ := a.View.Plan(name)
	w.Txn.If = append(w.Txn.If, wire.Cond{Key: PlanKey(name), Version: p.Version})
}

// putCourse adds the course of a drain, changed and with a new point.
func (a *Author) putCourse(w *Write, name string, ledgers *Ledgers, change func(*Course)) {
	held := a.View.Course(name, a.Part)
	c := held.Rec.Clone()
	change(&c)
	for reason, d := range a.Waited[name] {
		c.HeldS[reason] += d.Seconds()
	}
	usage := map[string]Use{}
	for team := range c.Teams {
		usage[team] = ledgers.of(team).Usage(a.Settings.Budget(team), a.Now)
	}
	c.Mark(a.Now, usage)
	if !c.Fit(func(c *Course) int { return encodedSize(c) }, a.Bytes) {
		return // too many teams for one record: the report goes without
	}
	a.put(w, CourseKey(name, a.Part), held.Version, c)
	w.Course = name
}

// keptOver is how many drains that are over are kept for their reports.
const keptOver = 32

// Conclude returns the transaction by which the leader ends drains that have no machine
// left, or clears away the records of old ones.
func Conclude(v *View, left func(*Plan) bool, ops int, now time.Time) (wire.Txn, bool) {
	var over []Versioned[Plan]
	for _, p := range v.Plans() {
		if p.Rec.State.Over() {
			over = append(over, p)
			continue
		}
		if p.Rec.State == Active && !v.cordonsOf(p.Rec.Name) && !left(&p.Rec) {
			return conclude(v, p, now), true
		}
	}
	if len(over) <= keptOver {
		return wire.Txn{}, false
	}
	return v.clear(over[0], ops), true
}

func conclude(v *View, p Versioned[Plan], now time.Time) wire.Txn {
	key := PlanKey(p.Rec.Name)
	ended := p.Rec
	ended.State, ended.Ended = Finished, now.UnixMilli()
	return wire.Txn{
		If:   []wire.Cond{{Key: key, Version: p.Version}, {Key: CordonsKey, Version: v.cordons.Version}},
		Then: []wire.Op{{Put: key, Value: record.Encode(ended)}},
	}
}

// cordonsOf reports whether a machine is cordoned for a drain.
func (v *View) cordonsOf(name string) bool {
	for _, c := range v.cordons.Rec.Machines {
		if c.Drain == name {
			return true
		}
	}
	return false
}

// clear removes the records of a drain that is over: what its parts did first, a few at a
// time, and the drain itself last.
func (v *View) clear(p Versioned[Plan], ops int) wire.Txn {
	var t wire.Txn
	remove := func(key string, version uint64) {
		t.If = append(t.If, wire.Cond{Key: key, Version: version})
		t.Then = append(t.Then, wire.Op{Delete: key})
	}
	for _, key := range slices.Sorted(maps.Keys(v.courses)) {
		if strings.HasPrefix(key, CoursePrefix+p.Rec.Name+"/") && len(t.Then) < ops {
			remove(key, v.courses[key].Version)
		}
	}
	if len(t.Then) < ops {
		remove(PlanKey(p.Rec.Name), p.Version)
	}
	return t
}
