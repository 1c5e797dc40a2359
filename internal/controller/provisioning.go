package controller

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// addPendingMachines adds to the summaries what is rented but not yet told by owners. The
// lock is held.
func (c *Controller) addPendingMachines(sums []fleet.Summary, rentals map[string]record.Provision) {
	at := map[int]int{}
	told := map[string]bool{}
	for i, summary := range sums {
		at[summary.Part] = i
		for _, m := range summary.Machines {
			told[m.ID] = true
		}
	}
	coming := func(id, typ, zone string, spot bool, part int) {
		i, ok := at[part]
		if !ok {
			return
		}
		for _, t := range c.machineTypes {
			if t.Name == typ {
				sums[i].Machines = append(sums[i].Machines, fleet.Machine{
					ID: id, Type: typ, Zone: zone, Spot: spot, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB,
				})
			}
		}
	}
	c.fleet.Each(func(id string, v record.View) {
		if !told[id] && v.Phase == record.InUse {
			coming(id, v.Type, v.Zone, v.Spot, v.Shard)
		}
	})
	under := map[string]record.Provision{}
	for name, r := range c.fleet.Unfinished() {
		under[name] = r.Rec
	}
	for name, r := range rentals {
		if rec, ok := c.fleet.Rental(name); !ok || len(rec.IDs) == 0 {
			under[name] = r // those whose machines are known were counted above
		}
	}
	for _, r := range under {
		for _, part := range r.Shards {
			coming("", r.Type, r.Zone, r.Spot, part)
		}
	}
}

// recordAddresses records the addresses of a rental's machines once all that will come up
// have reported, a few rentals at a time. The lock is held.
func (c *Controller) recordAddresses(ctx context.Context, l *leadership, sums []fleet.Summary) {
	for _, summary := range sums {
		for _, m := range summary.Machines {
			if m.Addr != "" {
				l.addresses[m.ID] = m.Addr
			}
		}
	}
	left := concurrentAddressRecords
	for name, r := range c.fleet.Unaddressed() {
		if l.recordingAddresses[name] {
			continue // a second write would only find that the first came
		}
		addrs, found := make([]string, len(r.Rec.IDs)), false
		for i, id := range r.Rec.IDs {
			v, _ := c.fleet.Machine(id)
			if addrs[i] = l.addresses[id]; addrs[i] == "" && v.Phase == record.InUse {
				found = false
				break
			}
			found = found || addrs[i] != ""
		}
		if !found {
			continue
		}
		if left--; left < 0 {
			return
		}
		for _, id := range r.Rec.IDs {
			delete(l.addresses, id)
		}
		// Whose address finds no room is asked for when it reports.
		rec := r.Rec
		some := func(n int) any {
			rec.Addrs = make([]string, len(addrs))
			copy(rec.Addrs, addrs[:n])
			return rec
		}
		rec = some(record.Within(c.limits().Bytes(), 0, len(addrs), some)).(record.Provision)
		if len(record.Encode(rec)) > c.limits().Bytes() {
			continue // written before the limits were known, and too large by itself
		}
		t := wire.Txn{
			If:   []wire.Cond{{Key: record.ProvisionKey(name), Version: r.Version}},
			Then: []wire.Op{{Put: record.ProvisionKey(name), Value: record.Encode(rec)}},
		}
		l.recordingAddresses[name] = true
		go func() {
			rev, err := c.store.Txn(ctx, statestore.Routine("addresses"), t)
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(l.recordingAddresses, name)
			if err != nil {
				c.log.Debug("addresses", "rental", name, "err", err)
				return // told and tried again
			}
			c.applyOwnWrites(t, rev, time.Now())
		}()
	}
}

// maxProvision is how many machines a rental may ask for, so that its record has room
// for their names and addresses, of the size they usually have.
func (c *Controller) maxProvision() int {
	id, addr := "i-"+strings.Repeat("0", 8), "255.255.255.255:65535"
	return record.Within(c.limits().Bytes(), 1, protocolMaxProvision, func(n int) any {
		return record.Provision{Type: strings.Repeat("t", 32), Zone: strings.Repeat("z", 32), Spot: true, Born: math.MaxInt64,
			Shards: make([]int, n), IDs: slices.Repeat([]string{id}, n), Addrs: slices.Repeat([]string{addr}, n)}
	})
}

// protocolMaxProvision is the protocol's bound of one rental request.
const protocolMaxProvision = 50

// concurrentAddressRecords bounds the rentals whose addresses are recorded in one turn.
const concurrentAddressRecords = 3

// selectRequests returns the requests to make when there is room for n: the most urgent
// first, and in the last place the largest, which brings most for a call. Small
// urgent ones would else take every place for ever when much is missing.
func selectRequests(rents []fleet.ProvisionRequest, n int) []fleet.ProvisionRequest {
	if n <= 0 || len(rents) <= n {
		return rents[:min(len(rents), max(n, 0))]
	}
	last := rents[n-1]
	for _, r := range rents[n-1:] {
		if len(r.Shards) > len(last.Shards) {
			last = r
		}
	}
	return append(slices.Clone(rents[:n-1]), last)
}

// startProvision begins a rental. The lock is held.
func (c *Controller) startProvision(ctx context.Context, l *leadership, r fleet.ProvisionRequest) {
	l.seq++
	name := fmt.Sprintf("%s-%d-%d", c.cfg.Label, c.leader.version, l.seq)
	rec := record.Provision{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Shards: r.Shards}
	l.provisions[name] = rec
	leader := c.leader.version
	go func() {
		// The record comes first, under the lead it was decided under: a name
		// is never used again, and whoever leads next repeats the request.
		rev, err := c.store.Txn(ctx, statestore.Urgent("rental"), wire.Txn{
			If:   []wire.Cond{{Key: record.ProvisionPrefix + name}, {Key: record.LeaderKey, Version: leader}},
			Then: []wire.Op{{Put: record.ProvisionPrefix + name, Value: record.Encode(rec)}},
		})
		if err != nil {
			// Perhaps written all the same: then the next leader finishes it.
			c.forgetProvision(l, name)
			return
		}
		c.finishProvision(ctx, l, name, rec, rev)
	}()
}

func (c *Controller) forgetProvision(l *leadership, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(l.provisions, name)
}

func (c *Controller) finishProvision(ctx context.Context, l *leadership, name string, rec record.Provision, version uint64) {
	defer c.forgetProvision(l, name)
	key := record.ProvisionPrefix + name
	cond := []wire.Cond{{Key: key, Version: version}}
	for ctx.Err() == nil {
		ids, err := c.cloud.Rent(ctx, wire.ProvisionRequest{Request: name, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot, Count: len(rec.Shards)})
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			c.log.Info("rental", "name", name, "err", err)
			c.mu.Lock()
			leads := c.leadership == l
			c.mu.Unlock()
			if !leads {
				return // the record stays for the next leader
			}
			sleep(ctx, jitter(time.Second))
			continue
		}
		now := time.Now()
		pool := fleet.ProvisionRequest{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
		ids = ids[:min(len(ids), len(rec.Shards))]
		c.mu.Lock()
		if len(ids) < len(rec.Shards) {
			l.plan.CapacityRefused(pool, now)
		} else {
			l.plan.CapacityGranted(pool)
		}
		c.mu.Unlock()
		c.log.Info("rented", "name", name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "asked", len(rec.Shards), "got", len(ids))
		op := wire.Op{Delete: key}
		if len(ids) > 0 {
			rec.Shards, rec.IDs, rec.Born = rec.Shards[:len(ids)], ids, now.UnixMilli()
			op = wire.Op{Put: key, Value: record.Encode(rec)}
		}
		for ctx.Err() == nil {
			t := wire.Txn{If: cond, Then: []wire.Op{op}}
			rev, err := c.store.Txn(ctx, statestore.Urgent("rental"), t)
			if err == nil {
				c.mu.Lock()
				c.applyOwnWrites(t, rev, now)
				c.mu.Unlock()
				return
			}
			var conflict *statestore.ConflictError
			if errors.As(err, &conflict) {
				return // done by us with no answer, or by another leader
			}
			sleep(ctx, jitter(500*time.Millisecond))
		}
	}
}
