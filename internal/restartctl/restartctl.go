// Package restartctl is what an operator's tool does about restarts: it reads their records
// by the state service's published protocol.
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

// ErrUnknown says that there is no such restart on record.
var ErrUnknown = errors.New("unknown restart")

// Client reads the records of restarts.
type Client struct {
	Store statestore.Store
	Now   func() time.Time
}

// Episode is an episode with the controller that recorded it.
type Episode struct {
	Name    string  `json:"name"` // CONTROLLER/TIME
	Label   string  `json:"controller"`
	TookS   float64 `json:"took_s"`
	Invalid string  `json:"invalid,omitempty"` // why the controller's record makes no sense
	restart.Episode
}

// State is how far an episode is.
func (e *Episode) State() string {
	switch {
	case e.Invalid != "":
		return "invalid"
	case e.CompletedAt != 0:
		return "settled"
	}
	return "settling"
}

// List returns all episodes on record, the oldest first.
func (c *Client) List(ctx context.Context) ([]Episode, error) {
	entries, _, err := c.Store.List(ctx, statestore.Routine("restart"), restart.Prefix)
	if err != nil {
		return nil, fmt.Errorf("read the restarts: %w", err)
	}
	out := []Episode{}
	for _, entry := range entries {
		label := strings.TrimPrefix(entry.Key, restart.Prefix)
		var h restart.History
		if err := json.Unmarshal(entry.Value, &h); err != nil {
			out = append(out, Episode{Name: label, Label: label, Invalid: err.Error()})
			continue
		}
		for _, e := range h.Episodes {
			out = append(out, Episode{Name: e.ID(label), Label: label, TookS: e.Duration(c.Now()).Seconds(), Episode: e})
		}
	}
	slices.SortStableFunc(out, func(a, b Episode) int { return cmp.Compare(a.BeganAt, b.BeganAt) })
	return out, nil
}

// Show returns an episode by its name, or the latest of a controller.
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
