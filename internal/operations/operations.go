// Package operations reads and checks the operations file, in which operators turn on optional
// subsystems: drains, limits on commands after a restart, and recovery from data loss. Each section of
// the file turns on one of them; a subsystem without a section is off.
package operations

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"bramblespur/internal/config"
	"bramblespur/internal/drain"
	"bramblespur/internal/ratelimit"
)

// Settings holds the settings of the subsystems, nil for one that is off.
type Settings struct {
	Drains  *drain.Settings
	Restart *Restart
	// Recovery is for a state service that may lose data.
	Recovery *Recovery
}

// Recovery holds the settings for the audits that detect data loss in the state service.
type Recovery struct {
	// AuditInterval is the time between audits, in which the leader compares its views with all
	// records.
	AuditInterval time.Duration
}

// Intervals between audits of the records.
const (
	defaultAuditInterval = time.Minute
	// minAuditInterval limits the cost of audits: each reads all records of machines and of
	// unfinished jobs.
	minAuditInterval = 10 * time.Second
)

// Restart holds the rate limit on commands to workers after a controller restarts.
type Restart struct{ ratelimit.Settings }

//go:embed schema.json
var schemaText []byte

const schemaName = "operations.schema.json"

// file is the layout of the operations file, which the schema describes.
type file struct {
	Drains   *drains   `toml:"drains"`
	Restart  *restart  `toml:"restart"`
	Recovery *recovery `toml:"recovery"`
}

type recovery struct {
	AuditS float64 `toml:"audit_s"`
}

func (r *recovery) settings() (*Recovery, error) {
	out := &Recovery{AuditInterval: config.Seconds(r.AuditS)}
	if r.AuditS == 0 {
		out.AuditInterval = defaultAuditInterval
	}
	if out.AuditInterval < minAuditInterval {
		return nil, fmt.Errorf("audit_s: %v is less than %v", out.AuditInterval, minAuditInterval)
	}
	return out, nil
}

type restart struct {
	OrdersPerS    float64 `toml:"orders_per_s"`
	PerWorker     int     `toml:"per_worker"`
	SettleWithinS float64 `toml:"settle_within_s"`
}

type drains struct {
	StoreShare float64 `toml:"store_share"`
	ZoneShare  float64 `toml:"zone_share"`
	WaitS      float64 `toml:"wait_s"`
	Budgets    budgets `toml:"budgets"`
}

type budgets struct {
	Default budget            `toml:"default"`
	Team    map[string]budget `toml:"team"`
}

type budget struct {
	AtOnce   int               `toml:"at_once"`
	InWindow int               `toml:"in_window"`
	WindowS  float64           `toml:"window_s"`
	Class    map[string]budget `toml:"class"`
}

// Load reads and checks the operations file at path. If path is empty, every subsystem is off.
func Load(path string) (*Settings, error) {
	if path == "" {
		return &Settings{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read operations file: %w", err)
	}
	return Parse(string(data))
}

// Parse decodes and checks the text of an operations file. The error names the field that is wrong.
func Parse(text string) (*Settings, error) {
	var raw map[string]any
	if _, err := toml.Decode(text, &raw); err != nil {
		return nil, fmt.Errorf("operations file: %w", err)
	}
	if err := validate(raw); err != nil {
		return nil, fmt.Errorf("operations file: %w", err)
	}
	var f file
	if _, err := toml.Decode(text, &f); err != nil {
		return nil, fmt.Errorf("operations file: %w", err)
	}
	s := &Settings{}
	if f.Drains != nil {
		s.Drains = f.Drains.settings()
		if err := s.Drains.Check(); err != nil {
			return nil, fmt.Errorf("operations file: drains.%w", err)
		}
	}
	if f.Recovery != nil {
		var err error
		if s.Recovery, err = f.Recovery.settings(); err != nil {
			return nil, fmt.Errorf("operations file: recovery.%w", err)
		}
	}
	if r := f.Restart; r != nil {
		s.Restart = &Restart{ratelimit.Settings{CommandsPerSecond: r.OrdersPerS, CommandsPerWorker: r.PerWorker, LimitFor: config.Seconds(r.SettleWithinS)}}
	}
	return s, nil
}

// Defaults returns the settings for tools that run without an operations file: the default limits of
// drains, and no budgets.
func Defaults() *Settings { return &Settings{Drains: (&drains{}).settings()} }

// Check returns an error that names the field if the settings contradict the platform's settings.
func (s *Settings) Check(p *config.Params) error {
	if err := s.checkTeams(p); err != nil {
		return fmt.Errorf("operations file: %w", err)
	}
	if err := s.checkRestart(p); err != nil {
		return fmt.Errorf("operations file: %w", err)
	}
	return nil
}

// checkTeams returns an error if there is a budget for an unknown team.
func (s *Settings) checkTeams(p *config.Params) error {
	if s.Drains == nil || len(p.Teams) == 0 {
		return nil
	}
	known := map[string]bool{}
	for _, t := range p.Teams {
		known[t.Name] = true
	}
	for _, team := range slices.Sorted(maps.Keys(s.Drains.Teams)) {
		if !known[team] {
			return fmt.Errorf("drains.budgets.team.%s: unknown team, want one of params.teams", team)
		}
	}
	return nil
}

// minHeartbeatsWhileLimited is the least number of heartbeats of a worker during which commands are
// limited: commands are sent in the responses to heartbeats.
const minHeartbeatsWhileLimited = 2

// checkRestart returns an error if the limit on commands ends before commands can reach all workers.
func (s *Settings) checkRestart(p *config.Params) error {
	if s.Restart == nil || s.Restart.LimitFor == 0 {
		return nil
	}
	if least := minHeartbeatsWhileLimited * config.Seconds(p.Workers.HeartbeatS); s.Restart.LimitFor < least {
		return fmt.Errorf("restart.settle_within_s: %v is less than the time of %d heartbeats of a worker, %v",
			s.Restart.LimitFor, minHeartbeatsWhileLimited, least)
	}
	return nil
}

// validate checks a decoded file against the schema.
func validate(raw map[string]any) error {
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, schema); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	compiled, err := c.Compile(schemaName)
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	err = compiled.Validate(raw)
	var found *jsonschema.ValidationError
	if errors.As(err, &found) {
		return fieldError(found)
	}
	return err
}

// fieldError returns the innermost cause of a violation in one line, with its field. For an invalid
// name, the field is the one that encloses it.
func fieldError(e *jsonschema.ValidationError) error {
	field, nameInvalid := "file", false
	for {
		if _, ok := e.ErrorKind.(*kind.PropertyNames); ok {
			// The validator overwrites the location of an error about a name while it validates the rest.
			field, nameInvalid = fieldOfInvalidName(e.SchemaURL), true
		}
		if len(e.InstanceLocation) > 0 && !nameInvalid {
			field = strings.Join(e.InstanceLocation, ".")
		}
		if len(e.Causes) == 0 {
			break
		}
		e = e.Causes[0]
	}
	return fmt.Errorf("%s: %s", field, e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
}

// fieldOfInvalidName returns the field that encloses an invalid name, from the place in the schema that
// the name violates.
func fieldOfInvalidName(schemaURL string) string {
	_, pointer, _ := strings.Cut(schemaURL, "#/")
	keywords := []string{"$defs", "properties", "propertyNames"}
	fields := slices.DeleteFunc(strings.Split(pointer, "/"), func(s string) bool { return slices.Contains(keywords, s) })
	return strings.Join(fields, ".")
}

func (d *drains) settings() *drain.Settings {
	s := &drain.Settings{StoreShare: d.StoreShare, ZoneShare: d.ZoneShare, MaxWait: config.Seconds(d.WaitS),
		Default: d.Budgets.Default.budget(), Teams: map[string]drain.Budget{}}
	if s.StoreShare == 0 {
		s.StoreShare = drain.DefaultStoreShare
	}
	if s.ZoneShare == 0 {
		s.ZoneShare = drain.DefaultZoneShare
	}
	if s.MaxWait == 0 {
		s.MaxWait = drain.DefaultMaxWait
	}
	for team, b := range d.Budgets.Team {
		s.Teams[team] = b.budget()
	}
	return s
}

func (b budget) limit() drain.Limit {
	return drain.Limit{MaxConcurrent: b.AtOnce, MaxInWindow: b.InWindow, Window: config.Seconds(b.WindowS)}
}

func (b budget) budget() drain.Budget {
	out := drain.Budget{Limit: b.limit()}
	for class, c := range b.Class {
		if out.Classes == nil {
			out.Classes = map[string]drain.Limit{}
		}
		out.Classes[class] = c.limit()
	}
	return out
}
