// Package agent is the client of the agents on worker machines. It sends direct commands, and requests
// heartbeats between the regular ones. Commands are usually sent in the responses to heartbeats; direct
// commands are those that cannot wait for the next heartbeat.
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

// commandTimeout limits the time of a request with direct commands.
const commandTimeout = 3 * time.Second

// heartbeatTimeout limits the time of a request for a heartbeat. A response usually takes milliseconds.
const heartbeatTimeout = 1500 * time.Millisecond

// maxHeartbeat limits the bytes of a response. The response is a heartbeat, and controllers accept
// heartbeats that workers send up to the same size.
const maxHeartbeat = httpwire.MaxBody

// API is the interface of the agents; addr is the address in a worker's heartbeat. An error that wraps
// httpwire.ErrNotSent means that the agent certainly received no request.
type API interface {
	// SendCommands sends direct commands to a worker and returns its heartbeat. ok reports whether
	// they were executed; if not, and err is nil, the worker refused them.
	SendCommands(ctx context.Context, addr string, o wire.DirectCommands) (r wire.Heartbeat, ok bool, err error)
	// RequestHeartbeat returns a worker's current heartbeat.
	RequestHeartbeat(ctx context.Context, addr string) (wire.Heartbeat, error)
}

// Client implements API over HTTP. It keeps no idle connections, because direct commands are rare and the
// number of sockets is limited. It is safe for concurrent use.
type Client struct{}

var _ API = Client{}

// SendCommands implements API.
func (Client) SendCommands(ctx context.Context, addr string, o wire.DirectCommands) (r wire.Heartbeat, ok bool, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return r, false, fmt.Errorf("encode commands: %w", err)
	}
	status, err := call(ctx, addr, commandTimeout, "POST", wire.CommandPath, body, &r)
	return r, status == http.StatusOK, err
}

// RequestHeartbeat implements API.
func (Client) RequestHeartbeat(ctx context.Context, addr string) (r wire.Heartbeat, err error) {
	_, err = call(ctx, addr, heartbeatTimeout, "GET", wire.ShowPath, nil, &r)
	return r, err
}

// call sends a request to the agent at addr, and decodes the heartbeat of a response with status 200 or
// 409 into r. A response with another status is an error.
func call(ctx context.Context, addr string, timeout time.Duration, method, path string, body []byte, r *wire.Heartbeat) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := httpwire.NewClient(addr, 0).WithMaxResponseBody(maxHeartbeat).Do(ctx, method, path, body)
	if err != nil {
		return 0, fmt.Errorf("worker %s: %w", addr, err)
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusConflict {
		return 0, fmt.Errorf("worker %s: status %d, want 200 or 409", addr, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, r); err != nil {
		return 0, fmt.Errorf("worker's response: %w", err)
	}
	return resp.Status, nil
}
