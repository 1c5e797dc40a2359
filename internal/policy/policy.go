// Package policy is the operators' own settings: small expressions, checked
// before anything starts, for what the protocols leave to choice. Rules never
// depend on them.
package policy

import (
	_ "embed"
	"fmt"
	"math"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

//go:embed default.toml
var defaults string

// Team is what a share may depend on.
type Team struct {
	Team string  `expr:"team"`
	CPUs float64 `expr:"cpus"` // guaranteed
	GPUs float64 `expr:"gpus"`
}

// Arrivals is what a headroom may depend on.
type Arrivals struct {
	Arriving float64 `expr:"arriving"` // machines' worth of work a second
	BootS    float64 `expr:"boot_s"`
	Spot     bool    `expr:"spot"` // of work that may use spot machines, in such machines
}

// Machine is what an idle time may depend on.
type Machine struct {
	Type  string  `expr:"type"`
	Spot  bool    `expr:"spot"`
	Price float64 `expr:"price"` // an hour
	BootS float64 `expr:"boot_s"`
}

// Job is what an urgency may depend on.
type Job struct {
	Class       string  `expr:"class"`
	Team        string  `expr:"team"`
	Kind        string  `expr:"kind"` // array, gang or service
	Tasks       int     `expr:"tasks"`
	WaitedS     float64 `expr:"waited_s"`
	EstimateS   float64 `expr:"estimate_s"`
	HasDeadline bool    `expr:"has_deadline"`
	DeadlineS   float64 `expr:"deadline_s"` // 0 without one
}

// Policy is a checked policy. It is safe for concurrent use.
type Policy struct {
	share, headroom, idle, urgency rule
}

// rule is one expression, with the built-in one for when it fails at work.
type rule struct{ own, builtin *vm.Program }

type file struct {
	Share    *string `toml:"share"`
	Headroom *string `toml:"headroom"`
	IdleS    *string `toml:"idle_s"`
	Urgency  *string `toml:"urgency"`
}

// maxNodes bounds an expression's size, and so its cost: it has no loops.
const maxNodes = 200

// Load reads and checks an operator's file. Without a path it is the built-in policy.
func Load(path string) (*Policy, error) {
	if path == "" {
		return Parse("")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read policy: %w", err)
	}
	return Parse(string(b))
}

// Parse checks a policy's text.
func Parse(text string) (*Policy, error) {
	var def, own file
	if _, err := toml.Decode(defaults, &def); err != nil {
		return nil, fmt.Errorf("built-in policy: %w", err)
	}
	md, err := toml.Decode(text, &own)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if un := md.Undecoded(); len(un) > 0 {
		return nil, fmt.Errorf("policy: %s is not a setting", un[0])
	}
	p := &Policy{}
	for _, r := range []struct {
		name     string
		def, own *string
		env      any
		to       *rule
	}{
		{"share", def.Share, own.Share, Team{}, &p.share},
		{"headroom", def.Headroom, own.Headroom, Arrivals{}, &p.headroom},
		{"idle_s", def.IdleS, own.IdleS, Machine{}, &p.idle},
		{"urgency", def.Urgency, own.Urgency, Job{}, &p.urgency},
	} {
		if r.to.builtin, err = compile(r.name, *r.def, r.env); err != nil {
			return nil, err
		}
		r.to.own = r.to.builtin
		if r.own != nil {
			if r.to.own, err = compile(r.name, *r.own, r.env); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

func compile(name, text string, env any) (*vm.Program, error) {
	prog, err := expr.Compile(text, expr.Env(env), expr.AsFloat64(), expr.MaxNodes(maxNodes), expr.DisableAllBuiltins(),
		expr.EnableBuiltin("min"), expr.EnableBuiltin("max"), expr.EnableBuiltin("abs"))
	if err != nil {
		return nil, fmt.Errorf("policy: %s: %w", name, err)
	}
	return prog, nil
}

// value runs a rule. What is no number, or negative where that makes no sense,
// is not taken: the built-in expression counts then.
func (r rule) value(env any, ok func(float64) bool) float64 {
	for _, prog := range []*vm.Program{r.own, r.builtin} {
		out, err := expr.Run(prog, env)
		if v, isNumber := out.(float64); err == nil && isNumber && !math.IsNaN(v) && ok(v) {
			return v
		}
	}
	return 0
}

func finite(v float64) bool      { return !math.IsInf(v, 0) }
func positive(v float64) bool    { return finite(v) && v > 0 }
func notNegative(v float64) bool { return finite(v) && v >= 0 }

// Share returns a team's share.
func (p *Policy) Share(t Team) float64 { return p.share.value(t, positive) }

// Headroom returns how many unused machines a shard should have.
func (p *Policy) Headroom(a Arrivals) float64 { return p.headroom.value(a, notNegative) }

// IdleS returns how long an unused machine is kept, in seconds.
func (p *Policy) IdleS(m Machine) float64 { return p.idle.value(m, notNegative) }

// Urgency returns a job's place in its team's queue.
func (p *Policy) Urgency(j Job) float64 { return p.urgency.value(j, finite) }
