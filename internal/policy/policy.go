// Package policy evaluates the operators' policy: small expressions for the choices that the
// protocols leave open, such as how long an unused machine is kept. They are checked when they are
// loaded, before anything starts. The rules of the protocols never depend on them.
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

// Team holds the values on which a team's share may depend.
type Team struct {
	Team string  `expr:"team"`
	CPUs float64 `expr:"cpus"` // guaranteed to the team, like GPUs
	GPUs float64 `expr:"gpus"`
}

// Arrivals holds the values on which a headroom may depend.
type Arrivals struct {
	Arriving float64 `expr:"arriving"` // arrival rate of work, in machines' worth per second
	BootS    float64 `expr:"boot_s"`   // how long a machine takes to boot
	Spot     bool    `expr:"spot"`     // for work that may use spot machines, counted in spot machines
}

// Machine holds the values on which the time for which an unused machine is kept may depend.
type Machine struct {
	Type  string  `expr:"type"`
	Spot  bool    `expr:"spot"`
	Price float64 `expr:"price"`  // per hour
	BootS float64 `expr:"boot_s"` // how long it takes to boot
}

// Job holds the values on which a job's urgency may depend.
type Job struct {
	Class       string  `expr:"class"`
	Team        string  `expr:"team"`
	Kind        string  `expr:"kind"` // array, gang or service
	Tasks       int     `expr:"tasks"`
	WaitedS     float64 `expr:"waited_s"`
	EstimateS   float64 `expr:"estimate_s"`
	HasDeadline bool    `expr:"has_deadline"`
	DeadlineS   float64 `expr:"deadline_s"` // since the job began to wait; 0 without a deadline
}

// Policy is a checked policy. It is safe for concurrent use.
type Policy struct {
	share, headroom, idle, urgency expression
}

// expression is the compiled expression of one setting, with the built-in one as a fallback for when
// the operators' own fails.
type expression struct{ own, builtin *vm.Program }

// file is the content of a policy file. A setting that is missing is nil.
type file struct {
	Share    *string `toml:"share"`
	Headroom *string `toml:"headroom"`
	IdleS    *string `toml:"idle_s"`
	Urgency  *string `toml:"urgency"`
}

// maxNodes bounds the size of an expression, and so its cost, since it has no loops.
const maxNodes = 200

// Load reads and checks the policy file at a path. If path is empty, it returns the built-in policy.
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

// Parse returns the policy with the text of a policy file; settings that it lacks are built in. An
// unknown setting and an expression that does not compile are errors.
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
		return nil, fmt.Errorf("policy: unknown setting %s", un[0])
	}
	p := &Policy{}
	for _, r := range []struct {
		name     string
		def, own *string
		env      any
		to       *expression
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

// compile compiles the expression of a setting. It may use the fields of env and must yield a number.
func compile(name, text string, env any) (*vm.Program, error) {
	prog, err := expr.Compile(text, expr.Env(env), expr.AsFloat64(), expr.MaxNodes(maxNodes), expr.DisableAllBuiltins(),
		expr.EnableBuiltin("min"), expr.EnableBuiltin("max"), expr.EnableBuiltin("abs"))
	if err != nil {
		return nil, fmt.Errorf("policy: %s: %w", name, err)
	}
	return prog, nil
}

// value evaluates the operators' expression. If it fails, or its result is not a number or not
// valid, value falls back on the built-in expression, and on 0 if that fails as well.
func (e expression) value(env any, valid func(float64) bool) float64 {
	for _, prog := range []*vm.Program{e.own, e.builtin} {
		out, err := expr.Run(prog, env)
		if v, isNumber := out.(float64); err == nil && isNumber && !math.IsNaN(v) && valid(v) {
			return v
		}
	}
	return 0
}

// finite, positive and notNegative report which results of an expression are valid.
func finite(v float64) bool      { return !math.IsInf(v, 0) }
func positive(v float64) bool    { return finite(v) && v > 0 }
func notNegative(v float64) bool { return finite(v) && v >= 0 }

// Share returns a team's fair share relative to those of the other teams. It is positive.
func (p *Policy) Share(t Team) float64 { return p.share.value(t, positive) }

// Headroom returns how many unused machines a shard should have. It is not negative.
func (p *Policy) Headroom(a Arrivals) float64 { return p.headroom.value(a, notNegative) }

// IdleS returns how long an unused machine is kept, in seconds. It is not negative.
func (p *Policy) IdleS(m Machine) float64 { return p.idle.value(m, notNegative) }

// Urgency returns the sort key of a job among its team's jobs of the same priority: smaller goes first.
func (p *Policy) Urgency(j Job) float64 { return p.urgency.value(j, finite) }
