package wire

import (
	"encoding/json"
	"math"
	"strings"
)

// MaxBody is the protocol's limit on the bytes of a request's body.
const MaxBody = 64 << 10

// Longest values of fields, in bytes.
const (
	maxJobReference = len("run-") + 18
	maxTaskIndex    = len("99999")
	// maxHeartbeatHead bounds a heartbeat without its tasks: four names or addresses, the other
	// fields with their names, and white space.
	maxHeartbeatHead = 4*maxName + 512
)

// maxReportedTaskBytes is the size of the longest attempt in a heartbeat.
var maxReportedTaskBytes = reportedTaskBytes()

// reportedTaskBytes returns the size of the longest attempt in a heartbeat, as JSON with a space after
// each colon and comma.
func reportedTaskBytes() int {
	longest := 0
	name := strings.Repeat("9", maxJobReference+len("/")+maxTaskIndex)
	for _, state := range taskStates {
		task := HeartbeatTask{Task: name, Attempt: math.MaxUint64, State: state}
		if state == Exited {
			task.Why, task.Saved = ExitGangIncomplete, true
		}
		encoded, err := json.Marshal(task)
		if err != nil {
			panic(err) // it has no field that cannot be encoded
		}
		spaces := strings.Count(string(encoded), ":") + strings.Count(string(encoded), ",")
		longest = max(longest, len(encoded)+spaces+len(", "))
	}
	return longest
}

// MaxReportedTasks is how many attempts of tasks a worker may hold, so that its heartbeat fits into a
// request whatever their names and states are. Attempts that have exited count until the worker
// forgets them.
var MaxReportedTasks = (MaxBody - maxHeartbeatHead) / maxReportedTaskBytes
