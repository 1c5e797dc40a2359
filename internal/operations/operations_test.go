package operations

import (
	"os"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/config"
)

const minimal = `
[drains.budgets.default]
at_once = 1
in_window = 2
window_s = 60.0
`

// The shipped file, and the smallest one that turns drains on, are accepted.
func TestFiles(t *testing.T) {
	example, err := os.ReadFile("../../deploy/operations.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{string(example), minimal} {
		s, err := Parse(text)
		if err != nil || s.Drains == nil || s.Drains.Default.MaxConcurrent < 1 || s.Drains.MaxWait != 15*time.Minute {
			t.Errorf("err %v, settings %+v", err, s)
		}
	}
	for _, text := range []string{"", "# nothing\n"} {
		if s, err := Parse(text); err != nil || s.Drains != nil {
			t.Errorf("without a section: err %v, settings %+v", err, s)
		}
	}
}

// Unknown, invalid and contradictory fields are refused with an error of one line that names the field.
func TestBadFiles(t *testing.T) {
	team := minimal + "[drains.budgets.team.vision]\nat_once = 2\nin_window = 4\nwindow_s = 60.0\n"
	for _, x := range []struct{ field, text string }{
		{"nothing", minimal + "[nothing]\n"},
		{"drains", "[drains]\nwait_s = 3.0\n"},
		{"wait_s", strings.Replace(minimal, "[drains.", "[drains]\nwait_s = -1.0\n[drains.", 1)},
		{"wait_s", strings.Replace(minimal, "[drains.", "[drains]\nwait_s = \"long\"\n[drains.", 1)},
		{"zone_share", strings.Replace(minimal, "[drains.", "[drains]\nzone_share = 2.0\n[drains.", 1)},
		{"store_share", strings.Replace(minimal, "[drains.", "[drains]\nstore_share = 0.0\n[drains.", 1)},
		{"window_s", strings.Replace(minimal, "window_s = 60.0", "", 1)},
		{"often", minimal + "often = 3\n"},
		{"default.at_once", strings.Replace(minimal, "at_once = 1", "at_once = 3", 1)},
		{"default.at_once", strings.Replace(minimal, "at_once = 1", "at_once = -1", 1)},
		{"at_once", strings.Replace(minimal, "at_once = 1", "at_once = 1.5", 1)},
		{"class.train.at_once", team + "[drains.budgets.team.vision.class.train]\nat_once = 3\nin_window = 4\nwindow_s = 60.0\n"},
		{"class.train.in_window", team + "[drains.budgets.team.vision.class.train]\nat_once = 1\nin_window = 9\nwindow_s = 60.0\n"},
		{"drains.budgets.team", strings.Replace(team, "team.vision", `team."a b"`, 1)},
		{"file", "[drains"},
		{"restart.orders_per_s", "[restart]\norders_per_s = 0\n"},
		{"restart.orders_per_s", "[restart]\norders_per_s = -1.0\n"},
		{"restart.per_worker", "[restart]\nper_worker = 0\n"},
		{"restart.settle_within_s", "[restart]\nsettle_within_s = 600.0\n"},
		{"restart", "[restart]\nfast = true\n"},
	} {
		_, err := Parse(x.text)
		if err == nil || !strings.Contains(err.Error(), x.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: err %v, want one line naming the field", x.field, err)
		}
	}
	s, err := Parse(team)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Check(&config.Params{Teams: []config.Team{{Name: "other"}}}); err == nil || !strings.Contains(err.Error(), "vision") {
		t.Errorf("a budget of an unknown team: err %v, want one naming it", err)
	}
	tooShort, err := Parse("[restart]\nsettle_within_s = 5.0\n")
	if err != nil {
		t.Fatal(err)
	}
	if err := tooShort.Check(&config.Params{Workers: config.Workers{HeartbeatS: 3}}); err == nil || !strings.Contains(err.Error(), "restart.settle_within_s") {
		t.Errorf("settle_within_s of less than two heartbeats: err %v, want one naming it", err)
	}
}
