package contract

import (
	"reflect"
	"strconv"
	"strings"
	"testing"

	"bramblespur/internal/config"
	"bramblespur/internal/drain"
	"bramblespur/internal/operations"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/restart"
	"bramblespur/internal/wire"
)

// Keys and prefixes of records keep their text.
func TestKeys(t *testing.T) {
	for want, got := range map[string]string{
		"ctl/": record.ClusterPrefix, "ctl/leader": record.LeaderKey, "ctl/types": record.MachineTypesKey,
		"ctl/members/": record.MemberPrefix, "ctl/parts/": record.ShardPrefix, "ctl/formats/": record.FormatPrefix,
		"ctl/cluster": record.ClusterKey, "fleet/": record.FleetPrefix, "fleet/rent/": record.ProvisionPrefix,
		"fleet/own/": record.OverridePrefix, "fleet/back/": record.ReleasePrefix, "open/": record.ActiveJobPrefix,
		"jobs/": record.FinishedJobPrefix, "pipes/": record.PipelinePrefix, "runs/": record.PlacementsPrefix,
		"ctl/drain/": drain.Prefix, "ctl/drain/plan/": drain.PlanPrefix, "ctl/drain/ledger/": drain.LedgerPrefix,
		"ctl/drain/aware/": drain.ParticipantPrefix, "ctl/drain/course/": drain.ProgressPrefix, "ctl/drain/cordons": drain.CordonsKey,
		"ctl/restart/": restart.Prefix, "ctl/recovery/": recovery.Prefix, "ctl/recovery/safe-mode": recovery.SafeModeKey,
		"ctl/recovery/apply": recovery.ApplyKey, "ctl/recovery/decisions": recovery.DecisionsKey,

		"ctl/parts/3": record.ShardKey(3), "ctl/formats/c-0": record.FormatKey("c-0"), "fleet/rent/r": record.ProvisionKey("r"),
		"fleet/own/m": record.OverrideKey("m"), "fleet/back/3-41-7": record.ReleaseKey(3, 41, 7),
		"open/run-1": record.ActiveJobKey("run-1"), "jobs/run-1": record.FinishedJobKey("run-1"),
		"pipes/pipe-1": record.PipelineKey("pipe-1"), "runs/3/": record.ShardPlacementsPrefix(3),
		"runs/3/7": record.PlacementsKey(3, 7), "run-1:7": record.RangeName("run-1", 7),
		"ctl/drain/plan/p": drain.PlanKey("p"), "ctl/drain/ledger/a%20b%2Fc": drain.LedgerKey("a b/c"),
		"ctl/drain/aware/c-0": drain.ParticipantKey("c-0"), "ctl/drain/course/p/3": drain.ProgressKey("p", 3),
		"ctl/restart/c-0": restart.Key("c-0"), "ctl/recovery/lost/run-1": recovery.LostKey("run-1"),
		"ctl/recovery/raise": recovery.RaiseRevisionTxn(1).Then[0].Put,
	} {
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
	if got := strings.Join(record.Prefixes(), " "); got != "ctl/ fleet/ jobs/ open/ pipes/ runs/" {
		t.Errorf("prefixes: %s, want ctl/ fleet/ jobs/ open/ pipes/ runs/", got)
	}
}

// A job or a team belongs to the same shard in every version.
func TestShardsOfNames(t *testing.T) {
	teams := []string{"a", "b", "c"}
	for team, want := range map[string]int{"a": 0, "b": 1, "c": 0} {
		if got := record.ShardForJob(teams, team, "run-000001", 2); got != want {
			t.Errorf("team %s: shard %d, want %d", team, got, want)
		}
	}
	for ref, want := range map[string]int{"run-000001": 5, "run-000002": 0, "pipe-000001": 3} {
		if got := record.ShardForJob(nil, "", ref, 7); got != want {
			t.Errorf("%s: shard %d, want %d", ref, got, want)
		}
	}
}

// The words of the published protocols stay.
func TestWordsOfProtocols(t *testing.T) {
	for want, got := range map[string]string{
		"batch": wire.Array, "ensemble": wire.Gang, "standing": wire.Service,
		"pending": wire.Pending, "running": wire.Running, "done": wire.Done, "aborted": wire.Cancelled,
		"fetching": wire.Fetching, "gathering": wire.AwaitingGang, "saving": wire.Checkpointing, "exited": wire.Exited,
		"halted": wire.ExitStopped, "mates_gone": wire.ExitGangPeersLost, "incomplete": wire.ExitGangIncomplete, "error": wire.ExitError,
		"no_room": wire.ExitNoRoom, "in_use": wire.ExitInUse, "no_such": wire.ExitUnknownTask,
		"run": wire.Start, "halt": wire.Stop, "forget": wire.Forget,
		"/work": wire.JobsPath, "withdraw": wire.CancelAction, "/ready": wire.ReadyPath, "/agent/beat": wire.HeartbeatPath,
		"/commands": wire.CommandPath, "/show": wire.ShowPath, "/pipelines": wire.PipelinesPath,
	} {
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

// The fields of the settings file keep their names and kinds.
func TestSettingsFields(t *testing.T) {
	golden(t, "settings.golden", shape(reflect.TypeFor[config.Settings](), "", tagged("toml")))
}

const fullOperations = `
[recovery]
audit_s = 20.0
[restart]
orders_per_s = 1.0
per_worker = 2
settle_within_s = 3.0
[drains]
store_share = 0.4
zone_share = 0.5
wait_s = 6.0
[drains.budgets.default]
at_once = 7
in_window = 8
window_s = 9.0
[drains.budgets.default.class.x]
at_once = 3
in_window = 4
window_s = 12.0
[drains.budgets.team.a]
at_once = 13
in_window = 14
window_s = 15.0
[drains.budgets.team.a.class.x]
at_once = 5
in_window = 6
window_s = 18.0
`

// Every field of the operators' file is accepted and has an effect; an unknown field is rejected.
func TestOperationsFields(t *testing.T) {
	full, err := operations.Parse(fullOperations)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(fullOperations, "\n") {
		name, number, isField := strings.Cut(line, " = ")
		if !isField {
			continue
		}
		changed := "5" + number
		if n, err := strconv.Atoi(number); err == nil {
			changed = strconv.Itoa(n - 1) // the budget of a class must not exceed that of its team
		} else if strings.HasPrefix(number, "0.") {
			changed = "0.3"
		}
		lines := strings.Split(fullOperations, "\n")
		lines[i] = name + " = " + changed
		other, err := operations.Parse(strings.Join(lines, "\n"))
		if err != nil {
			t.Errorf("%s = %s: %v", name, changed, err)
		} else if reflect.DeepEqual(other, full) {
			t.Errorf("%s on line %d has no effect", name, i+1)
		}
		lines[i] = "un" + line
		if _, err := operations.Parse(strings.Join(lines, "\n")); err == nil {
			t.Errorf("unknown field un%s is accepted", name)
		}
	}
}

// Every setting of a policy file is accepted, with every variable that it may use; an unknown setting
// is rejected.
func TestPolicyFields(t *testing.T) {
	for _, text := range []string{
		`share = 'team == "a" ? cpus : gpus'`,
		`headroom = "spot ? arriving : boot_s"`,
		`idle_s = 'type == "a" || spot ? price : boot_s'`,
		`urgency = 'class == "a" || team == "b" || kind == "array" || has_deadline ? tasks + waited_s : estimate_s + deadline_s'`,
	} {
		if _, err := policy.Parse(text); err != nil {
			t.Errorf("%s: %v", text, err)
		}
		if _, err := policy.Parse("un" + text); err == nil {
			t.Errorf("unknown setting un%s is accepted", text)
		}
	}
}
