package leader

import (
	"context"
	"time"

	"bramblespur/internal/cloud"
	"bramblespur/internal/config"
	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/reconcile"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

const (
	// recentlyRecordedLags is the time, in lags of the cloud's list, for which a machine whose
	// record is gone does not count as unrecorded.
	recentlyRecordedLags = 6
	// listIntervalLags is the least time between two reads of the cloud's list, in lags of the list.
	listIntervalLags = 3.0
	// listCallShare is the share of the cloud's rate limit that may be used to read its list.
	listCallShare = 0.1
	// listTimeout bounds one comparison with the cloud's list.
	listTimeout = 20 * time.Second
)

// inventory is the state of the comparison of the cloud's list of machines, which lags, with the
// records. The shards' lock guards it, except for nextListAt, which belongs to the goroutine that
// takes the turns.
type inventory struct {
	unrecorded     map[string]int       // by machine: how many lists in a row named it while no record did
	lastRecordedAt map[string]time.Time // when a record last named the machine
	nextListAt     time.Time
}

func newInventory() inventory {
	return inventory{unrecorded: map[string]int{}, lastRecordedAt: map[string]time.Time{}}
}

// track keeps which machines are recorded, so that machines whose records are gone do not count as
// unrecorded while the cloud's list still has them. When it drops a machine, it also deletes the
// machine's address from addresses.
func (v *inventory) track(machines *clusterview.Machines, params config.Cloud, now time.Time, addresses map[string]string) {
	machines.ForEach(func(id string, _ record.MachineView) { v.lastRecordedAt[id] = now })
	for id, at := range v.lastRecordedAt {
		if now.Sub(at) > time.Duration(recentlyRecordedLags)*config.Seconds(params.ListLagS) {
			delete(v.lastRecordedAt, id)
			delete(addresses, id)
		}
	}
}

// suspects returns the machines of the cloud's list that no record in the view names. The value of
// each is the number of lists in a row that had it.
func (v *inventory) suspects(list []wire.ListedMachine, machines *clusterview.Machines, provisioning bool) map[string]int {
	suspects := map[string]int{}
	for _, m := range list {
		_, recorded := machines.Machine(m.ID)
		_, recordedRecently := v.lastRecordedAt[m.ID]
		if recorded || recordedRecently {
			delete(v.unrecorded, m.ID)
		} else {
			v.unrecorded[m.ID]++
		}
		evidence := reconcile.ListedMachine{Recorded: recorded, RecordedRecently: recordedRecently, TimesListed: v.unrecorded[m.ID], ProvisionPending: provisioning}
		if reconcile.ClassifyMachine(evidence).Action == reconcile.ReleaseMachine && len(suspects) < protocolMaxRelease {
			suspects[m.ID] = v.unrecorded[m.ID]
		}
	}
	return suspects
}

// confirmUnrecorded returns the suspects that are not named in the records read from the state
// service either, since the view may be behind.
func confirmUnrecorded(suspects map[string]int, machines *record.Fleet) []string {
	provisioning := len(machines.UnfulfilledProvisions()) > 0
	var unrecorded []string
	for id, listed := range suspects {
		_, recorded := machines.Machine(id)
		evidence := reconcile.ListedMachine{Recorded: recorded, TimesListed: listed, ProvisionPending: provisioning}
		if reconcile.ClassifyMachine(evidence).Action == reconcile.ReleaseMachine {
			unrecorded = append(unrecorded, id)
		}
	}
	return unrecorded
}

// listInterval returns the time between two reads of the cloud's list. The larger the fleet, the
// more calls each read takes, and provisions and releases need most of the calls.
func (l *Leader) listInterval() time.Duration {
	l.host.Lock()
	pages := 1 + l.host.FleetLocked().Len()/cloud.MaxPage
	l.host.Unlock()
	byLag := listIntervalLags * l.cfg.Params.Cloud.ListLagS
	byCalls := float64(pages) / (listCallShare * l.cfg.Params.Cloud.RPS)
	return config.Seconds(max(byLag, byCalls))
}

// compareCloudList reads the cloud's list of machines. It learns addresses that are not recorded,
// and releases machines without a record, which remain when the cloud executes a request late. It
// releases nothing if the machines show that records were lost.
func (l *Leader) compareCloudList(ctx context.Context, t *term) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := l.host.Cloud().List(ctx)
	if err != nil {
		l.log.Debug("cloud's list of machines not read", "err", err)
		return
	}
	l.host.Lock()
	t.provisions.learnListedAddresses(list, l.host.FleetLocked())
	suspects := t.inventory.suspects(list, l.host.FleetLocked(), len(t.provisions.underWay) > 0)
	l.host.Unlock()
	if len(suspects) == 0 {
		return
	}
	machines, err := l.host.ReadFleet(ctx, statestore.Routine("strangers"))
	if err != nil {
		l.log.Debug("machine records not read", "err", err)
		return
	}
	unrecorded := confirmUnrecorded(suspects, machines)
	if len(unrecorded) > 0 && !l.host.CheckForLostRecords(ctx, addressesOf(list, unrecorded)) {
		err := l.host.Cloud().Release(ctx, unrecorded)
		l.log.Info("unrecorded machines released", "machines", unrecorded, "err", err)
	}
}

// addressesOf returns the addresses in a list of the machines with the given ids, by id. The address
// of a machine that is not in the list is empty.
func addressesOf(list []wire.ListedMachine, ids []string) map[string]string {
	listed := map[string]string{}
	for _, m := range list {
		listed[m.ID] = m.Addr
	}
	addresses := map[string]string{}
	for _, id := range ids {
		addresses[id] = listed[id]
	}
	return addresses
}
