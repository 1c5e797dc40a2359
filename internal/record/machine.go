package record

import (
	"fmt"

	"bramblespur/internal/wire"
)

// Image is a container image in a machine's cache.
type Image struct {
	Name string  `json:"name"`
	GB   float64 `json:"gb"`
}

// Machine is a provisioned machine. Most have no record of their own: their Provision says it
// all until they change shards or get a higher fencing token.
type Machine struct {
	Type      string `json:"type"`
	Zone      string `json:"zone"`
	Spot      bool   `json:"spot,omitempty"`
	Shard     int    `json:"part"`
	CreatedAt int64  `json:"born"` // Unix milliseconds, when it was requested
	// Images are those it had when this was written.
	Images []Image `json:"images,omitempty"`
}

// Provision is a request for machines, written before it is sent to the cloud, so that it can be
// repeated under the same name if the answer is lost. The machines are added once the cloud has
// answered; the record stands for all of them.
type Provision struct {
	Type      string   `json:"type"`
	Zone      string   `json:"zone"`
	Spot      bool     `json:"spot,omitempty"`
	Shards    []int    `json:"parts"` // for which shard each machine is
	IDs       []string `json:"ids,omitempty"`
	CreatedAt int64    `json:"born,omitempty"`
	// Addrs are the machines' addresses, in the order of IDs, once they have sent heartbeats:
	// a new owner of a shard can query its machines at once.
	Addrs []string `json:"addrs,omitempty"`
}

// decodeProvision decodes and checks a Provision.
func decodeProvision(e wire.Change) (Provision, error) {
	p, err := decode[Provision](e)
	switch {
	case err != nil:
		return Provision{}, err
	case len(p.IDs) > len(p.Shards):
		return Provision{}, fmt.Errorf("%s: %d machines for %d shards", e.Put, len(p.IDs), len(p.Shards))
	case len(p.Addrs) > 0 && len(p.Addrs) != len(p.IDs):
		return Provision{}, fmt.Errorf("%s: %d addresses of %d machines", e.Put, len(p.Addrs), len(p.IDs))
	}
	return p, nil
}

// Release is a batch of machines that are released. No task may start on them any more; with Done,
// set after the cloud has answered, they are proven to be gone.
type Release struct {
	IDs  []string `json:"ids"`
	Done bool     `json:"done,omitempty"`
}
