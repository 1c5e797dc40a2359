package controller

import (
	"context"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/admission"
	"bramblespur/internal/controller/dataloss"
	"bramblespur/internal/controller/messagecheck"
	"bramblespur/internal/controller/userapi"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// peerNoticeTimeout bounds calls to other controllers that only save time: status queries to owners,
// and notices of records that the receiver's watch delivers as well.
const peerNoticeTimeout = 400 * time.Millisecond

// userCluster adapts a Controller to userapi.Cluster. Its methods take the shards' lock themselves.
type userCluster struct{ c *Controller }

var _ userapi.Cluster = userCluster{}

// StateService implements userapi.Cluster.
func (u userCluster) StateService() statestore.Store { return u.c.store }

// Context implements userapi.Cluster.
func (u userCluster) Context() context.Context { return u.c.lifetime }

// WriteLimits implements userapi.Cluster.
func (u userCluster) WriteLimits() config.State { return u.c.writeLimits() }

// LeaseOverdue implements userapi.Cluster.
func (u userCluster) LeaseOverdue() bool { return u.c.leaseOverdue() }

// LeaseLost implements userapi.Cluster.
func (u userCluster) LeaseLost() bool { return u.c.leaseLost() }

// InSafeMode implements userapi.Cluster.
func (u userCluster) InSafeMode() bool { return u.c.dataLoss.Active() }

// MachineTypes implements userapi.Cluster.
func (u userCluster) MachineTypes() []wire.MachineType {
	u.c.mu.Lock()
	defer u.c.mu.Unlock()
	return u.c.shards.MachineTypesLocked()
}

// HasRoomForJobs implements userapi.Cluster.
func (u userCluster) HasRoomForJobs(jobs ...userapi.NewJob) bool {
	_, bytes := u.c.activeJobs.Usage()
	for _, job := range jobs {
		bytes += scheduler.JobBytes(job.Spec, job.RecordBytes, u.c.placementsPerRecord())
	}
	return bytes <= admission.MaxJobBytes(u.c.cfg.Params.Resources)
}

// ActiveJob implements userapi.Cluster.
func (u userCluster) ActiveJob(ref string) (userapi.ActiveJob, bool) {
	u.c.mu.Lock()
	defer u.c.mu.Unlock()
	job, active := u.c.activeJobs.Job(ref)
	return userapi.ActiveJob{Version: job.Version, Cancelled: job.Cancelled, Service: job.Service, Dependent: job.Dependent}, active
}

// DependenciesOf implements userapi.Cluster.
func (u userCluster) DependenciesOf(ref string) userapi.Dependencies {
	u.c.mu.Lock()
	defer u.c.mu.Unlock()
	unsettled, active := u.c.activeJobs.UnsettledDependencies(ref)
	return userapi.Dependencies{Fresh: !u.c.activeJobsStaleLocked(time.Now()), Active: active, Unsettled: unsettled}
}

// ApplyDependency implements userapi.Cluster.
func (u userCluster) ApplyDependency(ref string, finished record.FinishedJob) {
	u.c.mu.Lock()
	defer u.c.mu.Unlock()
	u.c.applyTerminalRecordLocked(ref, finished, time.Now())
}

// CancelDependent implements userapi.Cluster.
func (u userCluster) CancelDependent(ctx context.Context, ref string) error {
	return u.c.cancelDependent(ctx, ref)
}

// CancellationPending implements userapi.Cluster.
func (u userCluster) CancellationPending(ref string) bool {
	u.c.mu.Lock()
	defer u.c.mu.Unlock()
	job, _ := u.c.activeJobs.Job(ref)
	return job.Cancelled && !u.c.activeJobsStaleLocked(time.Now())
}

// Terminal implements userapi.Cluster.
func (u userCluster) Terminal(ref string) <-chan struct{} {
	u.c.mu.Lock()
	defer u.c.mu.Unlock()
	return u.c.activeJobs.Ended(ref)
}

// BaselineOf implements userapi.Cluster.
func (u userCluster) BaselineOf(ref string) dataloss.Baseline { return u.c.staleReads.BaselineOf(ref) }

// CheckActiveJob implements userapi.Cluster.
func (u userCluster) CheckActiveJob(ref string, known dataloss.Baseline, found uint64) error {
	return u.c.staleReads.CheckActiveJob(ref, known, found)
}

// CheckMissingJob implements userapi.Cluster.
func (u userCluster) CheckMissingJob(ref string, known dataloss.Baseline) error {
	return u.c.staleReads.CheckMissingJob(ref, known)
}

// NotifyOwner implements userapi.Cluster.
func (u userCluster) NotifyOwner(shard int, t wire.Txn, revision uint64) {
	u.c.notifyOwner(shard, t, revision)
}

// OwnerStatus implements userapi.Cluster. The owner of the job's shard is this controller or another
// one, which it calls for at most peerNoticeTimeout.
func (u userCluster) OwnerStatus(ref string) (wire.Status, bool) {
	c := u.c
	c.mu.Lock()
	job, _ := c.activeJobs.Job(ref)
	if shard := c.shards.GetLocked(job.Shard); shard != nil {
		status, ok := shard.Status(ref)
		c.mu.Unlock()
		return status, ok
	}
	owner := c.peers[c.cluster.Owner(job.Shard)]
	c.mu.Unlock()
	if owner == nil {
		return wire.Status{}, false
	}
	status := new(wire.Status)
	err := owner.Call("Status", ref, status, peerNoticeTimeout)
	err = c.messages.Reply("reply to a status query", "a controller", err, func() error { return messagecheck.Status(status, ref) })
	return *status, err == nil
}

// Forward implements userapi.Cluster.
func (u userCluster) Forward(request userapi.ForwardedRequest) (userapi.ForwardedResponse, error) {
	target := u.c.forwardTarget(time.Now())
	if target == nil {
		return userapi.ForwardedResponse{}, userapi.ErrNoController
	}
	var reply peer.UserReply
	args := peer.UserArgs{Method: request.Method, Path: request.Path, Body: request.Body}
	err := target.Call("User", args, &reply, userapi.RequestTimeout)
	err = u.c.messages.Reply("reply to a forwarded request", "a controller", err, func() error { return messagecheck.UserReply(&reply) })
	return userapi.ForwardedResponse{Status: reply.Status, Body: reply.Body, RetryAfter: reply.RetryAfter}, err
}

// forwardTarget returns a controller that recently answered and reported that it reaches the state
// service, or nil if there is none. It takes the shards' lock.
func (c *Controller) forwardTarget(now time.Time) peer.Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	for label, p := range c.peers { // any of them serves equally well
		if contact := c.peerHealth.Contact(label); contact.ReachesStateService(now) && contact.Answers(now) {
			return p
		}
	}
	return nil
}

// User implements peer.Handler: it serves a request that another controller forwarded.
func (c *Controller) User(a peer.UserArgs) peer.UserReply {
	r := c.userAPI.ServeForwarded(userapi.ForwardedRequest{Method: a.Method, Path: a.Path, Body: a.Body})
	return peer.UserReply{Status: r.Status, RetryAfter: r.RetryAfter, Body: r.Body}
}

// Status implements peer.Handler: it returns the state of a job whose shard is hosted here, for
// another controller's user API, and false if no hosted shard has the job.
func (c *Controller) Status(ref string) (wire.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, shard := range c.shards.AllLocked() {
		if status, ok := shard.Status(ref); ok {
			return status, true
		}
	}
	return wire.Status{}, false
}

// leaseOverdue reports whether the member lease's last renewal is so old that the state
// service may be out of reach.
func (c *Controller) leaseOverdue() bool {
	return c.lease.Current().Overdue(time.Now())
}

// leaseLost reports whether the state service has been out of reach for a while or has lost data.
// Requests that need the state service are then refused at once.
func (c *Controller) leaseLost() bool {
	return c.lease.Current().Lost(time.Now()) || c.dataLoss.Active()
}
