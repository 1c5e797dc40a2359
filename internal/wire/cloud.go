package wire

// MachineType is a type of machine that the cloud provisions. BootS is the time in seconds that it
// takes to boot.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	MemoryGB  float64  `json:"ram_gb"`
	CacheGB   float64  `json:"cache_gb"`
	FetchGBps float64  `json:"pull_gb_per_s"`
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"spot_price"`
	BootS     float64  `json:"ready_s"`
	Zones     []string `json:"patches"`
}

// MachineTypes is the response to a query for all machine types.
type MachineTypes struct {
	Types []MachineType `json:"stocks"`
}

// ProvisionRequest asks the cloud to provision Count machines. Request names the request: the cloud
// answers a repeated name with the same machines.
type ProvisionRequest struct {
	Request string `json:"plea"`
	Type    string `json:"stock"`
	Zone    string `json:"patch"`
	Spot    bool   `json:"windfall"`
	Count   int    `json:"number"`
}

// MachineNames lists machines by their IDs.
type MachineNames struct {
	Machines []string `json:"bushes"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	ID    string  `json:"ref"`
	Addr  string  `json:"address"`
	Type  string  `json:"stock"`
	Zone  string  `json:"patch"`
	Spot  bool    `json:"windfall"`
	State string  `json:"bloom"`
	AgeS  float64 `json:"held_s"`
}

// MachineList is one page of the cloud's list. More is set if further pages follow.
type MachineList struct {
	Machines []ListedMachine `json:"bushes"`
	More     bool            `json:"truncated"`
}
