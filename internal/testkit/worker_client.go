package testkit

import (
	"context"
	"strings"
	"time"

	"bramblespur/internal/agent"
	"bramblespur/internal/wire"
)

// WorkerClient is the client of workers in one controller process. It implements agent.API.
type WorkerClient struct {
	w        *World
	from     string          // label of the controller
	lifetime context.Context // ends with the process
}

var _ agent.API = (*WorkerClient)(nil)

// WorkerClient returns a client for the process of the controller from that lives as long as ctx.
func (w *World) WorkerClient(ctx context.Context, from string) *WorkerClient {
	return &WorkerClient{w, from, ctx}
}

// machineAt returns the machine with an address of the scripted network, nil if there is none.
func (w *World) machineAt(addr string) *Agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[strings.TrimPrefix(addr, "addr-")]
}

// SendCommands implements agent.API.
func (d *WorkerClient) SendCommands(_ context.Context, addr string, o wire.DirectCommands) (wire.Heartbeat, bool, error) {
	a := d.w.machineAt(addr)
	if a == nil || d.lifetime.Err() != nil {
		return wire.Heartbeat{}, false, ErrLost
	}
	type answer struct {
		r  wire.Heartbeat
		ok bool
	}
	got, err := Call(d.w.Net, d.from, a.ID, directTimeout, func() (answer, error) {
		r, ok, err := a.executeDirect(o)
		return answer{r, ok}, err
	})
	if err == nil {
		d.w.repeatCommands(a, o)
	}
	if d.lifetime.Err() != nil {
		return wire.Heartbeat{}, false, ErrLost
	}
	return got.r, got.ok, err
}

// RepeatCommands lets a copy of each direct command that is answered from now on reach its worker again
// after each of the delays; with no delays it ends that. Copies that are on their way still arrive.
func (w *World) RepeatCommands(delays ...time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copyDelays = delays
}

// CopiedCommands returns how many copies of direct commands have reached their workers.
func (w *World) CopiedCommands() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.copiedCommands
}

// repeatCommands lets the copies of a direct command that was answered reach its worker.
func (w *World) repeatCommands(a *Agent, o wire.DirectCommands) {
	w.mu.Lock()
	delays := w.copyDelays
	w.mu.Unlock()
	for _, delay := range delays {
		w.Go(func() {
			if !w.Sleep(delay) {
				return
			}
			_, _, _ = a.executeDirect(o) // nobody gets the answer
			w.mu.Lock()
			defer w.mu.Unlock()
			w.copiedCommands++
		})
	}
}

// RequestHeartbeat implements agent.API.
func (d *WorkerClient) RequestHeartbeat(_ context.Context, addr string) (wire.Heartbeat, error) {
	a := d.w.machineAt(addr)
	if a == nil || d.lifetime.Err() != nil {
		return wire.Heartbeat{}, ErrLost
	}
	r, err := Call(d.w.Net, d.from, a.ID, heartbeatRequestTimeout, a.heartbeat)
	if d.lifetime.Err() != nil {
		return wire.Heartbeat{}, ErrLost
	}
	return r, err
}
