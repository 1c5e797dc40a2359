package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// TxnBuilder makes the transactions of one turn of a shard's owner. Each is conditioned on the
// shard's fencing token and on the version of every record that it relies on, so that of two
// controllers that decide at the same moment one fails.
type TxnBuilder struct {
	Input
	Owner wire.Condition // the shard's record
	// MachineGone tells whether a machine was released or is lost.
	MachineGone func(machine string) bool
	// Tokens are the fencing tokens of all shards' owners, none while not all controllers take part
	// in drains. Serving counts this shard's machines that take work, by zone.
	Tokens  map[int]uint64
	Serving map[string]int
	// HoldTimes is how long machines were held since the last write, by drain and reason.
	HoldTimes map[string]map[HoldReason]time.Duration
}

// Write is a transaction to carry out.
type Write struct {
	Txn      wire.Txn
	Progress string // the drain whose progress it brings up to date, if any
	Team     string // the team whose ledger it writes, if any
}

// progressInterval is how often the progress of a drain is written if nothing else is.
const progressInterval = 30 * time.Second

// Writes returns the transactions that bring the records up to the steps.
func (b *TxnBuilder) Writes(steps Steps, ledgers *Ledgers) []Write {
	var out []Write
	if w, ok := b.servingWrite(); ok {
		out = append(out, w)
	}
	for _, team := range slices.Sorted(maps.Keys(ledgers.changed)) {
		if w, ok := b.ledgerWrite(team, steps, ledgers); ok {
			out = append(out, w)
		}
	}
	if w, ok := b.cordonWrite(steps, ledgers); ok {
		out = append(out, w)
	}
	if len(out) == 0 {
		out = append(out, b.progressWrites(ledgers)...)
	}
	return out
}

// ledgerWrite writes a team's ledger, with what is granted to a drain, if anything is.
func (b *TxnBuilder) ledgerWrite(team string, steps Steps, ledgers *Ledgers) (Write, bool) {
	l := ledgers.forTeam(team)
	l.Expire(b.Settings.Budget(team), b.Now)
	if !l.ShrinkTo(func(l *Ledger) int { return encodedSize(l) }, b.MaxRecordBytes) {
		return Write{}, false
	}
	w := Write{Txn: wire.Txn{If: []wire.Condition{b.Owner}}, Team: team}
	b.putIfVersion(&w, LedgerKey(team), b.View.Ledger(team).Version, l)
	var granted []Eviction
	for _, e := range steps.Evictions {
		if e.Team == team {
			granted = append(granted, e)
		}
	}
	if len(granted) > 0 {
		b.requireUnchanged(&w, granted[0].Drain)
		b.putProgress(&w, granted[0].Drain, ledgers, func(c *Progress) {
			for _, e := range granted {
				c.CountEviction(team, e.LostWork, e.Forced)
			}
		})
	}
	return w, true
}

// servingUpdate returns the record of how many machines take work as it should be, and whether it
// is outdated.
func (b *TxnBuilder) servingUpdate() (next Serving, outdated bool) {
	newest := b.View.NewestActivePlan()
	if len(b.Tokens) == 0 || newest == 0 {
		return Serving{}, false
	}
	return b.View.Serving(b.Shard).Rec.Update(b.Owner.Version, newest, b.Serving)
}

// servingWrite records how many machines take work, unless the record tells that already.
func (b *TxnBuilder) servingWrite() (Write, bool) {
	next, outdated := b.servingUpdate()
	if !outdated {
		return Write{}, false
	}
	w := Write{Txn: wire.Txn{If: []wire.Condition{b.Owner}}}
	b.putIfVersion(&w, ServingKey(b.Shard), b.View.Serving(b.Shard).Version, next)
	return w, true
}

// KnownZones returns what is known of the zones by the machines that records tell in each. What
// this shard is yet to record itself is not known.
func (b *TxnBuilder) KnownZones(recorded map[string]int) map[string]Zone {
	tokens := maps.Clone(b.Tokens)
	if _, outdated := b.servingUpdate(); outdated {
		delete(tokens, b.Shard)
	}
	serving := b.View.ServingByZone(tokens)
	out := map[string]Zone{}
	for zone, n := range recorded {
		out[zone] = Zone{Recorded: n, Serving: serving[zone]}
	}
	return out
}

// requireServing makes a write fail if any shard's count of machines that take work has changed.
func (b *TxnBuilder) requireServing(w *Write) {
	for _, shard := range slices.Sorted(maps.Keys(b.Tokens)) {
		w.Txn.If = append(w.Txn.If, wire.Condition{Key: ServingKey(shard), Version: b.View.Serving(shard).Version})
	}
}

// cordonWrite writes which machines are cordoned: without those that are gone or whose
// drain is over, and with those that are next, for one drain at a time.
func (b *TxnBuilder) cordonWrite(steps Steps, ledgers *Ledgers) (Write, bool) {
	held := b.View.Cordons()
	next := held.Rec.Clone()
	name, gone, lifted := b.liftCordons(&next)
	added := 0
	if name == "" || name == steps.Drain {
		added = b.addCordons(&next, steps)
	}
	if added > 0 {
		name = steps.Drain
	}
	if gone+lifted+added == 0 {
		return Write{}, false
	}
	w := Write{Txn: wire.Txn{If: []wire.Condition{b.Owner}}}
	b.putIfVersion(&w, CordonsKey, held.Version, next)
	b.requireUnchanged(&w, name)
	if added > 0 {
		b.requireServing(&w)
	}
	b.putProgress(&w, name, ledgers, func(c *Progress) {
		c.Cordoned += added
		c.Returned += gone
	})
	return w, true
}

// liftCordons takes out what needs no cordon any more of the first drain that has such machines,
// and returns its name, and how many machines are gone and how many stay.
func (b *TxnBuilder) liftCordons(c *Cordons) (name string, gone, stay int) {
	for _, id := range slices.Sorted(maps.Keys(c.Machines)) {
		at := c.Machines[id]
		plan, ok := b.View.Plan(at.Drain)
		isGone := b.MachineGone(id)
		over := !ok || plan.Rec.State.Terminal()
		if at.Shard != b.Shard || !(isGone || over) || (name != "" && name != at.Drain) {
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

// addCordons cordons the machines that are next, as far as the record has room.
func (b *TxnBuilder) addCordons(c *Cordons, steps Steps) int {
	zones := map[string]string{}
	for _, m := range b.Machines {
		zones[m.ID] = m.Zone
	}
	added := 0
	for _, id := range steps.Cordon {
		c.Machines[id] = Cordon{Drain: steps.Drain, Since: b.Now.UnixMilli(), Shard: b.Shard, Zone: zones[id]}
		if encodedSize(c) > b.MaxRecordBytes {
			delete(c.Machines, id)
			break
		}
		added++
	}
	return added
}

// progressWrites brings progress records up to date that have not been for a while.
func (b *TxnBuilder) progressWrites(ledgers *Ledgers) []Write {
	for _, name := range slices.Sorted(maps.Keys(b.HoldTimes)) {
		c := b.View.Progress(name, b.Shard).Rec
		if n := len(c.Samples); n > 0 && b.Now.Sub(time.UnixMilli(c.Samples[n-1].At)) < progressInterval {
			continue
		}
		w := Write{Txn: wire.Txn{If: []wire.Condition{b.Owner}}}
		b.putProgress(&w, name, ledgers, func(*Progress) {})
		return []Write{w}
	}
	return nil
}

// putIfVersion adds a record that replaces one of a version.
func (b *TxnBuilder) putIfVersion(w *Write, key string, version uint64, rec any) {
	w.Txn.If = append(w.Txn.If, wire.Condition{Key: key, Version: version})
	w.Txn.Then = append(w.Txn.Then, wire.Op{Put: key, Value: record.Encode(rec)})
}

// requireUnchanged makes a write fail if a drain's record is not what it is taken for.
func (b *TxnBuilder) requireUnchanged(w *Write, name string) {
	p, _ := b.View.Plan(name)
	w.Txn.If = append(w.Txn.If, wire.Condition{Key: PlanKey(name), Version: p.Version})
}

// putProgress adds the progress of a drain, changed and with a new sample.
func (b *TxnBuilder) putProgress(w *Write, name string, ledgers *Ledgers, change func(*Progress)) {
	held := b.View.Progress(name, b.Shard)
	c := held.Rec.Clone()
	change(&c)
	for reason, d := range b.HoldTimes[name] {
		c.HoldSeconds[reason] += d.Seconds()
	}
	usage := map[string]BudgetUse{}
	for team := range c.Teams {
		usage[team] = ledgers.forTeam(team).Usage(b.Settings.Budget(team), b.Now)
	}
	c.AddSample(b.Now, usage)
	if !c.ShrinkTo(func(c *Progress) int { return encodedSize(c) }, b.MaxRecordBytes) {
		return // too many teams for one record: the report goes without
	}
	b.putIfVersion(w, ProgressKey(name, b.Shard), held.Version, c)
	w.Progress = name
}

// terminalPlansKept is how many drains that are over are kept for their reports.
const terminalPlansKept = 32

// FinishOrPurge returns the transaction by which the leader ends drains that have no machine
// left, or clears away the records of old ones.
func FinishOrPurge(v *View, left func(*Plan) bool, ops int, now time.Time) (wire.Txn, bool) {
	var over []Versioned[Plan]
	for _, p := range v.Plans() {
		if p.Rec.State.Terminal() {
			over = append(over, p)
			continue
		}
		if p.Rec.State == Active && !v.cordonsOf(p.Rec.Name) && !left(&p.Rec) {
			return finish(v, p, now), true
		}
	}
	if len(over) <= terminalPlansKept {
		return wire.Txn{}, false
	}
	return v.purge(over[0], ops), true
}

func finish(v *View, p Versioned[Plan], now time.Time) wire.Txn {
	key := PlanKey(p.Rec.Name)
	ended := p.Rec
	ended.State, ended.Ended = Finished, now.UnixMilli()
	return wire.Txn{
		If:   []wire.Condition{{Key: key, Version: p.Version}, {Key: CordonsKey, Version: v.cordons.Version}},
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

// purge removes the records of a drain that is over: what its shards did first, a few at a
// time, and the drain itself last.
func (v *View) purge(p Versioned[Plan], ops int) wire.Txn {
	var t wire.Txn
	remove := func(key string, version uint64) {
		t.If = append(t.If, wire.Condition{Key: key, Version: version})
		t.Then = append(t.Then, wire.Op{Delete: key})
	}
	for _, key := range slices.Sorted(maps.Keys(v.progress)) {
		if strings.HasPrefix(key, ProgressPrefix+p.Rec.Name+"/") && len(t.Then) < ops {
			remove(key, v.progress[key].Version)
		}
	}
	if len(t.Then) < ops {
		remove(PlanKey(p.Rec.Name), p.Version)
	}
	return t
}
