package fleet

import (
	"slices"
	"sort"
	"time"

	"bramblespur/internal/wire"
)

func (l *Planner) machineType(name string) *wire.MachineType {
	for i := range l.cfg.Types {
		if l.cfg.Types[i].Name == name {
			return &l.cfg.Types[i]
		}
	}
	return nil
}

// offer is a pool that has room as far as is known.
type offer struct {
	pool
	machineType    *wire.MachineType
	price          float64
	machinesInZone int // machines of ours in its zone
}

// offers returns the pools whose machines fit a need, cheapest first, then
// those in zones with fewer of our machines.
func (p *planning) offers(n *Need) []offer {
	var offers []offer
	for i := range p.cfg.Types {
		t := &p.cfg.Types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				b := p.newMachine(t, z, spot)
				if !b.fits(n) || p.now.Before(p.refusals[b.pool()].until) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				offers = append(offers, offer{b.pool(), t, price, p.machinesInZone[z]})
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

// addMachine notes a machine to be rented.
func (p *planning) addMachine(o offer, part int) *bin {
	b := p.newMachine(o.machineType, o.zone, o.spot)
	b.shard = part
	p.toProvision = append(p.toProvision, b)
	p.toProvisionFor[part] = append(p.toProvisionFor[part], b)
	p.machinesInZone[o.zone]++
	return b
}

// provision adds new machines for what is left of a need, cheapest kind first.
func (p *planning) provision(n *demand) {
	mine := p.toProvisionFor[n.shard]
	if p.placeOn(n, mine) {
		return
	}
	offers := p.offers(&n.Need)
	if n.Gang && n.OneZone {
		offers = p.chooseGangZone(n, offers, mine)
	}
	for i := 0; n.Count > 0; i++ {
		offers = slices.DeleteFunc(offers, func(o offer) bool { return !n.open(o.zone) })
		if len(offers) == 0 {
			return // what may not go to the zones that are left waits
		}
		o := offers[0]
		if !n.OneZone {
			// Spread over the zones of the cheapest kind.
			same := 1
			for same < len(offers) && offers[same].price == o.price {
				same++
			}
			o = offers[i%same]
		}
		b := p.addMachine(o, n.shard)
		for n.Count > 0 && b.fits(&n.Need) && n.open(b.Zone) {
			b.use(&n.Need)
			n.place(b.Zone)
			n.Count--
		}
	}
}

// chooseGangZone chooses the zone in which the fewest machines are missing for a gang
// of one zone, promises it those that are there or coming, and returns the
// offers of that zone for the rest.
func (p *planning) chooseGangZone(n *demand, offers []offer, mine []*bin) []offer {
	var got []*bin
	zone := ""
	for _, o := range offers { // the cheapest first
		there := &demand{n.Need, n.shard}
		there.Gang, there.Zone = false, o.zone
		if all := p.assign(there, append(slices.Clone(p.withRoom[n.shard]), mine...)); zone == "" || len(all) > len(got) {
			zone, got = o.zone, all
		}
	}
	for _, b := range got {
		b.use(&n.Need)
		n.place(b.Zone)
	}
	n.Count -= len(got)
	return slices.DeleteFunc(offers, func(o offer) bool { return o.zone != zone })
}

// headroom says how many unused machines of a kind each part should have, from
// what has lately arrived there and how long a new machine takes.
func (p *planning) headroom(spot bool) (want map[int]float64, total int) {
	boot := time.Duration(0)
	for _, t := range p.cfg.Types {
		boot = max(boot, time.Duration(t.BootS*float64(time.Second)))
	}
	want = map[int]float64{}
	sum := 0.0
	for _, summary := range p.summaries {
		arriving := summary.Arriving
		if spot {
			arriving = summary.ArrivingSpot
		}
		want[summary.Part] = p.cfg.Headroom(arriving, boot, spot)
		sum += want[summary.Part]
	}
	return want, int(sum + 0.5)
}

// provisionHeadroom rents the headroom of a kind: machines with nothing to do, since a boot
// and an image take longer than most work may wait.
func (p *planning) provisionHeadroom(spot bool) {
	want, target := p.headroom(spot)
	total := 0
	for _, bins := range [][]*bin{p.unused, p.toProvision} {
		for _, b := range bins {
			if b.Spot == spot && b.Tasks == 0 && !b.promised {
				want[b.shard]--
				total++
			}
		}
	}
	for ; total < target; total++ {
		best := -1
		for _, summary := range p.summaries {
			if best < 0 || want[summary.Part] > want[best] {
				best = summary.Part
			}
		}
		want[best]--
		offers := p.offers(&Need{Spot: spot})
		i := slices.IndexFunc(offers, func(o offer) bool { return o.spot == spot })
		if i < 0 {
			return
		}
		p.addMachine(offers[i], best)
	}
}
