// Package wire holds the messages of the published protocols. It is the only
// place where the operators' words for things appear, as JSON field names and
// values; all other code uses the field's terms.
package wire

import "encoding/json"

// Job kinds.
const (
	Array   = "batch"
	Gang    = "ensemble"
	Service = "standing"
)

// Job states.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "aborted"
)

// Task states in reports. Running and Done above are used too.
const (
	Fetching      = "fetching"
	AwaitingGang  = "gathering"
	Checkpointing = "saving"
	Exited        = "exited"
)

// Why a task exited. Done above is used too.
const (
	ExitStopped        = "halted"
	ExitGangPeersLost  = "mates_gone"
	ExitGangIncomplete = "incomplete"
	ExitError          = "error"
	ExitNoRoom         = "no_room"
	ExitInUse          = "in_use"
	ExitUnknownTask    = "no_such"
)

// Commands to workers.
const (
	Start  = "run"
	Stop   = "halt"
	Forget = "forget"
)

// Paths of the protocols.
const (
	JobsPath      = "/work"
	CancelWord    = "withdraw"
	ReadyPath     = "/ready"
	HeartbeatPath = "/agent/beat"
	CommandPath   = "/commands"
	ShowPath      = "/show"
	// PipelinesPath is an extension of ours, see docs/api.md.
	PipelinesPath = "/pipelines"
)

// Spec is a job as its user submits it.
type Spec struct {
	Ref         string   `json:"ref"`
	Class       string   `json:"thicket"`
	Team        string   `json:"keeper"`
	Kind        string   `json:"habit"`
	Priority    string   `json:"rank"`
	Tasks       int      `json:"berries"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"ram_gb"`
	Types       []string `json:"stocks"`
	Zone        *string  `json:"patch"`
	OneZone     bool     `json:"same_place"`
	Spread      bool     `json:"scatter"`
	Spot        bool     `json:"windfall"`
	Image       string   `json:"seedling"`
	ImageGB     float64  `json:"pull_gb"`
	EstimateS   float64  `json:"ripen_s"`
	CheckpointS float64  `json:"graft_s"`
	SaveS       float64  `json:"press_s"`
	DeadlineS   *float64 `json:"harvest_s"`
	// DependsOn are the jobs that have to be done before any task of this one starts.
	DependsOn []string `json:"roots,omitempty"`
}

// Status is a job's state as its user sees it.
type Status struct {
	Ref     string `json:"ref"`
	State   string `json:"bloom"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Brief is the answer to a submission or a cancellation.
type Brief struct {
	Ref   string `json:"ref"`
	State string `json:"bloom"`
}

// Pipeline is several jobs as their user submits them together.
type Pipeline struct {
	Ref     string            `json:"ref"`
	Jobs    []json.RawMessage `json:"jobs"` // each as for POST /work
	Links   []Link            `json:"links"`
	Choices []Choice          `json:"choices"`
}

// Link lets one of To run once one of From is over.
type Link struct {
	From []string `json:"from"`
	To   []string `json:"to"`
}

// Choice names the job that goes on after At, by how At ends. Without Cancelled
// a cancelled job ends all that follows it.
type Choice struct {
	At        string `json:"at"`
	Done      string `json:"done"`
	Cancelled string `json:"aborted,omitempty"`
}

// PipelineStatus is a pipeline's state as its user sees it.
type PipelineStatus struct {
	Ref   string  `json:"ref"`
	State string  `json:"bloom"`
	Jobs  []Brief `json:"jobs"`
}

// Heartbeat is what a worker tells about its machine.
type Heartbeat struct {
	Machine string          `json:"bush"`
	Addr    string          `json:"address"`
	Type    string          `json:"stock"`
	Zone    string          `json:"patch"`
	Spot    bool            `json:"windfall"`
	Session uint64          `json:"season"`
	Seq     uint64          `json:"tally"`
	Token   uint64          `json:"crook"`
	NoticeS *float64        `json:"frost_s"`
	Tasks   []HeartbeatTask `json:"berries"`
}

// HeartbeatTask is one task of a report.
type HeartbeatTask struct {
	Task    string `json:"berry"`
	Attempt uint64 `json:"sprout"`
	State   string `json:"bloom"`
	Why     string `json:"blight,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// Command is one order to a worker.
type Command struct {
	Op      string   `json:"call"`
	Task    string   `json:"berry"`
	Attempt uint64   `json:"sprout"`
	GraceS  *float64 `json:"wilt_s,omitempty"`
}

// Orders answers a report.
type Orders struct {
	Token    uint64    `json:"crook"`
	Commands []Command `json:"calls"`
}

// DirectOrders is the body of a direct command.
type DirectOrders struct {
	Token    uint64    `json:"crook"`
	Session  uint64    `json:"season"`
	Commands []Command `json:"calls"`
}

// Redirect names the controller that a worker should report to.
type Redirect struct {
	Label string `json:"trellis,omitempty"`
}

// MachineType is one kind of machine that the cloud rents.
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

// MachineTypes is the cloud's offer.
type MachineTypes struct {
	Types []MachineType `json:"stocks"`
}

// ProvisionRequest asks the cloud for machines.
type ProvisionRequest struct {
	Request string `json:"plea"`
	Type    string `json:"stock"`
	Zone    string `json:"patch"`
	Spot    bool   `json:"windfall"`
	Count   int    `json:"number"`
}

// MachineNames lists machines by name.
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

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"bushes"`
	More     bool            `json:"truncated"`
}

// Entry is a record of the state service.
type Entry struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"notch"`
	Lease   uint64          `json:"tether,omitempty"`
}

// EntryPage is one page of records.
type EntryPage struct {
	Items    []Entry `json:"entries"`
	More     bool    `json:"truncated"`
	Revision uint64  `json:"ring"`
}

// Condition is a condition of a transaction.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"notch"`
}

// Op is one change of a transaction: a put or a delete.
type Op struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Op        `json:"then"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Revision uint64   `json:"ring"`
	Failed   []string `json:"failed,omitempty"`
}

// LeaseRequest and LeaseGrant make a lease of the state service.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseGrant answers LeaseRequest.
type LeaseGrant struct {
	Lease uint64 `json:"tether"`
}

// Change is one event of a watch.
type Change struct {
	Put     string          `json:"put"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"notch"`
	Delete  string          `json:"remove"`
}

// Changes answers a watch.
type Changes struct {
	Revision uint64   `json:"ring"`
	Events   []Change `json:"news"`
}

// RequiredFields are the fields of a Spec that may be neither missing nor null.
var RequiredFields = []string{"ref", "thicket", "keeper", "habit", "rank", "berries", "cores", "cards", "ram_gb",
	"same_place", "scatter", "windfall", "seedling", "pull_gb", "ripen_s", "graft_s", "press_s"}
