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

// callTimeout bounds one command.
const callTimeout = 3 * time.Second

// Command sends orders straight to a worker and returns its report, given both
// when they were carried out (ok) and when they were refused. Connections are
// not kept: direct commands are rare and sockets few.
func Command(ctx context.Context, addr string, o wire.DirectOrders) (r wire.Report, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return r, false, fmt.Errorf("encode: %w", err)
	}
	c := httpwire.NewClient(addr, 0)
	resp, err := c.Do(ctx, "POST", wire.CommandPath, body)
	if err != nil {
		return r, false, fmt.Errorf("worker %s: %w", addr, err)
	}
	if resp.Status != 200 && resp.Status != 409 {
		return r, false, fmt.Errorf("worker %s: status %d", addr, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, &r); err != nil {
		return r, false, fmt.Errorf("worker's answer: %w", err)
	}
	return r, resp.Status == 200, nil
}
