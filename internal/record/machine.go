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

// Machine is a provisioned machine. Most machines have no record of their own: their Provision
// describes them until they are transferred to another shard or get a higher fencing token.
type Machine struct {
	Type      string `json:"type"`
	Zone      string `json:"zone"`
	Spot      bool   `json:"spot,omitempty"`
	Shard     int    `json:"part"`
	CreatedAt int64  `json:"born"` // Unix milliseconds, when the machine was requested
	// Images are the images in the machine's cache when the record was written.
	Images []Image `json:"images,omitempty"`
}

// Provision is a request for machines. It is written before the request is sent to the cloud, so that
// the request can be repeated under the same name if the answer is lost. The machines are added once
// the cloud has answered; the record then describes all of them.
type Provision struct {
	Type      string   `json:"type"`
	Zone      string   `json:"zone"`
	Spot      bool     `json:"spot,omitempty"`
	Shards    []int    `json:"parts"`          // the shard of each requested machine
	IDs       []string `json:"ids,omitempty"`  // empty until the cloud has answered
	CreatedAt int64    `json:"born,omitempty"` // Unix milliseconds
	// Addrs are the machines' addresses, in the order of IDs, empty until the machines have sent
	// heartbeats. With them a new owner of a shard can query its machines at once.
	Addrs []string `json:"addrs,omitempty"`
}

// decodeProvision decodes and checks the Provision that a change puts. Its errors name the key.
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

// Release is a batch of machines that are released. No task may start on them any more.
type Release struct {
	IDs []string `json:"ids"`
	// Done is set after the cloud has answered, and proves that the machines are gone.
	Done bool `json:"done,omitempty"`
}
