package snapshot

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramblespur/internal/statestore"
	"bramblespur/internal/testkit"
)

const (
	measuredRPS  = 30    // requests per second: the operators' tool's share of the state service's limit
	measuredJobs = 10000 // jobs of each fleet
)

// BenchmarkTake takes snapshots over loopback, within the operators' tool's share of the state service's
// limits, of fleets with 10,000 jobs.
func BenchmarkTake(b *testing.B) {
	for _, machines := range []int{30, 300, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			service := testkit.NewStateService()
			records := testkit.FleetRecords(machines, measuredJobs)
			service.Revert(testkit.StoreContents{Revision: uint64(len(records)), Entries: records})
			server := httptest.NewServer(service.HTTP("operator"))
			defer server.Close()
			store := statestore.New(strings.TrimPrefix(server.URL, "http://"), 1, measuredRPS, 10, nil)
			b.ResetTimer()
			var m *Manifest
			for range b.N {
				taker := &Taker{Source: store, Directory: b.TempDir(), AnswerTimeout: 10 * time.Second, Now: time.Now,
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
