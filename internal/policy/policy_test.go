package policy

import (
	"strings"
	"testing"
)

func TestBuiltInPolicy(t *testing.T) {
	p, err := Parse("")
	if err != nil {
		t.Fatal(err)
	}
	if got := p.Share(Team{Team: "a"}); got != 1 {
		t.Errorf("share %v, want 1", got)
	}
	if got := p.Headroom(Arrivals{Arriving: 0.1, BootS: 20}); got != 1 {
		t.Errorf("headroom %v, want 1", got)
	}
	if a, b := p.IdleS(Machine{Spot: true}), p.IdleS(Machine{}); a <= b {
		t.Errorf("spot machines are kept for %v s and others for %v s, want spot machines to be kept longer", a, b)
	}
	soon := p.Urgency(Job{HasDeadline: true, DeadlineS: 100, EstimateS: 50, WaitedS: 40})
	late := p.Urgency(Job{HasDeadline: true, DeadlineS: 300, EstimateS: 50, WaitedS: 40})
	if soon != 10 || late != 210 {
		t.Errorf("urgencies %v and %v, want 10 and 210", soon, late)
	}
}

func TestPolicyFileReplacesExpressions(t *testing.T) {
	p, err := Parse(`share = 'team == "a" ? 3 : 1'` + "\n" + `urgency = "1 / (waited_s - 5)"`)
	if err != nil {
		t.Fatal(err)
	}
	if a, b := p.Share(Team{Team: "a"}), p.Share(Team{Team: "b"}); a != 3 || b != 1 {
		t.Errorf("shares %v and %v, want 3 and 1", a, b)
	}
	// An invalid result falls back on the built-in expression.
	if got := p.Urgency(Job{WaitedS: 5, EstimateS: 60}); got != 55 {
		t.Errorf("urgency %v, want 55 as by the built-in expression", got)
	}
}

// The error for an invalid policy names the setting or the position in the expression.
func TestInvalidPoliciesAreRefused(t *testing.T) {
	for text, want := range map[string]string{
		`share = "tem"`:                       "unknown name tem (1:1)",
		`share = "team"`:                      "share",
		`share = "gpus +"`:                    "(1:",
		`shares = "1"`:                        "shares",
		`idle_s = "spot + 1"`:                 "(1:6)",
		`urgency = "len(filter(1..9, true))"`: "urgency",
		`urgency = "1` + strings.Repeat("+1", 300) + `"`: "nodes",
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40s: error %v, want one that contains %q", text, err, want)
		}
	}
}
