package leader

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/fleet"
	"bramblespur/internal/peer"
	"bramblespur/internal/policy"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// fakeHost is a controller that leads and hosts no shards.
type fakeHost struct {
	sync.Mutex
	t        *testing.T
	store    statestore.Store
	cloud    listingCloud
	machines *clusterview.Machines
	// leadership is the version of the leader record.
	leadership uint64
}

var _ Host = (*fakeHost)(nil)

// listingCloud is a cloud whose list contains all machines that it ever provisioned.
type listingCloud struct {
	testkit.Cloud
	addresses map[string]string // addresses in the list, by machine id
}

func (c *listingCloud) List(context.Context) ([]wire.ListedMachine, error) {
	var list []wire.ListedMachine
	for _, ids := range c.Provisioned {
		for _, id := range ids {
			list = append(list, wire.ListedMachine{ID: id, Addr: c.addresses[id]})
		}
	}
	return list, nil
}

// newTestLeader returns the Leader of controller c-0, which is the only one, and its fake host.
func newTestLeader(t *testing.T, store statestore.Store) (*fakeHost, *Leader) {
	t.Helper()
	pol, err := policy.Load("")
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Settings{Label: "c-0", Params: config.Params{Count: 1, Zones: []string{"z"},
		State: config.State{ValueKB: 16, TxnOps: 16}}}
	host := &fakeHost{t: t, store: store, machines: clusterview.NewMachines(), leadership: 1}
	return host, New(host, cfg, pol, slog.New(slog.DiscardHandler))
}

// recordWriter returns a function that writes a record of machines to the state service and applies
// it to the host's view.
func (h *fakeHost) recordWriter(state *testkit.State) func(key string, v any) {
	return func(key string, v any) {
		h.t.Helper()
		e := state.Put(key, v)
		h.Lock()
		defer h.Unlock()
		h.applyChange(e.Change())
	}
}

func (h *fakeHost) applyChange(e wire.Change) {
	if _, errs := h.machines.Apply([]wire.Change{e}); len(errs) > 0 {
		h.t.Error(errs)
	}
}

func (h *fakeHost) ApplyOwnWritesLocked(t wire.Txn, revision uint64, _ time.Time) {
	for _, op := range t.Then {
		h.applyChange(wire.Change{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: revision})
	}
}

func (h *fakeHost) IsLeaderLocked(time.Time) bool                               { return true }
func (h *fakeHost) SafeModeLocked() bool                                        { return false }
func (h *fakeHost) CandidacyLocked(time.Time) func(context.Context)             { return nil }
func (h *fakeHost) LeaderLocked() (string, uint64)                              { return "c-0", h.leadership }
func (h *fakeHost) ClusterLocked(now time.Time) Cluster                         { return Cluster{Self: "c-0", Now: now} }
func (h *fakeHost) StepDown(context.Context)                                    {}
func (h *fakeHost) SummariesLocked(time.Time) []fleet.Summary                   { return nil }
func (h *fakeHost) OrderLocked(fleet.Order, time.Time) bool                     { return false }
func (h *fakeHost) TokenLocked(int) (uint64, bool)                              { return 0, false }
func (h *fakeHost) OwnerLocked(int) string                                      { return "" }
func (h *fakeHost) MayPlanLocked(time.Time) bool                                { return false }
func (h *fakeHost) AcquireLocked(context.Context, int)                          {}
func (h *fakeHost) TransferBackLocked(context.Context, int)                     {}
func (h *fakeHost) FleetLocked() *clusterview.Machines                          { return h.machines }
func (h *fakeHost) FleetLoadedLocked() bool                                     { return true }
func (h *fakeHost) MachineTypesLocked() []wire.MachineType                      { return nil }
func (h *fakeHost) AllowCloudCallLocked(time.Time) bool                         { return true }
func (h *fakeHost) CheckForLostRecords(context.Context, map[string]string) bool { return false }
func (h *fakeHost) StateServiceLimitsLocked() config.State                      { return config.State{} }
func (h *fakeHost) IsLiveMemberLocked(string) bool                              { return false }
func (h *fakeHost) LoadLocked(now time.Time) Load                               { return Load{At: now} }
func (h *fakeHost) BehindLocked() bool                                          { return false }
func (h *fakeHost) TakeDelayedCommandsLocked() int                              { return 0 }
func (h *fakeHost) CommandRateLocked() (float64, bool)                          { return 0, false }
func (h *fakeHost) SetCommandRateShareLocked(float64, time.Time)                {}
func (h *fakeHost) Store() statestore.Store                                     { return h.store }
func (h *fakeHost) Cloud() cloud.API                                            { return &h.cloud }
func (h *fakeHost) Peers() map[string]peer.Caller                               { return nil }
func (h *fakeHost) CheckSync(_ string, _ *peer.SyncReply, err error) error      { return err }
func (h *fakeHost) PingPeers()                                                  {}
func (h *fakeHost) AfterTurn(context.Context)                                   {}
func (h *fakeHost) ReadFleet(context.Context, statestore.Purpose) (*record.Fleet, error) {
	machines := record.NewFleet()
	for _, e := range h.machines.Entries() {
		if _, err := machines.Apply(e.Change()); err != nil {
			return nil, err
		}
	}
	return machines, nil
}
