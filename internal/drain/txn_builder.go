package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// TxnBuilder builds the transactions of one turn of a shard's owner. Each is conditional on the shard's
// fencing token and on the version of every record that it relies on: if two controllers decide at the
// same moment, the transaction of one of them fails.
type TxnBuilder struct {
	Input
	Owner wire.Condition // that the shard's record has the owner's fencing token as its version
	// MachineGone reports whether a machine was released or has no record.
	MachineGone func(machine string) bool
	// Tokens holds the fencing tokens of all shards' owners, by shard. It is empty until all controllers
	// take part in drains. Serving counts this shard's machines that take work, by zone.
	Tokens  map[int]uint64
	Serving map[string]int
	// HoldTimes is how long machines were held since that was last written, by drain and reason.
	HoldTimes map[string]map[HoldReason]time.Duration
}

// Write is a transaction that the shard's owner has to commit.
type Write struct {
	Txn      wire.Txn
	Progress string // the drain whose progress it writes, if any
	Team     string // the team whose ledger it writes, if any
}

// progressInterval is the age of its last sample at which the progress of a drain is written in a turn
// that writes nothing else.
const progressInterval = 30 * time.Second

// Writes returns the transactions that record the steps and the changed ledgers.
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

// ledgerWrite returns the write of a team's ledger, with the evictions that it grants and their count in
// the drain's progress. It returns false if the ledger does not fit into a record.
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

// servingUpdate returns the shard's Serving record as it should be, and whether the present record is
// outdated. While no drain is active or not all controllers take part, none is outdated.
func (b *TxnBuilder) servingUpdate() (next Serving, outdated bool) {
	newest := b.View.NewestActivePlan()
	if len(b.Tokens) == 0 || newest == 0 {
		return Serving{}, false
	}
	return b.View.Serving(b.Shard).Rec.Update(b.Owner.Version, newest, b.Serving)
}

// servingWrite returns the write of the shard's Serving record, if it is outdated.
func (b *TxnBuilder) servingWrite() (Write, bool) {
	next, outdated := b.servingUpdate()
	if !outdated {
		return Write{}, false
	}
	w := Write{Txn: wire.Txn{If: []wire.Condition{b.Owner}}}
	b.putIfVersion(&w, ServingKey(b.Shard), b.View.Serving(b.Shard).Version, next)
	return w, true
}

// KnownZones returns the zones with the machines that take work by the Serving records; recorded counts
// the machines in service by zone. This shard's own record does not count while it is outdated.
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

// requireServing makes a write conditional on all shards' Serving records being unchanged.
func (b *TxnBuilder) requireServing(w *Write) {
	for _, shard := range slices.Sorted(maps.Keys(b.Tokens)) {
		w.Txn.If = append(w.Txn.If, wire.Condition{Key: ServingKey(shard), Version: b.View.Serving(shard).Version})
	}
}

// cordonWrite returns the write of the cordons, for one drain at a time: without the machines that are
// gone or whose drain has ended, and with those to cordon next. It returns false if nothing changes.
func (b *TxnBuilder) cordonWrite(steps Steps, ledgers *Ledgers) (Write, bool) {
	cordons := b.View.Cordons()
	next := cordons.Rec.Clone()
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
	b.putIfVersion(&w, CordonsKey, cordons.Version, next)
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

// liftCordons removes the shard's machines that need no cordon any more, of the first drain that has
// any. It returns the name of the drain, how many of the machines are gone and how many stay.
func (b *TxnBuilder) liftCordons(c *Cordons) (name string, gone, stay int) {
	for _, id := range slices.Sorted(maps.Keys(c.Machines)) {
		cordon := c.Machines[id]
		plan, ok := b.View.Plan(cordon.Drain)
		isGone := b.MachineGone(id)
		ended := !ok || plan.Rec.State.Terminal()
		if cordon.Shard != b.Shard || !(isGone || ended) || (name != "" && name != cordon.Drain) {
			continue
		}
		name = cordon.Drain
		delete(c.Machines, id)
		if isGone {
			gone++
		} else {
			stay++
		}
	}
	return name, gone, stay
}

// addCordons adds the machines to cordon next, as far as they fit into the record, and returns how many
// it added.
func (b *TxnBuilder) addCordons(c *Cordons, steps Steps) int {
	zoneOf := map[string]string{}
	for _, m := range b.Machines {
		zoneOf[m.ID] = m.Zone
	}
	added := 0
	for _, id := range steps.Cordon {
		c.Machines[id] = Cordon{Drain: steps.Drain, Since: b.Now.UnixMilli(), Shard: b.Shard, Zone: zoneOf[id]}
		if encodedSize(c) > b.MaxRecordBytes {
			delete(c.Machines, id)
			break
		}
		added++
	}
	return added
}

// progressWrites returns the write of the first drain's progress whose last sample is as old as
// progressInterval, or nil if there is none.
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

// putIfVersion adds the put of a record to a write, conditional on the version of the present one.
func (b *TxnBuilder) putIfVersion(w *Write, key string, version uint64, rec any) {
	w.Txn.If = append(w.Txn.If, wire.Condition{Key: key, Version: version})
	w.Txn.Then = append(w.Txn.Then, wire.Op{Put: key, Value: record.Encode(rec)})
}

// requireUnchanged makes a write conditional on a drain's record being the one in the view.
func (b *TxnBuilder) requireUnchanged(w *Write, name string) {
	p, _ := b.View.Plan(name)
	w.Txn.If = append(w.Txn.If, wire.Condition{Key: PlanKey(name), Version: p.Version})
}

// putProgress adds the changed progress of a drain, with the hold times and a new sample, to a write.
func (b *TxnBuilder) putProgress(w *Write, name string, ledgers *Ledgers, change func(*Progress)) {
	current := b.View.Progress(name, b.Shard)
	c := current.Rec.Clone()
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
		return // too many teams for one record: this change is missing from the report
	}
	b.putIfVersion(w, ProgressKey(name, b.Shard), current.Version, c)
	w.Progress = name
}

// terminalPlansKept is how many ended drains are kept for their reports.
const terminalPlansKept = 32

// FinishOrPurge returns the next transaction by which the leader finishes an active drain without
// machines, or deletes records of the oldest ended drain if more than terminalPlansKept are stored; false
// if there is neither. hasMachines reports whether a drain selects a machine that is still there. maxOps
// bounds the operations of the transaction.
func FinishOrPurge(v *View, hasMachines func(*Plan) bool, maxOps int, now time.Time) (wire.Txn, bool) {
	var ended []Versioned[Plan]
	for _, p := range v.Plans() {
		if p.Rec.State.Terminal() {
			ended = append(ended, p)
			continue
		}
		if p.Rec.State == Active && !v.hasCordons(p.Rec.Name) && !hasMachines(&p.Rec) {
			return finish(v, p, now), true
		}
	}
	if len(ended) <= terminalPlansKept {
		return wire.Txn{}, false
	}
	return v.purge(ended[0], maxOps), true
}

// finish returns the transaction that finishes a drain, conditional on the cordons being unchanged.
func finish(v *View, p Versioned[Plan], now time.Time) wire.Txn {
	key := PlanKey(p.Rec.Name)
	ended := p.Rec
	ended.State, ended.Ended = Finished, now.UnixMilli()
	return wire.Txn{
		If:   []wire.Condition{{Key: key, Version: p.Version}, {Key: CordonsKey, Version: v.cordons.Version}},
		Then: []wire.Op{{Put: key, Value: record.Encode(ended)}},
	}
}

// hasCordons reports whether any machine is cordoned for a drain.
func (v *View) hasCordons(name string) bool {
	for _, c := range v.cordons.Rec.Machines {
		if c.Drain == name {
			return true
		}
	}
	return false
}

// purge returns a transaction that deletes records of an ended drain, at most maxOps of them: its
// progress first and the plan last.
func (v *View) purge(p Versioned[Plan], maxOps int) wire.Txn {
	var t wire.Txn
	remove := func(key string, version uint64) {
		t.If = append(t.If, wire.Condition{Key: key, Version: version})
		t.Then = append(t.Then, wire.Op{Delete: key})
	}
	for _, key := range slices.Sorted(maps.Keys(v.progress)) {
		if strings.HasPrefix(key, ProgressPrefix+p.Rec.Name+"/") && len(t.Then) < maxOps {
			remove(key, v.progress[key].Version)
		}
	}
	if len(t.Then) < maxOps {
		remove(PlanKey(p.Rec.Name), p.Version)
	}
	return t
}
