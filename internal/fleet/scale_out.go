package fleet

import (
	"slices"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

// offer is a pool that has capacity as far as is known.
type offer struct {
	pool
	machineType    *wire.MachineType
	price          float64
	machinesInZone int
}

// offers returns the pools whose machines fit a need, cheapest first, then
// those in zones with fewer of our machines.
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

func price(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// addMachine adds a machine to those to be provisioned.
func (p *planning) addMachine(o offer, shard int) *bin {
	b := newBin(o.machineType, o.zone, o.spot)
	b.shard = shard
	p.toProvision = append(p.toProvision, b)
	p.toProvisionFor[shard] = append(p.toProvisionFor[shard], b)
	p.machinesInZone[o.zone]++
	return b
}

// provision adds new machines for what is left of a demand, cheapest pool first. What may
// not go to any zone that has capacity waits.
func (p *planning) provision(d *demand) {
	added := p.toProvisionFor[d.shard]
	if p.placeOn(d, added) {
		return
	}
	offers := p.offers(&d.Need)
	if d.Gang && d.OneZone {
		offers = p.chooseGangZone(d, offers, added)
	}
	for i := 0; d.Count > 0; i++ {
		offers = slices.DeleteFunc(offers, func(o offer) bool { return !d.open(o.zone) })
		if len(offers) == 0 {
			return
		}
		next := offers[0]
		if !d.OneZone {
			next = offers[i%cheapest(offers)] // spread over the zones
		}
		p.fill(p.addMachine(next, d.shard), d)
	}
}

// cheapest returns how many offers are as cheap as the first.
func cheapest(offers []offer) int {
	n := 1
	for n < len(offers) && offers[n].price == offers[0].price {
		n++
	}
	return n
}

// fill promises a machine to as many of a demand's tasks as fit on it.
func (p *planning) fill(b *bin, d *demand) {
	for d.Count > 0 && b.fits(&d.Need) && d.open(b.Zone) {
		b.use(&d.Need)
		d.place(b.Zone)
		d.Count--
	}
}

// chooseGangZone chooses the zone in which the fewest machines are missing for a gang
// of one zone, promises it those that are there or added, and returns the
// offers of that zone for the rest.
func (p *planning) chooseGangZone(d *demand, offers []offer, added []*bin) []offer {
	var most []*bin
	zone := ""
	for _, o := range offers { // the cheapest first
		there := &demand{d.Need, d.shard}
		there.Gang, there.Zone = false, o.zone
		found := p.assign(there, append(slices.Clone(p.withRoom[d.shard]), added...))
		if zone == "" || len(found) > len(most) {
			zone, most = o.zone, found
		}
	}
	p.promise(d, most)
	return slices.DeleteFunc(offers, func(o offer) bool { return o.zone != zone })
}

// headroom says how many unused machines, spot or not, each shard should have, from
// what has lately arrived there and how long a new machine takes.
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

// provisionHeadroom provisions what is missing of the headroom: machines with nothing to do,
// since a boot and an image take longer than most work may wait.
func (p *planning) provisionHeadroom(spot bool) {
	missing, target := p.headroom(spot)
	total := 0
	for _, bins := range [][]*bin{p.unused, p.toProvision} {
		for _, b := range bins {
			if b.Spot == spot && b.Tasks == 0 && !b.promised {
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
		if i < 0 {
			return
		}
		p.addMachine(offers[i], shard)
	}
}

// mostMissing returns the shard that misses most, the first in the summaries if several do.
func (p *planning) mostMissing(missing map[int]float64) int {
	most := -1
	for _, summary := range p.summaries {
		if most < 0 || missing[summary.Part] > missing[most] {
			most = summary.Part
		}
	}
	return most
}
