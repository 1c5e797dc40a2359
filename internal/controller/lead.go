package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/config"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// Defaults of the leader's choices.
const (
	balanceEvery = 30 * time.Second // DESIGN's starting value
	moveAfter    = 0 * time.Second  // work that fits nowhere gets a free machine at once
	takeAfter    = 3 * time.Second  // or one with lower work after this
	refusedPause = 8 * time.Second
	// The leader rents and gives back; the others only ask for the machine
	// types when they start: their parts of the cloud's calls.
	leaderShare   = 0.95
	followerShare = 0.05
	rentalsAtOnce = 3
	returnTimeout = 15 * time.Second
	clearEvery    = 5 * time.Second // records of machines long gone are cleared
	standAside    = 4 * time.Second // a leader that reaches nobody gives up after this
	deafAfter     = 4 * time.Second // without an answer from any controller
	pingTimeout   = 900 * time.Millisecond
	quietAfter    = 15 * time.Second // and does not lead for this long
)

// leading is what a leader holds.
type leading struct {
	plan     *fleet.Leader
	rentals  map[string]record.Rental // under way
	fresh    map[string]time.Time     // machines recorded but perhaps in no summary yet
	strange  map[string]int           // listed, but unknown to us, so many times
	known    map[string]time.Time     // machines known at this time
	started  time.Time
	seq      int
	nextList time.Time
	clearing time.Time
	backs    map[string]bool // batches being given back
	grants   budgets
	synced   time.Time
}

func (c *Controller) leads(now time.Time) bool {
	return c.leader.rec.Label == c.cfg.Label && c.leader.rec.Inc == c.inc && c.inc != 0 && c.sure(now)
}

// leadLoop leads when this controller is the leader, and otherwise stands for
// it when there is none.
func (c *Controller) leadLoop(ctx context.Context) {
	for sleep(ctx, syncEvery) {
		now := time.Now()
		c.mu.Lock()
		leads, sure, types := c.leads(now), c.sure(now), c.types
		cur := c.leader
		stand := !leads && sure && types != nil && now.After(c.quietUntil) && !c.viewAt.IsZero() &&
			(cur.version == 0 || cur.rec.Label == c.cfg.Label)
		if !leads {
			c.lead = nil
		}
		c.mu.Unlock()
		switch {
		case leads:
			c.leadStep(ctx)
		case stand:
			c.stand(ctx, cur)
		}
		share := leaderShare
		if !leads {
			share = followerShare
			c.pingPeers()
			c.planAlone(ctx, time.Now())
		}
		c.cloud.Budget(c.cfg.Params.Cloud.RPS * share)
		c.listen(ctx)
	}
}

// pingPeers learns which controllers answer, and whether they reach the state
// service.
func (c *Controller) pingPeers() {
	var wg sync.WaitGroup
	for label, p := range c.peers {
		wg.Go(func() {
			var ok bool
			err := p.Call("Ping", c.cfg.Label, &ok, pingTimeout)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.answered(label, err, ok)
		})
	}
	wg.Wait()
}

// answered takes in whether another controller answered. The lock is held.
func (c *Controller) answered(label string, err error, stateOK bool) {
	now := time.Now()
	if err != nil {
		delete(c.peerSince, label)
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.peerRefused[label] = now
		}
		return
	}
	c.peerOK[label] = now
	if _, ok := c.peerSince[label]; !ok {
		c.peerSince[label] = now
	}
	if stateOK {
		c.peerState[label] = now
	}
}

// Ping implements peer.Handler.
func (c *Controller) Ping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sure(time.Now())
}

// hearing is whether a controller hears anybody.
type hearing struct {
	alone bool // no other controller
	deaf  bool // nor any worker
}

// listen keeps the member record's word on whether this controller hears
// anybody. A deaf one is still the owner of its parts, but of no use to them.
func (c *Controller) listen(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	h := hearing{alone: len(c.peers) > 0}
	for label := range c.peers {
		if now.Sub(c.peerOK[label]) < deafAfter {
			h.alone = false
		}
	}
	h.deaf = h.alone && c.fleet.Len() > 0 && now.Sub(c.heardAny) > config.Seconds(c.cfg.Params.Workers.ReportS)*2+time.Second
	change := h != c.hears && c.sure(now)
	inc, lease := c.inc, c.lease
	c.mu.Unlock()
	if !change {
		return
	}
	rec := record.Member{Inc: inc, Deaf: h.deaf, Alone: h.alone}
	put := wire.Op{Put: record.MemberPrefix + c.cfg.Label, Value: record.Encode(rec), Lease: lease}
	if _, err := c.store.Txn(ctx, statestore.Urgent("member"), wire.Txn{Then: []wire.Op{put}}); err != nil {
		return
	}
	c.mu.Lock()
	c.hears = h
	c.mu.Unlock()
	c.log.Info("hearing", "deaf", h.deaf, "alone", h.alone)
}

func (c *Controller) stand(ctx context.Context, cur versioned[record.Head]) {
	c.mu.Lock()
	head := record.Head{Label: c.cfg.Label, Inc: c.inc}
	lease := c.lease
	c.mu.Unlock()
	rev, err := c.store.Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If:   []wire.Cond{{Key: record.Leader, Version: cur.version}},
		Then: []wire.Op{{Put: record.Leader, Value: record.Encode(head), Lease: lease}},
	})
	if err != nil {
		return
	}
	c.log.Info("leading")
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev > c.leader.version {
		c.leader = versioned[record.Head]{head, rev}
	}
}

// syncPeers asks every other controller for its parts and for what it needs of
// the state service, handing over claims, hand-overs and budgets by label.
func (c *Controller) syncPeers(claims, hand map[string][]int, grants budgets) ([]fleet.Summary, map[string]fleet.Use) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sums []fleet.Summary
	needs := map[string]fleet.Use{}
	for label, p := range c.peers {
		wg.Go(func() {
			var r peer.SyncReply
			a := peer.SyncArgs{From: c.cfg.Label, Claim: claims[label], HandHome: hand[label],
				Requests: grants.requests[label], Changes: grants.changes[label]}
			err := p.Call("Sync", a, &r, syncTimeout)
			c.mu.Lock()
			c.answered(label, err, r.StateOK)
			c.mu.Unlock()
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sums = append(sums, r.Summaries...)
			needs[label] = fleet.Use{Requests: r.Requests, Changes: r.Changes}
		})
	}
	wg.Wait()
	return sums, needs
}

// Sync implements peer.Handler.
func (c *Controller) Sync(a peer.SyncArgs) peer.SyncReply {
	ctx := context.Background()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, o := range a.Orders {
		if p := c.parts[o.Part]; p != nil {
			p.Order(o, now)
		}
	}
	for _, id := range a.Claim {
		if c.parts[id] == nil && !c.claiming[id] && c.schedCfg != nil && c.sure(now) {
			c.claim(ctx, id)
		}
	}
	for _, id := range a.HandHome {
		c.handHome(ctx, id)
	}
	c.syncedAt = now
	c.setBudget(a.Requests, a.Changes, now)
	r := peer.SyncReply{Summaries: c.summaries(now), StateOK: c.sure(now)}
	if len(a.Orders) == 0 { // orders alone come between the leader's turns
		r.Requests, r.Changes = c.store.Needed()
	}
	return r
}

func (c *Controller) summaries(now time.Time) []fleet.Summary {
	var out []fleet.Summary
	for _, p := range c.parts {
		c.pump(p, now)
	}
	for _, p := range c.parts {
		out = append(out, p.Summary(now))
	}
	return out
}

// handHome gives a part back to its home: whoever writes the record loses the
// token with it, so the core is dropped first. The lock is held.
func (c *Controller) handHome(ctx context.Context, id int) {
	r := c.partRecs[id]
	home := c.home(id)
	if c.parts[id] == nil || home == c.cfg.Label {
		return
	}
	go func() {
		_, err := c.store.Txn(ctx, statestore.Urgent("claim"), wire.Txn{
			If:   []wire.Cond{{Key: record.PartKey(id), Version: r.version}},
			Then: []wire.Op{{Put: record.PartKey(id), Value: record.Encode(record.Part{To: home})}},
		})
		c.log.Info("part handed home", "part", id, "to", home, "err", err)
		c.rereadPart(id)
	}()
}

// fleetConfig is what the choices of rentals, moves and returns depend on.
func (c *Controller) fleetConfig() fleet.Config {
	return fleet.Config{
		Types: c.types, Zones: c.cfg.Params.Zones, Interval: balanceEvery, MoveAfter: moveAfter, TakeAfter: takeAfter,
		Idle: func(t wire.MachineType, spot bool) time.Duration {
			m := policy.Machine{Type: t.Name, Spot: spot, Price: t.Price, BootS: t.BootS}
			if spot {
				m.Price = t.SpotPrice
			}
			return config.Seconds(c.policy.IdleS(m))
		},
		Headroom: func(arriving float64, boot time.Duration, spot bool) float64 {
			return c.policy.Headroom(policy.Arrivals{Arriving: arriving, BootS: boot.Seconds(), Spot: spot})
		},
		Refused: refusedPause,
	}
}

func (c *Controller) leadStep(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	if c.lead == nil {
		c.lead = &leading{
			plan:    fleet.NewLeader(c.fleetConfig()),
			rentals: map[string]record.Rental{}, fresh: map[string]time.Time{}, strange: map[string]int{}, known: map[string]time.Time{}, started: now,
			backs: map[string]bool{},
		}
	}
	l := c.lead
	c.mu.Unlock()
	claims, hand, alone := c.owners(ctx, now)
	if alone {
		c.standAside(ctx)
		return
	}
	sums, needs := c.syncPeers(claims, hand, l.grants)

	c.mu.Lock()
	now = time.Now()
	turn := syncEvery
	if !l.synced.IsZero() {
		turn = max(turn, now.Sub(l.synced))
	}
	l.synced = now
	var own fleet.Use
	own.Requests, own.Changes = c.store.Needed()
	needs[c.cfg.Label] = own
	l.grants = c.share(needs, turn)
	c.setBudget(l.grants.requests[c.cfg.Label], l.grants.changes[c.cfg.Label], now)
	sums = append(sums, c.summaries(now)...)
	c.takeUp(ctx, l)
	c.remember(l, now)
	c.complete(sums, l.rentals)
	orders, rents := l.plan.Plan(sums, now)
	for _, s := range sums {
		c.log.Debug("plan", "part", s.Part, "state", s, "rentals", len(l.rentals))
	}
	if len(orders) > 0 {
		c.log.Debug("orders", "orders", orders)
	}
	byOwner := map[string][]fleet.Order{}
	for _, o := range orders {
		if p := c.parts[o.Part]; p != nil {
			p.Order(o, now)
			c.pump(p, now)
			continue
		}
		owner := c.partRecs[o.Part].rec.Owner
		byOwner[owner] = append(byOwner[owner], o)
	}
	// A queue of requests would go stale before the cloud's few calls got to
	// it: what is not asked for now is planned anew, with what came since.
	for _, r := range rents {
		if len(l.rentals) < rentalsAtOnce {
			c.rent(ctx, l, r)
		}
	}
	c.mu.Unlock()
	for owner, os := range byOwner {
		if p := c.peers[owner]; p != nil {
			go func() {
				if err := p.Call("Sync", peer.SyncArgs{From: c.cfg.Label, Orders: os}, new(peer.SyncReply), syncTimeout); err != nil {
					c.log.Debug("orders", "to", owner, "err", err)
				}
			}()
		}
	}
	c.returns(ctx, l)
	c.clear(ctx, l, now)
	if now.After(l.nextList) {
		l.nextList = now.Add(time.Duration(listFactor * float64(config.Seconds(c.cfg.Params.Cloud.ListLagS))))
		go c.lookForStrangers(ctx, l)
	}
}

// owners looks at who owns what: parts of deaf owners are to be claimed by
// somebody who hears, parts away from a stable home go back. An owner that only
// the leader can't reach keeps its parts: between two zones cut off from each
// other there is nothing to gain. It also tells whether this leader is the one
// that is cut off.
func (c *Controller) owners(ctx context.Context, now time.Time) (claims, hand map[string][]int, alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claims, hand = map[string][]int{}, map[string][]int{}
	reach := []string{c.cfg.Label}
	for label, m := range c.members {
		if label != c.cfg.Label && !m.Deaf && c.reachable(label, now) {
			reach = append(reach, label)
		}
	}
	if c.hears.deaf || (len(reach) == 1 && c.othersMeet() && now.Sub(c.lead.started) > standAside) {
		return nil, nil, true
	}
	owners := map[int]string{}
	for id, r := range c.partRecs {
		owners[id] = r.rec.Owner
	}
	for id, r := range c.partRecs {
		owner, home := r.rec.Owner, c.home(id)
		m, lives := c.members[owner]
		if lives && m.Deaf && owner != c.cfg.Label {
			to := fleet.Claimant(reach, owners, "")
			if to == c.cfg.Label {
				if !c.claiming[id] {
					c.claim(ctx, id)
				}
			} else {
				claims[to] = append(claims[to], id)
			}
			continue
		}
		if owner == home || !lives {
			continue
		}
		switch since, ok := c.peerSince[home]; {
		case home == c.cfg.Label:
			if now.Sub(c.lead.started) > homeStable {
				hand[owner] = append(hand[owner], id)
			}
		case !ok || now.Sub(since) < homeStable || !c.reachable(home, now) || now.Sub(c.peerState[home]) > peerFresh || c.members[home].Deaf || c.members[home].Inc == 0:
			// One that answers but is refused by the state service could not
			// claim its part, and another would, for ever in turn.
		case owner == c.cfg.Label:
			c.handHome(ctx, id)
		default:
			hand[owner] = append(hand[owner], id)
		}
	}
	return claims, hand, false
}

// othersMeet reports whether other controllers hear each other: then one of
// them leads better than a leader that hears none. When all are alone, as when
// connections between controllers are refused, nobody would.
func (c *Controller) othersMeet() bool {
	n := 0
	for label, m := range c.members {
		if label != c.cfg.Label && !m.Alone {
			n++
		}
	}
	return n > 1
}

// standAside gives the lead up: nobody can be reached from here.
func (c *Controller) standAside(ctx context.Context) {
	c.mu.Lock()
	version := c.leader.version
	c.quietUntil = time.Now().Add(quietAfter)
	c.lead = nil
	c.mu.Unlock()
	c.log.Info("standing aside as leader")
	if _, err := c.store.Txn(ctx, statestore.Urgent("lead"), wire.Txn{
		If: []wire.Cond{{Key: record.Leader, Version: version}}, Then: []wire.Op{{Delete: record.Leader}},
	}); err != nil {
		c.log.Info("give up lead", "err", err)
	}
}

// complete adds to the summaries what is rented but not yet told by owners. The
// lock is held.
func (c *Controller) complete(sums []fleet.Summary, rentals map[string]record.Rental) {
	at := map[int]int{}
	told := map[string]bool{}
	for i, s := range sums {
		at[s.Part] = i
		for _, m := range s.Machines {
			told[m.ID] = true
		}
	}
	coming := func(id, typ, zone string, spot bool, part int) {
		i, ok := at[part]
		if !ok {
			return
		}
		for _, t := range c.types {
			if t.Name == typ {
				sums[i].Machines = append(sums[i].Machines, fleet.Machine{
					ID: id, Type: typ, Zone: zone, Spot: spot, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB,
				})
			}
		}
	}
	c.fleet.Each(func(id string, v record.View) {
		if !told[id] && v.Phase == record.InUse {
			coming(id, v.Type, v.Zone, v.Spot, v.Part)
		}
	})
	under := map[string]record.Rental{}
	for name, r := range c.fleet.Unfinished() {
		under[name] = r.Rec
	}
	for name, r := range rentals {
		if rec, ok := c.fleet.Rental(name); !ok || len(rec.IDs) == 0 {
			under[name] = r // those whose machines are known were counted above
		}
	}
	for _, r := range under {
		for _, part := range r.Parts {
			coming("", r.Type, r.Zone, r.Spot, part)
		}
	}
}

// remember notes which machines are ours, so that the cloud's list, which lags,
// does not make strangers of those that are gone. The lock is held.
func (c *Controller) remember(l *leading, now time.Time) {
	c.fleet.Each(func(id string, _ record.View) { l.known[id] = now })
	for id, at := range l.known {
		if now.Sub(at) > time.Duration(knownLags)*config.Seconds(c.cfg.Params.Cloud.ListLagS) {
			delete(l.known, id)
		}
	}
}

// knownLags is for how many of the list's lags a machine that is gone is not
// taken for a stranger.
const knownLags = 6

// rent begins a rental. The lock is held.
func (c *Controller) rent(ctx context.Context, l *leading, r fleet.Rent) {
	l.seq++
	name := fmt.Sprintf("%s-%d-%d", c.cfg.Label, c.leader.version, l.seq)
	rec := record.Rental{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Parts: r.Parts}
	l.rentals[name] = rec
	leader := c.leader.version
	go func() {
		// The record comes first, under the lead it was decided under: a name
		// is never used again, and whoever leads next repeats the request.
		rev, err := c.store.Txn(ctx, statestore.Urgent("rental"), wire.Txn{
			If:   []wire.Cond{{Key: record.RentalPrefix + name}, {Key: record.Leader, Version: leader}},
			Then: []wire.Op{{Put: record.RentalPrefix + name, Value: record.Encode(rec)}},
		})
		if err != nil {
			// Perhaps written all the same: then the next leader finishes it.
			c.dropRental(l, name)
			return
		}
		c.finishRental(ctx, l, name, rec, rev)
	}()
}

func (c *Controller) dropRental(l *leading, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(l.rentals, name)
}

func (c *Controller) finishRental(ctx context.Context, l *leading, name string, rec record.Rental, version uint64) {
	defer c.dropRental(l, name)
	key := record.RentalPrefix + name
	cond := []wire.Cond{{Key: key, Version: version}}
	for ctx.Err() == nil {
		ids, err := c.cloud.Rent(ctx, wire.Rental{Request: name, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot, Count: len(rec.Parts)})
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			c.log.Info("rental", "name", name, "err", err)
			c.mu.Lock()
			leads := c.lead == l
			c.mu.Unlock()
			if !leads {
				return // the record stays for the next leader
			}
			sleep(ctx, jitter(time.Second))
			continue
		}
		now := time.Now()
		pool := fleet.Rent{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
		ids = ids[:min(len(ids), len(rec.Parts))]
		c.mu.Lock()
		if len(ids) < len(rec.Parts) {
			l.plan.Refused(pool, now)
		} else {
			l.plan.Granted(pool)
		}
		c.mu.Unlock()
		c.log.Info("rented", "name", name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "asked", len(rec.Parts), "got", len(ids))
		op := wire.Op{Delete: key}
		if len(ids) > 0 {
			rec.Parts, rec.IDs, rec.Born = rec.Parts[:len(ids)], ids, now.UnixMilli()
			op = wire.Op{Put: key, Value: record.Encode(rec)}
		}
		for ctx.Err() == nil {
			t := wire.Txn{If: cond, Then: []wire.Op{op}}
			rev, err := c.store.Txn(ctx, statestore.Urgent("rental"), t)
			if err == nil {
				c.mu.Lock()
				c.applied(t, rev, now)
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

// returns gives back what the parts' owners have recorded as to be given back,
// several batches with one call. The answer is recorded: it proves gone what
// ran on the machines, to whoever owns their parts by then.
func (c *Controller) returns(ctx context.Context, l *leading) {
	c.mu.Lock()
	var ids []string
	batches := map[string]record.Versioned[record.Back]{}
	for key, b := range c.fleet.Pending() {
		if l.backs[key] || len(ids)+len(b.Rec.IDs) > maxReturn {
			continue
		}
		l.backs[key] = true
		batches[key] = b
		ids = append(ids, b.Rec.IDs...)
	}
	c.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	go func() {
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			for key := range batches {
				delete(l.backs, key)
			}
		}()
		ctx, cancel := context.WithTimeout(ctx, returnTimeout)
		defer cancel()
		err := c.cloud.Return(ctx, ids)
		c.log.Info("machines returned", "machines", ids, "err", err)
		if err != nil {
			return // asked again with the next step
		}
		for key, b := range batches {
			c.returned(ctx, key, b)
		}
	}()
}

// maxReturn is the protocol's bound of one return.
const maxReturn = 100

// returned records that a batch is gone.
func (c *Controller) returned(ctx context.Context, key string, b record.Versioned[record.Back]) {
	t := wire.Txn{
		If:   []wire.Cond{{Key: key, Version: b.Version}},
		Then: []wire.Op{{Put: key, Value: record.Encode(record.Back{IDs: b.Rec.IDs, Done: true})}},
	}
	for ctx.Err() == nil {
		rev, err := c.store.Txn(ctx, statestore.Urgent("back"), t)
		if err == nil {
			c.mu.Lock()
			c.applied(t, rev, time.Now())
			c.mu.Unlock()
			return
		}
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) {
			return // recorded already
		}
		sleep(ctx, jitter(500*time.Millisecond))
	}
}

// clear removes records of machines that are long gone, a few at a time.
func (c *Controller) clear(ctx context.Context, l *leading, now time.Time) {
	if now.Before(l.clearing) {
		return
	}
	l.clearing = now.Add(clearEvery)
	c.mu.Lock()
	t, ok := c.fleet.Clear(clearAtOnce)
	c.mu.Unlock()
	if !ok {
		return
	}
	go func() {
		rev, err := c.store.Txn(ctx, statestore.Routine("clear"), t)
		if err != nil {
			c.log.Debug("clear records", "err", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.applied(t, rev, time.Now())
	}()
}

// clearAtOnce bounds one clearing, so that it takes little of the budget.
const clearAtOnce = 4

// lookForStrangers reads the cloud's list for machines that nobody recorded,
// as a request executed late leaves them, and gives them back.
func (c *Controller) lookForStrangers(ctx context.Context, l *leading) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	list, err := c.cloud.List(ctx)
	if err != nil {
		c.log.Debug("machine list", "err", err)
		return
	}
	c.mu.Lock()
	var odd []string
	for _, m := range list {
		_, ours := c.fleet.Machine(m.ID)
		if _, lately := l.known[m.ID]; ours || lately {
			delete(l.strange, m.ID)
			continue // the list lags
		}
		l.strange[m.ID]++
		if l.strange[m.ID] >= strangeLists && len(odd) < maxReturn {
			odd = append(odd, m.ID)
		}
	}
	busy := len(l.rentals) > 0
	c.mu.Unlock()
	if len(odd) == 0 || busy {
		return
	}
	// The view may be behind: the records decide.
	entries, _, err := c.store.List(ctx, statestore.Routine("strangers"), record.FleetPrefix)
	if err != nil {
		return
	}
	fl := record.NewFleet()
	for _, e := range entries {
		if _, err := fl.Change(wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}); err != nil {
			c.log.Error("fleet record", "err", err)
			return
		}
	}
	if len(fl.Unfinished()) > 0 {
		return
	}
	var back []string
	for _, id := range odd {
		if _, ok := fl.Machine(id); !ok {
			back = append(back, id)
		}
	}
	if len(back) > 0 {
		err := c.cloud.Return(ctx, back)
		c.log.Info("unexpected machines returned", "machines", back, "err", err)
	}
}

// strangeLists is in how many lists an unrecorded machine must appear.
const strangeLists = 2
