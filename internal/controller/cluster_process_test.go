package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/operations"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// process is one run of a controller, from its start to its crash. It implements testkit.Node.
type process struct {
	c        *Controller
	lifetime context.Context
	cancel   context.CancelFunc
}

// Handle implements testkit.Node.
func (p *process) Handle(method, path string, body []byte) (int, []byte, error) {
	answered := make(chan transport.Response, 1)
	if r, now := p.c.handle(httpwire.Request{Method: method, Path: path, Body: body}, func(r transport.Response) { answered <- r }); now {
		answered <- r
	}
	select {
	case <-p.lifetime.Done():
		return 0, nil, testkit.ErrLost
	case r := <-answered:
		if p.lifetime.Err() != nil {
			return 0, nil, testkit.ErrLost
		}
		if r.Body == nil {
			return r.Status, nil, nil
		}
		return r.Status, record.Encode(r.Body), nil
	}
}

// peerLink calls a controller over the simulated network, on behalf of another controller or of
// the recovery tool. No call succeeds once lifetime, the context of the caller, has ended.
type peerLink struct {
	k        *cluster
	from, to string
	lifetime context.Context
}

// Call implements peer.Caller.
func (l *peerLink) Call(method string, args, result any, timeout time.Duration) error {
	deliver, err := testkit.Call(l.k.world.Net, l.from, l.to, timeout, func() (func(), error) {
		p := l.k.process(l.to)
		if p == nil {
			return nil, testkit.ErrRefused
		}
		deliver, err := dispatch(p.c, method, args, result)
		if p.lifetime.Err() != nil {
			return nil, testkit.ErrLost
		}
		return deliver, err
	})
	switch {
	case l.lifetime.Err() != nil:
		return l.lifetime.Err()
	case errors.Is(err, testkit.ErrLost):
		return peer.ErrTimeout
	case err != nil:
		return err
	}
	deliver()
	return nil
}

// dispatch calls a method of a controller and returns a function that stores the reply in result.
func dispatch(h peer.Handler, method string, args, result any) (deliver func(), err error) {
	if err := h.Check(args); err != nil {
		return nil, err
	}
	switch method {
	case "Sync":
		r := h.Sync(args.(peer.SyncArgs))
		return func() { *result.(*peer.SyncReply) = r }, nil
	case "Nudge":
		h.ReceiveJobRecord(args.(peer.NotifyArgs))
		return func() {}, nil
	case "Report":
		r := h.Report(args.(wire.Heartbeat))
		return func() { *result.(*peer.HeartbeatReply) = r }, nil
	case "User":
		r := h.User(args.(peer.UserArgs))
		return func() { *result.(*peer.UserReply) = r }, nil
	case "Ping":
		r := h.Ping()
		return func() { *result.(*bool) = r }, nil
	case "Format":
		r := h.Format()
		return func() { *result.(*int) = r }, nil
	case "Lend":
		r := h.Lend(args.(peer.LoanArgs))
		return func() { *result.(*bool) = r }, nil
	case "Evidence":
		r := h.Evidence(args.(peer.EvidenceArgs))
		return func() { *result.(*peer.EvidenceReply) = r }, nil
	case "Status":
		r, ok := h.Status(args.(string))
		if !ok {
			return nil, peer.ErrJobNotHeld
		}
		return func() { *result.(*wire.Status) = r }, nil
	}
	return nil, fmt.Errorf("unknown method %s", method)
}

// start starts a new process of a controller.
func (k *cluster) start(label string) {
	k.t.Helper()
	cfg := &config.Settings{Label: label, Zone: k.zoneOf[label], Params: k.params}
	for _, l := range k.labels {
		if l != label {
			cfg.Peers = append(cfg.Peers, config.Peer{Label: l, Zone: k.zoneOf[l]})
		}
	}
	pol, err := policy.Load("")
	if err != nil {
		k.t.Fatal(err)
	}
	lifetime, cancel := context.WithCancel(context.Background())
	c := &Controller{cfg: cfg, policy: pol, log: k.logger(label), lifetime: lifetime, store: k.world.State.StoreClient(lifetime, label),
		cloud: k.world.CloudClient(lifetime, label), agents: k.world.WorkerClient(lifetime, label)}
	c.createComponents()
	for _, q := range cfg.Peers {
		c.peers[q.Label] = &peerLink{k, label, q.Label, lifetime}
	}
	c.store = c.dataLoss.Enable(&operations.Recovery{AuditInterval: testAudit}, c.store)
	if k.prepare != nil {
		k.prepare(label, c)
	}
	p := &process{c, lifetime, cancel}
	k.mu.Lock()
	k.processes[label] = p
	k.mu.Unlock()
	k.world.SetNode(label, p)
	c.start()
}

// logger writes to the recording of the schedule if there is one, else to standard error if
// CLUSTER_LOG names a level; otherwise it discards.
func (k *cluster) logger(label string) *slog.Logger {
	if k.recorder != nil {
		return k.recorder.log.With("at", label)
	}
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv("CLUSTER_LOG"))) != nil {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("at", label)
}

// process returns the running process of a controller, nil if there is none.
func (k *cluster) process(label string) *process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.processes[label]
}

// crash kills the process of a controller, if one runs, without a shutdown.
func (k *cluster) crash(label string) {
	p := k.process(label)
	if p == nil {
		return
	}
	p.cancel()
	k.world.SetNode(label, nil)
	k.mu.Lock()
	delete(k.processes, label)
	k.mu.Unlock()
}

// restart kills the process of a controller and starts a new one after d.
func (k *cluster) restart(label string, d time.Duration) {
	k.crash(label)
	time.Sleep(d)
	k.start(label)
}

// startMissing starts every controller that does not run.
func (k *cluster) startMissing() {
	for _, l := range k.labels {
		if k.process(l) == nil {
			k.start(l)
		}
	}
}
