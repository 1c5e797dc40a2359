// Package restartctl does the I/O of the operators' tool for restarts: it reads the records of
// reconciliations after a controller's start or a failover. It uses the state service alone and calls no
// controller.
package restartctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bramblespur/internal/restart"
	"bramblespur/internal/statestore"
)

// ErrUnknown is wrapped by the error for a restart of which there is no record.
var ErrUnknown = errors.New("unknown restart")

// Client reads the records of restarts.
type Client struct {
	Store statestore.Store
	Now   func() time.Time
}

// Episode is an episode with the controller that recorded it. For a malformed record of a controller only
// Name, Label and Invalid are set, and Name is the label.
type Episode struct {
	Name    string  `json:"name"`              // CONTROLLER/TIME, with the time in Unix milliseconds
	Label   string  `json:"controller"`        // of the controller
	TookS   float64 `json:"took_s"`            // seconds until reconciliation was complete, or until now
	Invalid string  `json:"invalid,omitempty"` // why the controller's record is malformed
	restart.Episode
}

// State returns the state of the episode for operators: "invalid", "settled" once reconciliation is
// complete, or "settling".
func (e *Episode) State() string {
	switch {
	case e.Invalid != "":
		return "invalid"
	case e.CompletedAt != 0:
		return "settled"
	}
	return "settling"
}

// List returns all recorded episodes of all controllers, the oldest first. Controllers with malformed
// records come before them.
func (c *Client) List(ctx context.Context) ([]Episode, error) {
	entries, _, err := c.Store.List(ctx, statestore.Routine("restart"), restart.Prefix)
	if err != nil {
		return nil, fmt.Errorf("read the restarts: %w", err)
	}
	out := []Episode{}
	for _, entry := range entries {
		label := strings.TrimPrefix(entry.Key, restart.Prefix)
		var history restart.History
		if err := json.Unmarshal(entry.Value, &history); err != nil {
			out = append(out, Episode{Name: label, Label: label, Invalid: err.Error()})
			continue
		}
		for _, e := range history.Episodes {
			out = append(out, Episode{Name: e.ID(label), Label: label, TookS: e.Duration(c.Now()).Seconds(), Episode: e})
		}
	}
	slices.SortStableFunc(out, func(a, b Episode) int { return cmp.Compare(a.BeganAt, b.BeganAt) })
	return out, nil
}

// Show returns the episode with a name, or the latest episode of the controller with that label. It
// returns an error that wraps ErrUnknown if there is none.
func (c *Client) Show(ctx context.Context, name string) (*Episode, error) {
	all, err := c.List(ctx)
	if err != nil {
		return nil, err
	}
	var found *Episode
	for i, e := range all {
		if e.Invalid == "" && (e.Name == name || e.Label == name) {
			found = &all[i]
		}
	}
	if found == nil {
		return nil, fmt.Errorf("%w %s", ErrUnknown, name)
	}
	return found, nil
}
