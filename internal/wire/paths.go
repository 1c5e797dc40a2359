package wire

// Paths of the protocols. CancelAction is the last segment of the path that cancels a job or a pipeline.
const (
	JobsPath      = "/work"
	CancelAction  = "withdraw"
	ReadyPath     = "/ready"
	HeartbeatPath = "/agent/beat"
	CommandPath   = "/commands"
	ShowPath      = "/show"
	// PipelinesPath is an extension of the published protocol, see docs/api.md.
	PipelinesPath = "/pipelines"
)
