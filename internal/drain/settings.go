package drain

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Settings are the operators' settings for drains.
type Settings struct {
	// StoreShare is the fraction of the state service's rate limits that drains may use.
	StoreShare float64
	// ZoneShare is the fraction of a zone's machines that take work which all drains together may
	// have cordoned at a time. If it allows less than one machine, one may be cordoned as long as
	// another takes work.
	ZoneShare float64
	// MaxWait is how long a drain waits for the work of a cordoned machine to end by itself.
	MaxWait time.Duration
	Default Budget            // of the teams that are not in Teams
	Teams   map[string]Budget // by name
}

// Defaults of the settings that the operators' file may omit.
const (
	DefaultStoreShare = 0.05
	DefaultZoneShare  = 0.34
	DefaultMaxWait    = 15 * time.Minute
)

// Budget returns a team's disruption budget.
func (s *Settings) Budget(team string) Budget {
	if b, ok := s.Teams[team]; ok {
		return b
	}
	return s.Default
}

// Check returns an error that names the field if limits contradict each other.
func (s *Settings) Check() error {
	if err := s.Default.check("default"); err != nil {
		return err
	}
	for _, team := range slices.Sorted(maps.Keys(s.Teams)) {
		b := s.Teams[team]
		if err := b.check(fmt.Sprintf("team.%s", team)); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if the limits of a budget contradict each other. field is the budget's name in
// the operators' file below budgets.
func (b *Budget) check(field string) error {
	if b.MaxConcurrent > b.MaxInWindow {
		return fmt.Errorf("budgets.%s.at_once: %d at once, but only %d in a window", field, b.MaxConcurrent, b.MaxInWindow)
	}
	for _, class := range slices.Sorted(maps.Keys(b.Classes)) {
		c := b.Classes[class]
		at := fmt.Sprintf("budgets.%s.class.%s", field, class)
		if c.MaxConcurrent > c.MaxInWindow {
			return fmt.Errorf("%s.at_once: %d at once, but only %d in a window", at, c.MaxConcurrent, c.MaxInWindow)
		}
		if c.MaxConcurrent > b.MaxConcurrent {
			return fmt.Errorf("%s.at_once: %d is more than the team's %d", at, c.MaxConcurrent, b.MaxConcurrent)
		}
		if c.Window <= b.Window && c.MaxInWindow > b.MaxInWindow {
			return fmt.Errorf("%s.in_window: %d is more than the team's %d", at, c.MaxInWindow, b.MaxInWindow)
		}
	}
	return nil
}

// Fingerprint returns a hash of the budgets, by which controllers compare them.
func (s *Settings) Fingerprint() string {
	h := fnv.New64a()
	// Maps are written in the order of their keys.
	if err := json.NewEncoder(h).Encode(struct {
		Default Budget
		Teams   map[string]Budget
	}{s.Default, s.Teams}); err != nil {
		panic("drain: " + err.Error()) // numbers and strings always encode
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// WithClockError returns a copy of the settings with windows so much longer that the budgets hold by
// every controller's clock if no clock is off by more than maxError.
func (s *Settings) WithClockError(maxError time.Duration) *Settings {
	out := *s
	out.Default = s.Default.widenedBy(2 * maxError)
	out.Teams = map[string]Budget{}
	for team, b := range s.Teams {
		out.Teams[team] = b.widenedBy(2 * maxError)
	}
	return &out
}

// widenedBy returns a copy of a budget whose windows are longer.
func (b Budget) widenedBy(by time.Duration) Budget {
	b.Window += by
	classes := maps.Clone(b.Classes)
	for name, c := range classes {
		c.Window += by
		classes[name] = c
	}
	b.Classes = classes
	return b
}

// LongestWindow returns the longest window of any budget.
func (s *Settings) LongestWindow() time.Duration {
	longest := s.Default.longestWindow()
	for _, b := range s.Teams {
		longest = max(longest, b.longestWindow())
	}
	return longest
}

// longestWindow returns the longest window of a budget and its classes.
func (b Budget) longestWindow() time.Duration {
	longest := b.Window
	for _, c := range b.Classes {
		longest = max(longest, c.Window)
	}
	return longest
}
