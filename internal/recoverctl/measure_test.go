package recoverctl

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/snapshot"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// The rates are the share of a state service's limits, 300 requests and 100 writes per second, that the
// operators' tool uses.
const (
	measuredRPS      = 180   // requests per second
	measuredWriteRPS = 60    // writes per second
	measuredJobs     = 10000 // jobs of each fleet
)

// fleetListed returns the cloud's list of a fleet, by machine ID.
func fleetListed(machines int) map[string]wire.ListedMachine {
	out := map[string]wire.ListedMachine{}
	for i := range machines {
		out[testkit.FleetMachine(i)] = wire.ListedMachine{ID: testkit.FleetMachine(i)}
	}
	return out
}

// addHeartbeats adds the heartbeats of a fleet's workers, with two running tasks each, to the evidence.
func addHeartbeats(e *recovery.Evidence, machines int) {
	for i := range machines {
		heartbeat := wire.Heartbeat{Machine: testkit.FleetMachine(i), Session: 1, Seq: 1, Token: 5}
		for n := 2 * i; n < 2*i+2; n++ {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.HeartbeatTask{Task: fmt.Sprintf("run-%06d/%d", n/10, n%10), Attempt: 1, State: wire.Running})
		}
		e.Heartbeats.Add(&heartbeat)
	}
}

// BenchmarkRecover measures a recovery over loopback, within the tool's share of the limits, of fleets
// with 10,000 jobs. Either all records are lost or all but those of finished jobs; there is a complete
// snapshot, and all workers send heartbeats.
func BenchmarkRecover(b *testing.B) {
	for _, machines := range []int{30, 300, 4000} {
		for name, kept := range map[string]string{"all but final states": record.FinishedJobPrefix, "everything": "none/"} {
			b.Run(fmt.Sprintf("%d machines, %s", machines, name), func(b *testing.B) {
				for range b.N {
					measureRecovery(b, machines, kept)
				}
			})
		}
	}
}

// measureRecovery recovers a fleet whose store has kept only the records with the prefix kept.
func measureRecovery(b *testing.B, machines int, kept string) {
	service := testkit.NewStateService()
	records := testkit.FleetRecords(machines, measuredJobs)
	image := testkit.StoreContents{Revision: uint64(len(records)), Entries: map[string]wire.Entry{}}
	for key, e := range records {
		if strings.HasPrefix(key, kept) {
			image.Entries[key] = e
		}
	}
	mode := recovery.SafeMode{Active: true, Epoch: 1, Floor: image.Revision + 20}
	image.Revision++
	image.Entries[recovery.SafeModeKey] = wire.Entry{Key: recovery.SafeModeKey, Value: record.Encode(mode), Version: image.Revision}
	service.Revert(image)
	server := httptest.NewServer(service.HTTP("operator"))
	defer server.Close()
	store := statestore.New(strings.TrimPrefix(server.URL, "http://"), 1, measuredRPS, measuredWriteRPS, nil)
	c := &Client{Store: store, Cloud: &testkit.Cloud{}, Now: time.Now, Limits: recovery.Limits{ValueBytes: 16 << 10, TxnOps: 16, TxnBytes: 48 << 10}}
	began := time.Now()
	g, err := c.Gather(b.Context(), &snapshot.Contents{Manifest: &snapshot.Manifest{Revision: uint64(len(records))}, Records: records})
	if err != nil {
		b.Fatal(err)
	}
	addHeartbeats(&g.Evidence, machines)
	g.Listed = fleetListed(machines)
	gathered := time.Since(began)
	p := recovery.NewPlan(g.Evidence, c.Limits)
	planned := time.Since(began)
	if err := c.Apply(b.Context(), p, func(int, int) {}); err != nil {
		b.Fatal(err)
	}
	count := p.Count()
	requests := 0
	for _, n := range store.TakeUsage() {
		requests += n.Requests
	}
	b.ReportMetric(gathered.Seconds(), "s-gathered")
	b.ReportMetric((planned - gathered).Seconds(), "s-planned")
	b.ReportMetric((time.Since(began) - planned).Seconds(), "s-applied")
	b.ReportMetric(float64(requests), "requests")
	b.ReportMetric(float64(count[recovery.Recovered]), "recovered")
	b.ReportMetric(float64(count[recovery.Lost]+count[recovery.Undecided]), "unrecovered")
}
