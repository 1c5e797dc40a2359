// Package messagecheck checks messages of other controllers and workers before anything in them
// is applied. An invalid message is rejected as a whole and logged once per kind and sender.
// Without these checks a negative number of tasks would crash the process, and a machine
// transferred to a shard that does not exist would be lost permanently.
package messagecheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/controller/rejectlog"
	"bramblespur/internal/fleet"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// Checker checks messages against the configuration. It has no state of its own and is safe
// for concurrent use.
type Checker struct {
	shards     int // number of shards, which are numbered from 0
	txnOps     int // the state service's limit on the changes in a transaction
	valueBytes int // the state service's limit on the size of a value
	rejections *rejectlog.Log
}

// New returns a checker that logs to rejections the messages that it rejects.
func New(p *config.Params, rejections *rejectlog.Log) *Checker {
	return &Checker{shards: p.Count, txnOps: p.State.TxnOps, valueBytes: p.State.MaxValueBytes(), rejections: rejections}
}

// invalid returns an error that says why a message is invalid. It wraps wire.ErrInvalidMessage.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", wire.ErrInvalidMessage, fmt.Sprintf(format, args...))
}

// Call checks the arguments of a peer's call. If they are invalid, it logs that and returns an
// error that wraps wire.ErrInvalidMessage. Arguments of other types are accepted.
func (c *Checker) Call(args any) error {
	kind, from, err := c.checkCall(args)
	if err != nil {
		c.rejections.Reject(kind, from, err)
	}
	return err
}

// checkCall checks the arguments of a peer's call, and returns the kind and the sender to log.
func (c *Checker) checkCall(args any) (kind, from string, err error) {
	const unnamedSender = "a controller" // for messages that do not name their sender
	switch a := args.(type) {
	case peer.SyncArgs:
		return "leader's sync", a.From, c.checkSync(&a)
	case peer.NotifyArgs:
		return "record from a peer", unnamedSender, c.checkRecord(&a)
	case peer.LoanArgs:
		return "request for a loan", a.From, c.checkLoan(&a)
	case wire.Heartbeat:
		return "relayed heartbeat", a.Machine, a.Check()
	case peer.UserArgs:
		return "forwarded request", unnamedSender, checkUser(&a)
	}
	return "", "", nil
}

// Undecodable logs that a call of a peer could not be decoded, or its connection was refused.
func (c *Checker) Undecodable(from string, err error) {
	c.rejections.Reject("call from a peer", from, err)
}

// Reply returns err if a call failed with it. Otherwise it checks the reply to the call, logs if
// the reply is invalid, and returns the error of the check. kind and from name the reply and its
// sender in the log.
func (c *Checker) Reply(kind, from string, err error, check func() error) error {
	if err != nil {
		return err
	}
	if err = check(); errors.Is(err, wire.ErrInvalidMessage) {
		c.rejections.Reject(kind, from, err)
	}
	return err
}

// IsShard reports whether a shard with an id exists.
func (c *Checker) IsShard(id int) bool { return id >= 0 && id < c.shards }

// checkSync rejects commands for shards that do not exist, and impossible rate limits.
func (c *Checker) checkSync(a *peer.SyncArgs) error {
	for _, id := range slices.Concat(a.Claim, a.HandHome) {
		if !c.IsShard(id) {
			return invalid("shard %d does not exist", id)
		}
	}
	for _, o := range a.Orders {
		if !c.IsShard(o.Part) || (o.To != fleet.ReleaseToCloud && !c.IsShard(o.To)) {
			return invalid("command to transfer a machine from shard %d to shard %d, want shards that exist", o.Part, o.To)
		}
	}
	for _, rate := range []float64{a.Requests, a.Changes, a.OrderRate} {
		if !(rate >= 0) || math.IsInf(rate, 0) {
			return invalid("rate limit is %g, want a finite number that is not negative", rate)
		}
	}
	return nil
}

// checkLoan rejects requests for the loan of an impossible number of changes.
func (c *Checker) checkLoan(a *peer.LoanArgs) error {
	if a.Changes <= 0 || a.Changes > c.txnOps {
		return invalid("request for a loan of %d changes, want 1 to %d", a.Changes, c.txnOps)
	}
	return nil
}

// checkRecord rejects records that no controller writes.
func (c *Checker) checkRecord(a *peer.NotifyArgs) error {
	if len(a.Value) > c.valueBytes {
		return invalid("record of %d bytes exceeds the limit of the state service", len(a.Value))
	}
	ref := record.LastElement(a.Key)
	if !jobspec.ValidJobReference(ref) {
		return invalid("record has key %.64q, want the key of an active or finished job", a.Key)
	}
	switch a.Key {
	case record.ActiveJobKey(ref):
		return c.checkActiveJob(ref, a)
	case record.FinishedJobKey(ref):
		return checkFinishedJob(a.Value)
	}
	return invalid("record has key %.64q, want the key of an active or finished job", a.Key)
}

// checkFinishedJob rejects a job's terminal record with an impossible state or number of tasks.
func checkFinishedJob(value []byte) error {
	var job record.FinishedJob
	if err := json.Unmarshal(value, &job); err != nil {
		return invalid("terminal record cannot be decoded: %v", err)
	}
	terminal := job.State == wire.Done || job.State == wire.Cancelled
	if !terminal || job.Tasks < 0 || job.Tasks > jobspec.MaxTasks {
		return invalid("terminal record has state %.32q and %d tasks, want a terminal state and 0 to 100000 tasks", job.State, job.Tasks)
	}
	return nil
}

// checkActiveJob rejects an active job's record that could not have been accepted.
func (c *Checker) checkActiveJob(ref string, a *peer.NotifyArgs) error {
	var job record.ActiveJob
	if err := json.Unmarshal(a.Value, &job); err != nil {
		return invalid("record of an active job cannot be decoded: %v", err)
	}
	if a.Version == 0 || !c.IsShard(job.Shard) || job.Spec.Ref != ref || jobspec.Validate(&job.Spec) != nil {
		return invalid("record of active job %s has shard %d and version %d, want an existing shard, a version above 0 and a valid specification of that job", ref, job.Shard, a.Version)
	}
	return nil
}

// checkUser rejects a forwarded request that is larger than the sender's own server accepts.
func checkUser(a *peer.UserArgs) error {
	if len(a.Method)+len(a.Path) > httpwire.MaxHead || len(a.Body) > httpwire.MaxBody {
		return invalid("forwarded request has a method of %d, a path of %d and a body of %d bytes, more than a server accepts", len(a.Method), len(a.Path), len(a.Body))
	}
	return nil
}

// SyncReply returns an error for a reply to the leader's sync with impossible amounts or shards.
func (c *Checker) SyncReply(r *peer.SyncReply) error {
	if r.Requests < 0 || r.Changes < 0 || r.OrdersWaiting < 0 {
		return invalid("sync reply counts %d requests, %d changes and %d commands held back, want no negative count", r.Requests, r.Changes, r.OrdersWaiting)
	}
	for i := range r.Summaries {
		if err := c.checkSummary(&r.Summaries[i]); err != nil {
			return err
		}
	}
	return nil
}

// isPlausible reports whether a controller could send a sum: finite and not negative, except that
// rounding can take a sum a little below zero.
func isPlausible(v float64) bool { return v > -1 && !math.IsInf(v, 0) }

// checkSummary rejects a shard's summary with impossible amounts.
func (c *Checker) checkSummary(summary *fleet.Summary) error {
	amounts := []float64{summary.Arriving, summary.ArrivingSpot}
	for i := range summary.Needs {
		n := &summary.Needs[i]
		if n.Count < 0 || n.Count > jobspec.MaxTasks || n.ZoneLimit < 0 {
			return invalid("shard %d has a demand of %d tasks for job %.32q, want 0 to 100000 tasks and no negative limit per zone", summary.Part, n.Count, n.Job)
		}
		amounts = append(amounts, n.CPUs, n.GPUs, n.MemoryGB)
	}
	for i := range summary.Machines {
		if summary.Machines[i].Tasks < 0 {
			return invalid("summary has %d tasks on machine %.32q, want no negative number", summary.Machines[i].Tasks, summary.Machines[i].ID)
		}
	}
	if !c.IsShard(summary.Part) || slices.ContainsFunc(amounts, func(v float64) bool { return !isPlausible(v) }) {
		return invalid("summary of shard %d, want an existing shard and amounts that are finite and not negative", summary.Part)
	}
	return nil
}

// HeartbeatReply returns an error for a reply to a relayed heartbeat with a status that workers do
// not know.
func HeartbeatReply(r *peer.HeartbeatReply) error {
	if !slices.Contains([]int{200, 421, 503}, r.Status) {
		return invalid("relayed heartbeat answered with status %d, want 200, 421 or 503", r.Status)
	}
	return nil
}

// Status returns an error for a status that is not of the job ref or has impossible counts.
func Status(status *wire.Status, ref string) error {
	if status.Ref != ref || status.Done < 0 || status.Running < 0 {
		return invalid("status is of job %.32q with %d tasks done and %d running, want the job that was asked for and no negative counts", status.Ref, status.Done, status.Running)
	}
	return nil
}

// UserReply returns an error for a reply to a forwarded request that cannot be passed on to a user
// as a response.
func UserReply(r *peer.UserReply) error {
	if r.Status < 200 || r.Status > 599 || r.RetryAfter < 0 || (len(r.Body) > 0 && !json.Valid(r.Body)) {
		return invalid("forwarded request answered with status %d and %d bytes, want a status of 200 to 599, a JSON body or none, and no negative Retry-After", r.Status, len(r.Body))
	}
	return nil
}
