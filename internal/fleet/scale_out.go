package fleet

import (
	"slices"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// offer is a pool that is not known to lack capacity.
type offer struct {
	pool
	machineType    *wire.MachineType
	price          float64 // per hour
	machinesInZone int
}

// offers returns the pools whose machines fit a need, cheapest first; among those of one price,
// pools in zones with fewer of the fleet's machines come first.
func (p *planning) offers(n *Need) []offer {
	var offers []offer
	for i := range p.cfg.Types {
		t := &p.cfg.Types[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				b := newBin(t, zone, spot)
				if b.fits(n) && !p.now.Before(p.refusals[b.pool()].until) {
					offers = append(offers, offer{b.pool(), t, price(t, spot), p.machinesInZone[zone]})
				}
			}
		}
	}
	sort.SliceStable(offers, func(a, b int) bool {
		if offers[a].price != offers[b].price {
			return offers[a].price < offers[b].price
		}
		return offers[a].machinesInZone < offers[b].machinesInZone
	})
	return offers
}

// price returns the price of a machine per hour.
func price(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// addMachine adds a machine to those to be provisioned for a shard, and returns it.
func (p *planning) addMachine(o offer, shard int) *bin {
	b := newBin(o.machineType, o.zone, o.spot)
	b.shard = shard
	p.toProvision = append(p.toProvision, b)
	p.toProvisionFor[shard] = append(p.toProvisionFor[shard], b)
	p.toProvisionFrom[o.pool]++
	p.machinesInZone[o.zone]++
	return b
}

// provision adds new machines for the remaining tasks of a demand, cheapest pool first. Tasks stay
// pending if no zone with capacity may have them, or if the requests of this plan have no room for
// more machines: a later plan provisions those. A gang uses the machines that the shard has as well.
func (p *planning) provision(d *demand) {
	added := p.toProvisionFor[d.shard]
	if p.placeOn(d, added) {
		return
	}
	offers := p.offers(&d.Need)
	switch {
	case d.Gang && d.OneZone:
		offers = p.chooseGangZone(d, offers, added)
	case d.Gang && len(offers) > 0:
		p.assign(d, p.findBins(withoutGang(d), append(slices.Clone(p.withRoom[d.shard]), added...)))
	}
	for i := 0; d.Count > 0; i++ {
		offers = slices.DeleteFunc(offers, func(o offer) bool { return !d.allowsZone(o.zone) })
		next, ok := p.nextOffer(d, offers, i)
		if !ok {
			return
		}
		p.fill(p.addMachine(next, d.shard), d)
	}
}

// withoutGang returns a copy of a demand whose tasks may be placed one by one.
func withoutGang(d *demand) *demand {
	single := &demand{d.Need, d.shard}
	single.Gang = false
	return single
}

// nextOffer returns the offer from which a demand's i-th new machine comes: the cheapest, or if the
// tasks may be in several zones one of the cheapest in turn. It returns false if there is none, or if
// the plan has as many machines of these as can be requested. A dearer offer is no replacement then,
// since a later plan gets the cheaper machines.
func (p *planning) nextOffer(d *demand, offers []offer, i int) (offer, bool) {
	if len(offers) == 0 {
		return offer{}, false
	}
	cheapest := 1
	if !d.OneZone {
		cheapest = countCheapest(offers)
	}
	for k := range cheapest {
		next := offers[(i+k)%cheapest]
		if p.toProvisionFrom[next.pool] < p.maxToProvision() {
			return next, true
		}
	}
	return offer{}, false
}

// maxToProvision returns how many machines of a pool can be requested after a plan.
func (p *planning) maxToProvision() int { return p.cfg.MaxRequests * p.cfg.MaxProvision }

// countCheapest returns the number of offers, from the first on, that are as cheap as the first.
func countCheapest(offers []offer) int {
	n := 1
	for n < len(offers) && offers[n].price == offers[0].price {
		n++
	}
	return n
}

// fill assigns a machine to as many of a demand's tasks as fit on it.
func (p *planning) fill(b *bin, d *demand) {
	for d.Count > 0 && b.fits(&d.Need) && d.allowsZone(b.Zone) {
		b.use(&d.Need)
		d.addToZone(b.Zone)
		d.Count--
	}
}

// chooseGangZone chooses the zone in which a gang that needs a single zone lacks the fewest
// machines. It assigns the gang the machines that the shard has there, including those in added,
// and returns the offers of that zone for the rest.
func (p *planning) chooseGangZone(d *demand, offers []offer, added []*bin) []offer {
	var most []*bin
	zone := ""
	for _, o := range offers { // the cheapest first
		inZone := withoutGang(d)
		inZone.Zone = o.zone
		found := p.findBins(inZone, append(slices.Clone(p.withRoom[d.shard]), added...))
		if zone == "" || len(found) > len(most) {
			zone, most = o.zone, found
		}
	}
	p.assign(d, most)
	return slices.DeleteFunc(offers, func(o offer) bool { return o.zone != zone })
}

// headroom returns how many unused machines, spot or on demand, each shard should have, given the
// recent arrival rate there and the boot time of a new machine, and the rounded total.
func (p *planning) headroom(spot bool) (byShard map[int]float64, total int) {
	boot := time.Duration(0)
	for _, t := range p.cfg.Types {
		boot = max(boot, time.Duration(t.BootS*float64(time.Second)))
	}
	byShard = map[int]float64{}
	sum := 0.0
	for _, summary := range p.summaries {
		arriving := summary.Arriving
		if spot {
			arriving = summary.ArrivingSpot
		}
		byShard[summary.Part] = p.cfg.Headroom(arriving, boot, spot)
		sum += byShard[summary.Part]
	}
	return byShard, int(sum + 0.5)
}

// provisionHeadroom adds the unused machines that are missing from the headroom. They are
// provisioned ahead of demand, since booting a machine and fetching an image take longer than most
// work may wait.
func (p *planning) provisionHeadroom(spot bool) {
	missing, target := p.headroom(spot)
	total := 0
	for _, bins := range [][]*bin{p.unused, p.toProvision} {
		for _, b := range bins {
			if b.Spot == spot && b.Tasks == 0 && !b.assigned {
				missing[b.shard]--
				total++
			}
		}
	}
	for ; total < target; total++ {
		shard := p.mostMissing(missing)
		missing[shard]--
		offers := p.offers(&Need{Spot: spot})
		i := slices.IndexFunc(offers, func(o offer) bool { return o.spot == spot })
		if i < 0 || p.toProvisionFrom[offers[i].pool] >= p.maxToProvision() {
			return
		}
		p.addMachine(offers[i], shard)
	}
}

// mostMissing returns the shard that lacks the most machines, the first in the summaries among equals.
func (p *planning) mostMissing(missing map[int]float64) int {
	most := -1
	for _, summary := range p.summaries {
		if most < 0 || missing[summary.Part] > missing[most] {
			most = summary.Part
		}
	}
	return most
}
