// Package agent is the client for direct commands to workers.
package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// commandTimeout bounds one command.
const commandTimeout = 3 * time.Second

// heartbeatTimeout bounds the asking for a report: an answer takes milliseconds.
const heartbeatTimeout = 1500 * time.Millisecond

// maxHeartbeat bounds a worker's answer: it is a report, which a controller takes no
// larger when it comes by itself.
const maxHeartbeat = httpwire.MaxBody

// API is what controllers ask of workers directly.
type API interface {
	// Command sends orders straight to a worker and returns its report, given both
	// when they were carried out (ok) and when they were refused.
	Command(ctx context.Context, addr string, o wire.DirectOrders) (r wire.Heartbeat, ok bool, err error)
	// Show asks a worker for its report.
	Show(ctx context.Context, addr string) (wire.Heartbeat, error)
}

// Client is an API over HTTP. Connections are not kept: direct commands are rare
// and sockets few.
type Client struct{}

var _ API = Client{}

// Command implements API.
func (Client) Command(ctx context.Context, addr string, o wire.DirectOrders) (r wire.Heartbeat, ok bool, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return r, false, fmt.Errorf("encode: %w", err)
	}
	status, err := call(ctx, addr, commandTimeout, "POST", wire.CommandPath, body, &r)
	return r, status == 200, err
}

// Show implements API.
func (Client) Show(ctx context.Context, addr string) (r wire.Heartbeat, err error) {
	_, err = call(ctx, addr, heartbeatTimeout, "GET", wire.ShowPath, nil, &r)
	return r, err
}

func call(ctx context.Context, addr string, timeout time.Duration, method, path string, body []byte, r *wire.Heartbeat) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := httpwire.NewClient(addr, 0).WithMaxBody(maxHeartbeat).Do(ctx, method, path, body)
	if err != nil {
		return 0, fmt.Errorf("worker %s: %w", addr, err)
	}
	if resp.Status != 200 && resp.Status != 409 {
		return 0, fmt.Errorf("worker %s: status %d", addr, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, r); err != nil {
		return 0, fmt.Errorf("worker's answer: %w", err)
	}
	return resp.Status, nil
}
