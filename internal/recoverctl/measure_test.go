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

// Share of a state service's limits of 300 requests and 100 changes a second that is measured
// with, as the tool uses it.
const (
	measuredRPS      = 180
	measuredWriteRPS = 60
	measuredJobs     = 10000
)

// listing is a cloud that lists machines.
type listing struct {
	testkit.Cloud
	machines int
}

func (l *listing) list() map[string]wire.Listed {
	out := map[string]wire.Listed{}
	for i := range l.machines {
		id := fmt.Sprintf("i-%06d", i)
		out[id] = wire.Listed{ID: id}
	}
	return out
}

// fleetRecords are the records of a fleet of which every machine runs two tasks, and of jobs
// that are over.
func fleetRecords(machines int) map[string]wire.Entry {
	out := map[string]wire.Entry{}
	put := func(key string, v any) {
		out[key] = wire.Entry{Key: key, Version: uint64(len(out) + 1), Value: record.Encode(v)}
	}
	const batch, tasks = 50, 10
	for n := 0; n < machines; n += batch {
		r := record.Rental{Type: "g8", Zone: "a", Born: 1}
		for i := n; i < min(n+batch, machines); i++ {
			r.IDs, r.Parts = append(r.IDs, fmt.Sprintf("i-%06d", i)), append(r.Parts, 0)
		}
		put(record.RentalKey(fmt.Sprint("r-", n)), r)
	}
	open := 2 * machines / tasks
	for n := range open {
		ref := fmt.Sprintf("run-%06d", n)
		put(record.OpenKey(ref), record.Open{At: 1, Spec: wire.Spec{Ref: ref, Class: "train", Team: "vision", Kind: wire.Array, Tasks: tasks, CPUs: 8, MemoryGB: 64}})
		run := record.Run{Attempt: 1, On: map[int]record.Place{}, Tasks: tasks, Turn: 1}
		for i := range tasks {
			run.On[i] = record.Place{Machine: fmt.Sprintf("i-%06d", (n*tasks+i)/2), Attempt: 1}
		}
		put(record.SlotKey(0, n), record.Slot{Format: record.Stated, Runs: map[string]record.Run{record.RunName(ref, 0): run}})
	}
	for n := open; n < measuredJobs; n++ {
		put(record.JobKey(fmt.Sprintf("run-%06d", n)), record.Job{State: wire.Done, Tasks: tasks, At: 1})
	}
	return out
}

// fleetReports are the reports of its workers.
func fleetReports(e *recovery.Evidence, machines int) {
	for i := range machines {
		r := wire.Report{Machine: fmt.Sprintf("i-%06d", i), Session: 1, Seq: 1, Token: 5}
		for n := 2 * i; n < 2*i+2; n++ {
			r.Tasks = append(r.Tasks, wire.ReportTask{Task: fmt.Sprintf("run-%06d/%d", n/10, n%10), Attempt: 1, State: wire.Running})
		}
		e.Report(r)
	}
}

// BenchmarkRecover measures a recovery over loopback at the tool's share of the limits, of
// fleets with 10,000 jobs: everything but the final states is lost, or all of it, and a whole
// snapshot and the workers' reports are there.
func BenchmarkRecover(b *testing.B) {
	for _, machines := range []int{30, 300, 4000} {
		for name, kept := range map[string]string{"all but final states": record.JobPrefix, "everything": "none/"} {
			b.Run(fmt.Sprintf("%d machines, %s", machines, name), func(b *testing.B) {
				for range b.N {
					measureRecovery(b, machines, kept)
				}
			})
		}
	}
}

func measureRecovery(b *testing.B, machines int, kept string) {
	service := testkit.NewService()
	records := fleetRecords(machines)
	image := testkit.Image{Revision: uint64(len(records)), Entries: map[string]wire.Entry{}}
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
	fleet := &listing{machines: machines}
	c := &Client{Store: store, Cloud: fleet, Now: time.Now, Limits: recovery.Limits{ValueBytes: 16 << 10, TxnOps: 16, TxnBytes: 48 << 10}}
	began := time.Now()
	g, err := c.Gather(b.Context(), &snapshot.Contents{Manifest: &snapshot.Manifest{Revision: uint64(len(records))}, Records: records})
	if err != nil {
		b.Fatal(err)
	}
	fleetReports(&g.Evidence, machines)
	g.Listed = fleet.list()
	gathered := time.Since(began)
	p := recovery.Make(g.Evidence, c.Limits)
	planned := time.Since(began)
	if err := c.Apply(b.Context(), p, func(int, int) {}); err != nil {
		b.Fatal(err)
	}
	count := p.Count()
	requests := 0
	for _, n := range store.Counts() {
		requests += n.Requests
	}
	b.ReportMetric(gathered.Seconds(), "s-gathered")
	b.ReportMetric((planned - gathered).Seconds(), "s-planned")
	b.ReportMetric((time.Since(began) - planned).Seconds(), "s-applied")
	b.ReportMetric(float64(requests), "requests")
	b.ReportMetric(float64(count[recovery.Recovered]), "recovered")
	b.ReportMetric(float64(count[recovery.Lost]+count[recovery.Undecided]), "unrecovered")
}
