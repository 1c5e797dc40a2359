package snapshot

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
	"bramblespur/internal/wire"
)

// fill writes the records of a fleet of which every machine runs two tasks, and of jobs that
// are over.
func fill(b *testing.B, s *testkit.Service, machines, jobs int) {
	put := func(key string, v any) {
		if err := s.Put(wire.Txn{Then: []wire.Op{{Put: key, Value: record.Encode(v)}}}); err != nil {
			b.Fatal(err)
		}
	}
	const batch, tasks = 50, 10
	for n := 0; n < machines; n += batch {
		r := record.Rental{Type: "g8", Zone: "a", Born: 1767600000000}
		for i := n; i < min(n+batch, machines); i++ {
			r.IDs, r.Parts = append(r.IDs, fmt.Sprintf("i-%06d", i)), append(r.Parts, 0)
			r.Addrs = append(r.Addrs, fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250))
		}
		put(record.RentalKey(fmt.Sprint("r-", n)), r)
	}
	open := 2 * machines / tasks
	for n := range open {
		ref := fmt.Sprintf("run-%06d", n)
		put(record.OpenKey(ref), record.Open{At: 1767600000000, Spec: wire.Spec{Ref: ref, Class: "train", Team: "vision", Kind: wire.Array,
			Priority: "normal", Tasks: tasks, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2, EstimateS: 240}})
		run := record.Run{Attempt: 1, On: map[int]record.Place{}, Tasks: tasks, Turn: 1}
		for i := range tasks {
			run.On[i] = record.Place{Machine: fmt.Sprintf("i-%06d", (n*tasks+i)/2), Attempt: 1}
		}
		put(record.SlotKey(0, n), record.Slot{Format: record.Stated, Runs: map[string]record.Run{record.RunName(ref, 0): run}})
	}
	for n := open; n < jobs; n++ {
		put(record.JobKey(fmt.Sprintf("run-%06d", n)), record.Job{State: wire.Done, Tasks: tasks, At: 1767600000000})
	}
}

// measuredRPS is the share of a state service's limit that the tool keeps to here.
const measuredRPS = 30

// BenchmarkTake takes a snapshot over loopback, at the tool's share of a state service's
// limits, of fleets with 10,000 jobs.
func BenchmarkTake(b *testing.B) {
	for _, machines := range []int{30, 300, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			service := testkit.NewService()
			fill(b, service, machines, 10000)
			server := httptest.NewServer(service.HTTP("operator"))
			defer server.Close()
			store := statestore.New(strings.TrimPrefix(server.URL, "http://"), 1, measuredRPS, 10, nil)
			b.ResetTimer()
			var m *Manifest
			for range b.N {
				taker := &Taker{Source: store, Directory: b.TempDir(), Patience: 10 * time.Second, Now: time.Now,
					Sleep: func(_ context.Context, d time.Duration) error { time.Sleep(d); return nil }}
				var err error
				if m, err = taker.Take(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(m.Bytes())/1024, "KB")
			b.ReportMetric(float64(m.Records()), "records")
			b.ReportMetric(float64(m.Requests), "requests")
		})
	}
}
