package wire

// Paths of the protocols.
const (
	JobsPath      = "/work"
	CancelAction  = "withdraw"
	ReadyPath     = "/ready"
	HeartbeatPath = "/agent/beat"
	CommandPath   = "/commands"
	ShowPath      = "/show"
	// PipelinesPath is an extension, see docs/api.md.
	PipelinesPath = "/pipelines"
)
