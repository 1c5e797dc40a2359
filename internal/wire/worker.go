package wire

// Task states in heartbeats, in addition to Running.
const (
	Fetching      = "fetching"
	AwaitingGang  = "gathering"
	Checkpointing = "saving"
	Exited        = "exited"
)

// Reasons why a task exited, in addition to Done.
const (
	ExitStopped        = "halted"
	ExitGangPeersLost  = "mates_gone"
	ExitGangIncomplete = "incomplete"
	ExitError          = "error"
	ExitNoRoom         = "no_room"
	ExitInUse          = "in_use"
	ExitUnknownTask    = "no_such"
)

// Operations of a Command.
const (
	Start  = "run"
	Stop   = "halt"
	Forget = "forget"
)

// Heartbeat is a worker's report on its machine. Session is the agent incarnation, Seq increases within
// one incarnation, and Token is the highest fencing token that the agent has seen. NoticeS is the
// time in seconds until the cloud reclaims the machine, nil if no notice was given.
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

// HeartbeatTask is an attempt of a task as a heartbeat reports it. Why is set once it has exited; Saved
// reports whether it has saved a checkpoint.
type HeartbeatTask struct {
	Task    string `json:"berry"`
	Attempt uint64 `json:"sprout"`
	State   string `json:"bloom"`
	Why     string `json:"blight,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// Command is one command to a worker: to start, stop or forget an attempt of a task. GraceS is the time
// in seconds that a stop leaves the task.
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

// DirectCommands is the body of a request with direct commands. They are for one agent incarnation.
type DirectCommands struct {
	Token    uint64    `json:"crook"`
	Session  uint64    `json:"season"`
	Commands []Command `json:"calls"`
}

// Redirect names the controller to which a worker should send its heartbeats.
type Redirect struct {
	Label string `json:"trellis,omitempty"`
}
