package leader

import (
	"context"
	"time"

	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// concurrentAddressRecords bounds the provisions whose addresses are recorded in one turn.
const concurrentAddressRecords = 3

// recordAddressesLocked records the addresses of a provision's machines once all that will
// come up have reported, a few provisions at a time.
func (l *Leader) recordAddressesLocked(ctx context.Context, t *term, summaries []fleet.Summary) {
	p := &t.provisions
	p.learnAddresses(summaries)
	machines := l.host.FleetLocked()
	left := concurrentAddressRecords
	for name, r := range machines.ProvisionsWithoutAddresses() {
		if p.recordingAddresses[name] {
			continue // a second write would only find that the first came
		}
		addresses, complete := p.addressesOf(machines, r.Rec.IDs)
		if !complete {
			continue
		}
		if left--; left < 0 {
			return
		}
		for _, id := range r.Rec.IDs {
			delete(p.addresses, id)
		}
		rec, fits := withAddresses(r.Rec, addresses, l.writeLimits().Bytes())
		if !fits {
			continue // written before the limits were known, and too large by itself
		}
		l.writeAddressesLocked(ctx, p, name, rec, r.Version)
	}
}

// learnAddresses keeps the addresses that owners tell.
func (p *provisions) learnAddresses(summaries []fleet.Summary) {
	for _, summary := range summaries {
		for _, m := range summary.Machines {
			if m.Addr != "" {
				p.addresses[m.ID] = m.Addr
			}
		}
	}
}

// learnListedAddresses keeps the addresses that the cloud's list tells and no owner does, for
// provisions that are recorded without: a machine that is silent by now could not be asked whether
// it is alive.
func (p *provisions) learnListedAddresses(list []wire.ListedMachine, machines *clusterview.Machines) {
	var ids []string
	for _, r := range machines.ProvisionsWithoutAddresses() {
		ids = append(ids, r.Rec.IDs...)
	}
	for id, address := range addressesOf(list, ids) {
		if p.addresses[id] == "" && address != "" {
			p.addresses[id] = address
		}
	}
}

// addressesOf returns the addresses of machines, empty for those that never came up. It
// returns false as long as one may yet come up, or if none did.
func (p *provisions) addressesOf(machines *clusterview.Machines, ids []string) ([]string, bool) {
	addresses, some := make([]string, len(ids)), false
	for i, id := range ids {
		addresses[i] = p.addresses[id]
		if v, _ := machines.Machine(id); addresses[i] == "" && v.Phase == record.InUse {
			return nil, false
		}
		some = some || addresses[i] != ""
	}
	return addresses, some
}

// withAddresses returns a provision's record with as many addresses as there is room for.
// Whose address finds none is asked for when it reports. It returns false if the record
// is too large even so.
func withAddresses(rec record.Provision, addresses []string, bytes int) (record.Provision, bool) {
	some := func(n int) any {
		rec.Addrs = make([]string, len(addresses))
		copy(rec.Addrs, addresses[:n])
		return rec
	}
	rec = some(record.LargestFitting(bytes, 0, len(addresses), some)).(record.Provision)
	return rec, len(record.Encode(rec)) <= bytes
}

func (l *Leader) writeAddressesLocked(ctx context.Context, p *provisions, name string, rec record.Provision, version uint64) {
	t := wire.Txn{
		If:   []wire.Condition{{Key: record.ProvisionKey(name), Version: version}},
		Then: []wire.Op{{Put: record.ProvisionKey(name), Value: record.Encode(rec)}},
	}
	p.recordingAddresses[name] = true
	go func() {
		rev, err := l.host.Store().Txn(ctx, statestore.Routine("addresses"), t)
		l.host.Lock()
		defer l.host.Unlock()
		delete(p.recordingAddresses, name)
		if err != nil {
			l.log.Debug("addresses not recorded", "name", name, "err", err)
			return // told and tried again
		}
		l.host.ApplyOwnWritesLocked(t, rev, time.Now())
	}()
}
