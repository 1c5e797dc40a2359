package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// drainBudget is the eviction budget of every team in the drain tests.
var drainBudget = drain.Limit{MaxConcurrent: 1, MaxInWindow: 3, Window: 2 * time.Minute}

// drainSettings returns settings whose only budget is limit, for all teams.
func drainSettings(limit drain.Limit) *drain.Settings {
	return &drain.Settings{StoreShare: 1, ZoneShare: 0.5, MaxWait: 30 * time.Second, Default: drain.Budget{Limit: limit}}
}

// drainCluster is a cluster whose interruptions of work are counted against a budget.
type drainCluster struct {
	*cluster
	settings      *drain.Settings // of the controllers that start from now on
	withoutDrains map[string]bool // controllers that do not take part in drains
	interruptions *testkit.Interruptions
}

// drainLayout is a layout with a budget and with drain settings of its controllers.
type drainLayout struct {
	layout
	limit         drain.Limit // budget by which interruptions are counted
	withoutDrains string      // label of a controller that does not take part in drains, or ""
	// settings are the controllers' settings if their budget differs from limit, else nil.
	settings *drain.Settings
}

// runDrainScript runs a script on a cluster that takes part in drains. The test fails if the
// checker found a violation or a team was interrupted beyond its budget.
func runDrainScript(t *testing.T, l drainLayout, script func(k *drainCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := &drainCluster{cluster: newCluster(t, l.layout), settings: drainSettings(l.limit), withoutDrains: map[string]bool{l.withoutDrains: true}}
		defer k.stop()
		if l.settings != nil {
			k.settings = l.settings
		}
		k.prepare = func(label string, c *Controller) {
			if !k.withoutDrains[label] {
				c.drainer.Enable(k.settings, &k.params)
			}
		}
		k.interruptions = k.world.CountInterruptions(l.limit.MaxConcurrent, l.limit.MaxInWindow, l.limit.Window)
		for _, label := range k.labels {
			k.start(label)
		}
		k.await(30*time.Second, "a leader and an owner of every shard", func() bool { return k.leader() != "" && k.allShardsOwned() })
		script(k)
		k.settle()
		for _, violation := range k.interruptions.Violations() {
			t.Error("over budget: " + violation)
			break
		}
	})
}

// loadEvenly submits jobs of every kind with one priority, so that none is preempted.
func (k *drainCluster) loadEvenly() {
	k.t.Helper()
	k.loadWith(func(spec *wire.Spec) { spec.Priority = "normal" })
}

// runDrain runs a script on both layouts with drainBudget.
func runDrain(t *testing.T, script func(k *drainCluster)) {
	t.Helper()
	runDrainWith(t, drainLayout{limit: drainBudget}, script)
}

// runDrainWith runs a script on both layouts with the budget and settings of with.
func runDrainWith(t *testing.T, with drainLayout, script func(k *drainCluster)) {
	t.Helper()
	for name, l := range layouts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own := with
			own.layout = l(1)
			runDrainScript(t, own, script)
		})
	}
}

// requestDrain requests a drain as an operator does. change alters the plan.
func (k *drainCluster) requestDrain(name string, change func(*drain.Plan)) {
	k.t.Helper()
	p := drain.Plan{Name: name, MaxConcurrent: 2, Reason: "test", State: drain.Active, Created: time.Now().UnixMilli()}
	change(&p)
	if err := p.Check(); err != nil {
		k.t.Fatal(err)
	}
	k.applyAsOperator(drain.StartTxn(p))
}

// applyAsOperator applies a transaction of an operator.
func (k *drainCluster) applyAsOperator(t wire.Txn) {
	k.t.Helper()
	if err := k.world.State.Put(t); err != nil {
		k.t.Fatal(err)
	}
}

// changeState pauses, resumes or cancels a drain.
func (k *drainCluster) changeState(name string, to drain.State) {
	k.t.Helper()
	for range 10 { // the leader may change the plan at the same moment
		t, err := drain.ChangeTxn(k.plan(name), to, time.Now())
		if err != nil {
			return
		}
		if k.world.State.Put(t) == nil {
			return
		}
	}
	k.t.Fatalf("drain %s did not become %s", name, to)
}

// plan returns the recorded plan of a drain.
func (k *drainCluster) plan(name string) drain.Versioned[drain.Plan] {
	k.t.Helper()
	e, _ := k.world.State.Entry(drain.PlanKey(name))
	out := drain.Versioned[drain.Plan]{Version: e.Version}
	if err := json.Unmarshal(e.Value, &out.Rec); err != nil {
		k.t.Fatal(err)
	}
	return out
}

func (k *drainCluster) state(name string) drain.State { return k.plan(name).Rec.State }

// cordons returns the recorded cordons, by machine.
func (k *drainCluster) cordons() map[string]drain.Cordon {
	var c drain.Cordons
	if e, ok := k.world.State.Entry(drain.CordonsKey); ok {
		if err := json.Unmarshal(e.Value, &c); err != nil {
			k.t.Fatal(err)
		}
	}
	return c.Machines
}

// machinesTakingWork counts the machines of each zone that are up and have no recorded cordon.
func (k *drainCluster) machinesTakingWork() map[string]int {
	cordons := k.cordons()
	out := map[string]int{}
	for _, m := range k.world.Machines() {
		if _, cordoned := cordons[m.ID]; !cordoned {
			out[m.Zone]++
		}
	}
	return out
}

// grantedEvictions returns how many evictions have been granted, according to all writes of
// ledgers.
func (k *drainCluster) grantedEvictions() int {
	seen := map[string]bool{}
	for _, w := range k.world.State.Writes() {
		for _, op := range w.Txn.Then {
			if !strings.HasPrefix(op.Put, drain.LedgerPrefix) {
				continue
			}
			var l drain.Ledger
			if err := json.Unmarshal(op.Value, &l); err != nil {
				k.t.Fatal(err)
			}
			for _, d := range l.Open {
				if d.Drain != "" {
					seen[fmt.Sprint(d.UnitID, d.Attempt)] = true
				}
			}
		}
	}
	return len(seen)
}

// machineNames returns the names of all machines that are up.
func (k *drainCluster) machineNames() []string {
	var out []string
	for _, m := range k.world.Machines() {
		out = append(out, m.ID)
	}
	return out
}

// allGone reports whether none of the named machines is up.
func (k *drainCluster) allGone(names []string) bool {
	for _, m := range k.world.Machines() {
		for _, n := range names {
			if m.ID == n {
				return false
			}
		}
	}
	return true
}

// awaitFinished waits until a drain is finished, and fails the test if that takes longer than
// within.
func (k *drainCluster) awaitFinished(name string, within time.Duration) {
	k.t.Helper()
	for end := time.Now().Add(within); k.state(name) != drain.Finished; time.Sleep(time.Second) {
		if time.Now().After(end) {
			k.t.Fatalf("drain %s is %s after %v, want finished: %s", name, k.state(name), within, k.drainRecords())
		}
	}
}

// drainRecords returns all records of drains, for messages.
func (k *drainCluster) drainRecords() string {
	link := k.world.State.StoreClient(context.Background(), "operator")
	entries, _, err := link.List(context.Background(), statestore.Urgent("operator"), drain.Prefix)
	if err != nil {
		return err.Error()
	}
	var out strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&out, "\n%s: %.400s", e.Key, e.Value)
	}
	return out.String()
}
