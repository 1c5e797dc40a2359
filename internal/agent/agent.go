// Package agent is the client of the agents on workers: it sends them direct commands, and asks for
// heartbeats out of turn. Commands usually go out with the responses to heartbeats; direct ones are
// for those that can't wait.
package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// commandTimeout bounds a request with direct commands.
const commandTimeout = 3 * time.Second

// heartbeatTimeout bounds a request for a heartbeat: a response takes milliseconds.
const heartbeatTimeout = 1500 * time.Millisecond

// maxHeartbeat bounds a response: it is a heartbeat, which controllers accept up to the same size
// when the worker sends it itself.
const maxHeartbeat = httpwire.MaxBody

// API is what controllers ask of workers directly.
type API interface {
	// SendCommands sends direct commands to a worker and returns its heartbeat, both when they were
	// carried out (ok) and when they were refused.
	SendCommands(ctx context.Context, addr string, o wire.DirectCommands) (r wire.Heartbeat, ok bool, err error)
	// RequestHeartbeat asks a worker for its heartbeat.
	RequestHeartbeat(ctx context.Context, addr string) (wire.Heartbeat, error)
}

// Client is an API over HTTP. It keeps no connections: direct commands are rare, and the number of
// sockets is limited. It is safe for concurrent use.
type Client struct{}

var _ API = Client{}

// SendCommands implements API.
func (Client) SendCommands(ctx context.Context, addr string, o wire.DirectCommands) (r wire.Heartbeat, ok bool, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return r, false, fmt.Errorf("encode: %w", err)
	}
	status, err := call(ctx, addr, commandTimeout, "POST", wire.CommandPath, body, &r)
	return r, status == http.StatusOK, err
}

// RequestHeartbeat implements API.
func (Client) RequestHeartbeat(ctx context.Context, addr string) (r wire.Heartbeat, err error) {
	_, err = call(ctx, addr, heartbeatTimeout, "GET", wire.ShowPath, nil, &r)
	return r, err
}

func call(ctx context.Context, addr string, timeout time.Duration, method, path string, body []byte, r *wire.Heartbeat) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := httpwire.NewClient(addr, 0).WithMaxResponseBody(maxHeartbeat).Do(ctx, method, path, body)
	if err != nil {
		return 0, fmt.Errorf("worker %s: %w", addr, err)
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusConflict {
		return 0, fmt.Errorf("worker %s: status %d", addr, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, r); err != nil {
		return 0, fmt.Errorf("worker's answer: %w", err)
	}
	return resp.Status, nil
}
