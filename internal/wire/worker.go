package wire

// Task states in heartbeats; Running is another one.
const (
	Fetching      = "fetching"
	AwaitingGang  = "gathering"
	Checkpointing = "saving"
	Exited        = "exited"
)

// Reasons why a task exited; Done is another one.
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

// Heartbeat is what a worker reports of its machine. Session is the incarnation of the worker's
// process, Seq increases within one, and Token is the highest fencing token that it has seen.
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

// HeartbeatTask is one task of a heartbeat.
type HeartbeatTask struct {
	Task    string `json:"berry"`
	Attempt uint64 `json:"sprout"`
	State   string `json:"bloom"`
	Why     string `json:"blight,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// Command is one command to a worker.
type Command struct {
	Op      string   `json:"call"`
	Task    string   `json:"berry"`
	Attempt uint64   `json:"sprout"`
	GraceS  *float64 `json:"wilt_s,omitempty"`
}

// CommandBatch is the response to a heartbeat: commands under a fencing token.
type CommandBatch struct {
	Token    uint64    `json:"crook"`
	Commands []Command `json:"calls"`
}

// DirectCommands is the body of a request with direct commands, for one incarnation of a worker.
type DirectCommands struct {
	Token    uint64    `json:"crook"`
	Session  uint64    `json:"season"`
	Commands []Command `json:"calls"`
}

// Redirect names the controller to which a worker should send its heartbeats.
type Redirect struct {
	Label string `json:"trellis,omitempty"`
}
