// Package controller assembles one controller process from the components in its sub-packages:
// it creates them, connects them and runs them until the process ends. docs/architecture.md
// describes which component owns which state.
//
// Besides that it contains adapters that implement the components' interfaces (*_host.go,
// shard_environment.go, user_requests.go, membership_process.go), applies watched records to the
// views and shards, runs the periodic tick, routes heartbeats, and renews workers' leases on
// behalf of owners that are out of reach.
//
// The outermost lock, mu, is the lock of the hosted shards (shardhost.Host). The components' own
// locks are leaf locks, taken under mu or alone. No lock is held during input or output.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sort"
	"sync"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/cloud"
	"bramblespur/internal/config"
	"bramblespur/internal/controller/admission"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/controller/dataloss"
	"bramblespur/internal/controller/dependency"
	"bramblespur/internal/controller/drainer"
	"bramblespur/internal/controller/election"
	"bramblespur/internal/controller/leader"
	"bramblespur/internal/controller/membership"
	"bramblespur/internal/controller/messagecheck"
	"bramblespur/internal/controller/overload"
	"bramblespur/internal/controller/reconciliation"
	"bramblespur/internal/controller/rejectlog"
	"bramblespur/internal/controller/shardhost"
	"bramblespur/internal/controller/terminal"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/controller/userapi"
	"bramblespur/internal/controller/workerapi"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/operations"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// usageLogInterval is the period of the log of state service requests and memory use.
	usageLogInterval = 15 * time.Second
	// relayTimeout bounds the call that relays a heartbeat to its machine's owner.
	relayTimeout = 2200 * time.Millisecond
)

// Controller is one controller process.
type Controller struct {
	cfg      *config.Settings
	policy   *policy.Policy
	log      *slog.Logger
	lifetime context.Context // ends when the controller stops
	store    statestore.Store
	cloud    cloud.API
	agents   agent.API
	peers    map[string]peer.Caller // the other controllers, by label
	teams    []string               // names in order
	userAPI  *userapi.API

	// Each of these components has a leaf lock of its own, which may be taken while mu is held.
	// mu must not be taken while a leaf lock is held.
	lease          membership.Lease
	member         *membership.Member
	election       *election.Election
	terminalStates *terminal.Cache
	peerHealth     *membership.PeerHealth
	overload       *overload.Detector
	admission      *admission.Limiter // limits users' requests in progress
	messages       *messagecheck.Checker
	rejections     *rejectlog.Log
	cluster        *clusterview.Cluster
	machines       *clusterview.Machines
	activeJobs     *clusterview.ActiveJobs

	leaderDuties *leader.Leader // its state is guarded by mu

	// shards holds the shards that this controller serves.
	shards *shardhost.Host
	// mu is the shards' lock, the outermost one. It guards all fields below it and is never held
	// during input or output.
	mu              sync.Locker
	dependencyReads *dependency.Schedule
	router          *workerapi.Router
	lastHeartbeatAt time.Time // when any worker last sent a heartbeat directly to this controller
	startedAt       time.Time // when this process started, or began anew after a safe mode
	renewals        renewals
	drainer         *drainer.Drainer
	reconciliation  *reconciliation.Tracker
	dataLoss        *dataloss.Detector
	audit           dataloss.Audit
	staleReads      dataloss.StaleReads
	longPolls       *workerapi.LongPolls
	readiness       membership.Readiness
}

// Run runs a controller. It returns only when a listener cannot be opened or a server fails, with
// the error.
func Run(cfg *config.Settings, pol *policy.Policy, ops *operations.Settings, log *slog.Logger) error {
	p := cfg.Params
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &Controller{
		cfg: cfg, policy: pol, log: log, lifetime: ctx,
		cloud:  cloud.New(cfg.Services.Cloud, p.Cloud.RPS*leader.FollowerCloudShare),
		agents: agent.Client{},
	}
	// The client keeps the write burst that it derives here. The tick replaces the rates at once.
	tight := p.State.LowestLimits()
	c.store = statestore.New(cfg.Services.State, p.Count, tight.RPS, tight.WriteRPS, c.borrow)
	c.createComponents()
	c.drainer.Enable(ops.Drains, &p)
	c.reconciliation.Enable(ops.Restart)
	c.store = c.dataLoss.Enable(ops.Recovery, c.store)
	for _, q := range cfg.Peers {
		c.peers[q.Label] = peer.NewClient(q.Addr)
	}
	ln, err := net.Listen("tcp4", cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	errs := make(chan error, 2)
	go func() { errs <- peer.Serve(ln, c, len(cfg.Peers)) }()
	maxConnections, keepAliveLimit := transport.SocketLimits(p.Resources)
	srv := transport.New(transport.Config{
		Handler: c.handle, Log: log, Rejections: c.rejections,
		MaxConnections: maxConnections, KeepAliveLimit: keepAliveLimit, MaxBuffered: transport.MaxBufferedBytes(p.Resources),
	})
	go func() { errs <- srv.Run(cfg.Listen) }()
	c.start()
	log.Info("controller started", "label", cfg.Label, "zone", cfg.Zone)
	return fmt.Errorf("server: %w", <-errs)
}

// start starts the background loops of the controller. They run until its lifetime ends.
func (c *Controller) start() {
	ctx := c.lifetime
	go c.member.KeepLease(ctx)
	go c.member.RecordOwnFormat(ctx)
	c.startWatches(ctx)
	go c.shards.LearnMachineTypes(ctx)
	go c.tickLoop(ctx)
	go c.leaderDuties.Run(ctx)
	go c.logUsageLoop(ctx)
	if c.drainer.Enabled() {
		go c.drainer.Run(ctx)
	}
	if c.reconciliation.Enabled() {
		go c.reconciliation.Run(ctx)
	}
	if c.dataLoss.Enabled() {
		go c.audit.Run(ctx)
	}
}

// createComponents creates the components. The settings, the policy and the log must be set.
func (c *Controller) createComponents() {
	for _, t := range c.cfg.Params.Teams {
		c.teams = append(c.teams, t.Name)
	}
	sort.Strings(c.teams)
	c.peers = map[string]peer.Caller{}
	c.shards = shardhost.New(c.cfg, c.log, shardEnvironment{c}, func(types []wire.MachineType) *scheduler.Config {
		return shardhost.SchedulerConfig(&c.cfg.Params, c.policy, c.reconciliation.Limiter(), types)
	})
	c.mu = c.shards
	c.cluster = clusterview.NewCluster()
	c.machines = clusterview.NewMachines()
	c.activeJobs = clusterview.NewActiveJobs(c.placementsPerRecord())
	c.dependencyReads = dependency.NewSchedule()
	c.startedAt = time.Now()
	c.terminalStates = terminal.NewCache()
	c.userAPI = userapi.New(userCluster{c}, c.cfg, c.teams, c.terminalStates, c.log)
	c.renewals = renewals{}
	c.peerHealth = membership.NewPeerHealth()
	c.router = workerapi.NewRouter(c.cfg, c.cluster, c.peerHealth, &c.lease, workerHost{c}, c.log)
	c.longPolls = workerapi.NewLongPolls(workerHost{c}, c.mu)
	c.member = c.newMember()
	c.election = election.New(c.cfg.Label, c.currentStore, &c.lease, c.cluster, c.mu, c.log)
	c.rejections = rejectlog.New(c.log)
	c.messages = messagecheck.New(&c.cfg.Params, c.rejections)
	c.overload = overload.NewDetector(c.log, c.cfg.Params.Resources.CPUShare, membership.LeaseTTL)
	c.admission = admission.NewLimiter(c.cfg.Params.Resources, c.overload.Behind)
	c.leaderDuties = leader.New(leaderHost{c}, c.cfg, c.policy, c.log)
	c.drainer = drainer.New(drainerHost{c}, c.cluster, c.machines, c.cfg, c.log)
	c.reconciliation = reconciliation.NewTracker(reconciliationHost{c}, c.machines, c.cfg, c.log)
	c.dataLoss = dataloss.NewDetector(dataLossHost{c}, dataloss.Views{Views: *c.views(), Terminal: c.terminalStates}, c.cfg, c.log)
	c.audit, c.staleReads = dataloss.Audit{Detector: c.dataLoss}, dataloss.StaleReads{Detector: c.dataLoss}
}

// handle implements transport.Handler. It answers heartbeats and readiness checks on the event
// loop, and each admitted user request on a goroutine of its own. Other requests get a response
// that asks the client to retry later.
func (c *Controller) handle(req httpwire.Request, answer func(transport.Response)) (transport.Response, bool) {
	switch {
	case req.Path == wire.HeartbeatPath && req.Method == "POST":
		return c.handleHeartbeat(req, answer)
	case req.Path == wire.ReadyPath && req.Method == "GET":
		return c.readinessResponse(), true
	case req.Path == wire.HeartbeatPath, req.Path == wire.ReadyPath:
		return transport.Response{Status: 405}, true
	}
	if !c.admission.Admit(req) {
		return userapi.RetryLater(), true
	}
	go func() {
		r := c.userAPI.Serve(req)
		c.admission.Release(req)
		answer(r)
	}()
	return transport.Response{}, false
}
