// Package messagecheck checks what other controllers and workers send before anything is
// applied: an invalid message is rejected whole and logged once, whoever sent it. Without that a
// negative number of tasks would end the process, and a machine moved to a shard that does not
// exist would be lost for ever.
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
	shards     int // how many shards there are, numbered from 0
	txnOps     int // the state service's limits
	valueBytes int
	rejections *rejectlog.Log
}

// New returns a checker that logs what it rejects.
func New(p *config.Params, rejections *rejectlog.Log) *Checker {
	return &Checker{shards: p.Count, txnOps: p.State.TxnOps, valueBytes: p.State.MaxValueBytes(), rejections: rejections}
}

// invalid returns the error of an invalid message.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", wire.ErrInvalidMessage, fmt.Sprintf(format, args...))
}

// Call checks the arguments of a peer's call, and logs if they are rejected.
func (c *Checker) Call(args any) error {
	kind, from, err := c.checkCall(args)
	if err != nil {
		c.rejections.Reject(kind, from, err)
	}
	return err
}

func (c *Checker) checkCall(args any) (kind, from string, err error) {
	const aPeer = "a controller" // the sender of messages that do not name it
	switch a := args.(type) {
	case peer.SyncArgs:
		return "leader's sync", a.From, c.checkSync(&a)
	case peer.NotifyArgs:
		return "record of a peer", aPeer, c.checkRecord(&a)
	case peer.LoanArgs:
		return "request for a loan", a.From, c.checkLoan(&a)
	case wire.Heartbeat:
		return "relayed heartbeat", a.Machine, a.Check()
	case peer.UserArgs:
		return "forwarded request", aPeer, checkUser(&a)
	}
	return "", "", nil
}

// Undecodable logs that a peer's call could not be decoded.
func (c *Checker) Undecodable(from string, err error) {
	c.rejections.Reject("call of a peer", from, err)
}

// Reply checks the reply to a call, unless the call failed with err, and logs if it is rejected.
func (c *Checker) Reply(kind, from string, err error, check func() error) error {
	if err != nil {
		return err
	}
	if err = check(); errors.Is(err, wire.ErrInvalidMessage) {
		c.rejections.Reject(kind, from, err)
	}
	return err
}

// IsShard reports whether there is such a shard.
func (c *Checker) IsShard(id int) bool { return id >= 0 && id < c.shards }

// checkSync rejects orders for shards that do not exist, and impossible quotas.
func (c *Checker) checkSync(a *peer.SyncArgs) error {
	for _, id := range slices.Concat(a.Claim, a.HandHome) {
		if !c.IsShard(id) {
			return invalid("shard %d", id)
		}
	}
	for _, o := range a.Orders {
		if !c.IsShard(o.Part) || (o.To != fleet.ReleaseToCloud && !c.IsShard(o.To)) {
			return invalid("an order from shard %d to %d", o.Part, o.To)
		}
	}
	for _, rate := range []float64{a.Requests, a.Changes, a.OrderRate} {
		if !(rate >= 0) || math.IsInf(rate, 0) {
			return invalid("a quota of %g", rate)
		}
	}
	return nil
}

// checkLoan rejects requests for an impossible number of changes.
func (c *Checker) checkLoan(a *peer.LoanArgs) error {
	if a.Changes <= 0 || a.Changes > c.txnOps {
		return invalid("%d changes, of %d at most", a.Changes, c.txnOps)
	}
	return nil
}

// checkRecord rejects records that no controller writes.
func (c *Checker) checkRecord(a *peer.NotifyArgs) error {
	if len(a.Value) > c.valueBytes {
		return invalid("a record of %d bytes", len(a.Value))
	}
	ref := record.LastElement(a.Key)
	if !jobspec.ValidJobReference(ref) {
		return invalid("a record of %.64q", a.Key)
	}
	switch a.Key {
	case record.ActiveJobKey(ref):
		return c.checkActiveJob(ref, a)
	case record.FinishedJobKey(ref):
		return checkFinishedJob(a.Value)
	}
	return invalid("a record of %.64q", a.Key)
}

func checkFinishedJob(value []byte) error {
	var job record.FinishedJob
	if err := json.Unmarshal(value, &job); err != nil {
		return invalid("record of a finished job: %v", err)
	}
	terminal := job.State == wire.Done || job.State == wire.Cancelled
	if !terminal || job.Tasks < 0 || job.Tasks > jobspec.MaxTasks {
		return invalid("record of a finished job: %.32q with %d tasks", job.State, job.Tasks)
	}
	return nil
}

// checkActiveJob rejects an active job's record that could not have been accepted.
func (c *Checker) checkActiveJob(ref string, a *peer.NotifyArgs) error {
	var job record.ActiveJob
	if err := json.Unmarshal(a.Value, &job); err != nil {
		return invalid("record of an active job: %v", err)
	}
	if a.Version == 0 || !c.IsShard(job.Shard) || job.Spec.Ref != ref || jobspec.Validate(&job.Spec) != nil {
		return invalid("record of the active job %s, shard %d, version %d", ref, job.Shard, a.Version)
	}
	return nil
}

// checkUser rejects a user's request that the sender's own server would not have taken.
func checkUser(a *peer.UserArgs) error {
	if len(a.Method)+len(a.Path) > httpwire.MaxHead || len(a.Body) > httpwire.MaxBody {
		return invalid("a request of %d, %d and %d bytes", len(a.Method), len(a.Path), len(a.Body))
	}
	return nil
}

// SyncReply rejects a peer's summary of its shards that can't be true.
func (c *Checker) SyncReply(r *peer.SyncReply) error {
	if r.Requests < 0 || r.Changes < 0 || r.OrdersWaiting < 0 {
		return invalid("%d requests, %d changes and %d orders were needed", r.Requests, r.Changes, r.OrdersWaiting)
	}
	for i := range r.Summaries {
		if err := c.checkSummary(&r.Summaries[i]); err != nil {
			return err
		}
	}
	return nil
}

// isPlausible reports whether a sum may be one that a controller sends: rounding can take one a
// little below zero.
func isPlausible(v float64) bool { return v > -1 && !math.IsInf(v, 0) }

// checkSummary rejects a shard's summary with impossible amounts.
func (c *Checker) checkSummary(summary *fleet.Summary) error {
	amounts := []float64{summary.Arriving, summary.ArrivingSpot}
	for i := range summary.Needs {
		n := &summary.Needs[i]
		if n.Count < 0 || n.Count > jobspec.MaxTasks || n.ZoneLimit < 0 {
			return invalid("shard %d needs %d of %.32q", summary.Part, n.Count, n.Job)
		}
		amounts = append(amounts, n.CPUs, n.GPUs, n.MemoryGB)
	}
	for i := range summary.Machines {
		if summary.Machines[i].Tasks < 0 {
			return invalid("%d tasks on %.32q", summary.Machines[i].Tasks, summary.Machines[i].ID)
		}
	}
	if !c.IsShard(summary.Part) || slices.ContainsFunc(amounts, func(v float64) bool { return !isPlausible(v) }) {
		return invalid("summary of shard %d", summary.Part)
	}
	return nil
}

// HeartbeatReply rejects a reply to a relayed heartbeat that no worker understands.
func HeartbeatReply(r *peer.HeartbeatReply) error {
	if !slices.Contains([]int{200, 421, 503}, r.Status) {
		return invalid("a heartbeat answered with %d", r.Status)
	}
	return nil
}

// Status rejects a job's status that is another's or has impossible counts.
func Status(status *wire.Status, ref string) error {
	if status.Ref != ref || status.Done < 0 || status.Running < 0 {
		return invalid("the status of %.32q with %d done and %d running", status.Ref, status.Done, status.Running)
	}
	return nil
}

// UserReply rejects a reply to a forwarded request that no user understands.
func UserReply(r *peer.UserReply) error {
	if r.Status < 200 || r.Status > 599 || r.RetryAfter < 0 || (len(r.Body) > 0 && !json.Valid(r.Body)) {
		return invalid("a request answered with %d and %d bytes", r.Status, len(r.Body))
	}
	return nil
}
