package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"bramblespur/internal/controller/jobspec"
	"bramblespur/internal/fleet"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/wire"
)

// What other controllers and workers say is checked before it is taken in: a message
// that makes no sense is refused whole and logged once, whatever sent it.

// errSenseless makes the refusal of a message.
func errSenseless(format string, args ...any) error {
	return fmt.Errorf("%w: %s", wire.ErrInvalidMessage, fmt.Sprintf(format, args...))
}

// Check implements peer.Handler.
func (c *Controller) Check(args any) error {
	var err error
	var kind, from string
	switch a := args.(type) {
	case peer.SyncArgs:
		kind, from, err = "orders of the leader", a.From, c.checkSync(&a)
	case peer.NotifyArgs:
		kind, from, err = "record of another controller", "a controller", c.checkNudge(&a)
	case peer.LoanArgs:
		kind, from = "question for changes", a.From
		if most := c.cfg.Params.State.TxnOps; a.Changes <= 0 || a.Changes > most {
			err = errSenseless("%d changes, of %d at most", a.Changes, most)
		}
	case wire.Heartbeat:
		kind, from, err = "relayed report", a.Machine, a.Check()
	case peer.UserArgs:
		kind, from, err = "request passed on", "a controller", checkUser(&a)
	}
	if err != nil {
		c.rejections.Reject(kind, from, err)
	}
	return err
}

// Malformed implements peer.Handler.
func (c *Controller) Malformed(from string, err error) {
	c.rejections.Reject("call of a controller", from, err)
}

// isShard reports whether there is such a part.
func (c *Controller) isShard(id int) bool { return id >= 0 && id < c.cfg.Params.Count }

// checkSync refuses orders for parts that there are not, and impossible budgets.
func (c *Controller) checkSync(a *peer.SyncArgs) error {
	for _, id := range slices.Concat(a.Claim, a.HandHome) {
		if !c.isShard(id) {
			return errSenseless("part %d", id)
		}
	}
	for _, o := range a.Orders {
		if !c.isShard(o.Part) || (o.To != fleet.ReleaseToCloud && !c.isShard(o.To)) {
			return errSenseless("an order from part %d to %d", o.Part, o.To)
		}
	}
	for _, rate := range []float64{a.Requests, a.Changes, a.OrderRate} {
		if !(rate >= 0) || math.IsInf(rate, 0) {
			return errSenseless("a budget of %g", rate)
		}
	}
	return nil
}

// checkNudge refuses records that no controller writes.
func (c *Controller) checkNudge(a *peer.NotifyArgs) error {
	if len(a.Value) > c.cfg.Params.State.Bytes() {
		return errSenseless("a record of %d bytes", len(a.Value))
	}
	ref := record.LastElement(a.Key)
	if !jobspec.ValidJobReference(ref) {
		return errSenseless("a record of %.64q", a.Key)
	}
	switch a.Key {
	case record.ActiveJobKey(ref):
		return c.checkOpen(ref, a)
	case record.FinishedJobKey(ref):
		var j record.FinishedJob
		if err := json.Unmarshal(a.Value, &j); err != nil {
			return errSenseless("final record: %v", err)
		}
		if (j.State != wire.Done && j.State != wire.Cancelled) || j.Tasks < 0 || j.Tasks > jobspec.MaxTasks {
			return errSenseless("final record: %.32q with %d tasks", j.State, j.Tasks)
		}
		return nil
	}
	return errSenseless("a record of %.64q", a.Key)
}

// checkOpen refuses an open job's record that could not have been accepted.
func (c *Controller) checkOpen(ref string, a *peer.NotifyArgs) error {
	var o record.ActiveJob
	if err := json.Unmarshal(a.Value, &o); err != nil {
		return errSenseless("open record: %v", err)
	}
	if a.Version == 0 || !c.isShard(o.Shard) || o.Spec.Ref != ref || jobspec.Validate(&o.Spec) != nil {
		return errSenseless("open record of %s, part %d, version %d", ref, o.Shard, a.Version)
	}
	return nil
}

// checkUser refuses a user's request that the sender's own server would not have taken.
func checkUser(a *peer.UserArgs) error {
	if len(a.Method)+len(a.Path) > httpwire.MaxHead || len(a.Body) > httpwire.MaxBody {
		return errSenseless("a request of %d, %d and %d bytes", len(a.Method), len(a.Path), len(a.Body))
	}
	return nil
}

// checkSyncReply refuses a controller's word on its parts that can't be true.
func (c *Controller) checkSyncReply(r *peer.SyncReply) error {
	if r.Requests < 0 || r.Changes < 0 || r.OrdersWaiting < 0 {
		return errSenseless("%d requests, %d changes and %d orders were needed", r.Requests, r.Changes, r.OrdersWaiting)
	}
	for i := range r.Summaries {
		if err := c.checkSummary(&r.Summaries[i]); err != nil {
			return err
		}
	}
	return nil
}

// isTold reports whether a sum may be one that a controller tells: rounding can take
// one a little below zero.
func isTold(v float64) bool { return v > -1 && !math.IsInf(v, 0) }

func (c *Controller) checkSummary(summary *fleet.Summary) error {
	amounts := []float64{summary.Arriving, summary.ArrivingSpot}
	for i := range summary.Needs {
		n := &summary.Needs[i]
		if n.Count < 0 || n.Count > jobspec.MaxTasks || n.ZoneLimit < 0 {
			return errSenseless("part %d needs %d of %.32q", summary.Part, n.Count, n.Job)
		}
		amounts = append(amounts, n.CPUs, n.GPUs, n.MemoryGB)
	}
	for i := range summary.Machines {
		if summary.Machines[i].Tasks < 0 {
			return errSenseless("%d tasks on %.32q", summary.Machines[i].Tasks, summary.Machines[i].ID)
		}
	}
	if !c.isShard(summary.Part) || slices.ContainsFunc(amounts, func(v float64) bool { return !isTold(v) }) {
		return errSenseless("summary of part %d", summary.Part)
	}
	return nil
}

// checkReportReply refuses an answer to a relayed report that no worker understands.
func checkReportReply(r *peer.HeartbeatReply) error {
	if !slices.Contains([]int{200, 421, 503}, r.Status) {
		return errSenseless("a report answered with %d", r.Status)
	}
	return nil
}

// checkStatus refuses a job's state that is another's or has impossible counts.
func checkStatus(status *wire.Status, ref string) error {
	if status.Ref != ref || status.Done < 0 || status.Running < 0 {
		return errSenseless("the state of %.32q with %d done and %d running", status.Ref, status.Done, status.Running)
	}
	return nil
}

// checkUserReply refuses an answer to a request passed on that no user understands.
func checkUserReply(r *peer.UserReply) error {
	if r.Status < 200 || r.Status > 599 || r.RetryAfter < 0 || (len(r.Body) > 0 && !json.Valid(r.Body)) {
		return errSenseless("a request answered with %d and %d bytes", r.Status, len(r.Body))
	}
	return nil
}

// sensible checks a peer's answer, unless there is none, and logs its refusal.
func (c *Controller) sensible(kind, from string, err error, check func() error) error {
	if err != nil {
		return err
	}
	if err = check(); errors.Is(err, wire.ErrInvalidMessage) {
		c.rejections.Reject(kind, from, err)
	}
	return err
}
