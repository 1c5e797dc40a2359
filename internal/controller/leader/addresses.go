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

// recordAddressesLocked records the addresses of a provision's machines once all its machines that
// will come up have reported. It does so for a few provisions in each turn.
func (l *Leader) recordAddressesLocked(ctx context.Context, t *term, summaries []fleet.Summary) {
	p := &t.provisions
	p.learnAddresses(summaries)
	machines := l.host.FleetLocked()
	left := concurrentAddressRecords
	for name, r := range machines.ProvisionsWithoutAddresses() {
		if p.recordingAddresses[name] {
			continue // a second write would only conflict with the first
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
		rec, fits := withAddresses(r.Rec, addresses, l.writeLimits().MaxValueBytes())
		if !fits {
			continue // the record was written before the limits were known, and is too large without addresses
		}
		l.writeAddressesLocked(ctx, p, name, rec, r.Version)
	}
}

// learnAddresses keeps the addresses of machines in the owners' summaries.
func (p *provisions) learnAddresses(summaries []fleet.Summary) {
	for _, summary := range summaries {
		for _, m := range summary.Machines {
			if m.Addr != "" {
				p.addresses[m.ID] = m.Addr
			}
		}
	}
}

// learnListedAddresses keeps the addresses in the cloud's list that no owner has reported, for the
// machines of provisions recorded without addresses. Without its address, a machine that has
// become silent could not be probed.
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

// addressesOf returns the addresses of machines in the order of ids, with an empty address for each
// machine that never came up. It returns false if a machine without an address may still come up,
// or if no machine has an address.
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

// withAddresses returns a provision's record with as many of the addresses as a record of the given
// size in bytes has room for. The addresses of the other machines are learned when they report. It
// returns false if the record is too large even without addresses.
func withAddresses(rec record.Provision, addresses []string, bytes int) (record.Provision, bool) {
	some := func(n int) any {
		rec.Addrs = make([]string, len(addresses))
		copy(rec.Addrs, addresses[:n])
		return rec
	}
	rec = some(record.LargestFitting(bytes, 0, len(addresses), some)).(record.Provision)
	return rec, len(record.Encode(rec)) <= bytes
}

// writeAddressesLocked begins to write a provision's record with its addresses, on condition that
// the record still has the given version.
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
			l.log.Debug("machine addresses of a provision not recorded", "name", name, "err", err)
			return // retried after the owners have reported the addresses again
		}
		l.host.ApplyOwnWritesLocked(t, rev, time.Now())
	}()
}
