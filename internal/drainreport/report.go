// Package drainreport writes the report of a drain as a single HTML page with plots, or as JSON.
package drainreport

import (
	"bytes"
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"bramblespur/internal/drain"
	"bramblespur/internal/drainctl"
	"bramblespur/internal/reportpage"
)

// Report is the content of a report.
type Report struct {
	Status    *drainctl.Status       `json:"drain"`
	Generated time.Time              `json:"generated"`         // in UTC, to the second
	Samples   []drain.Sample         `json:"course"`            // summed over all shards, by time
	Budgets   map[string]drain.Limit `json:"budgets,omitempty"` // of the teams whose work was evicted, by name
}

// New returns the report of a drain. It has the teams' budgets unless settings is nil.
func New(s *drainctl.Status, settings *drain.Settings, now time.Time) *Report {
	r := &Report{Status: s, Generated: now.UTC().Truncate(time.Second), Samples: mergeSamples(s.Progress)}
	if settings != nil {
		r.Budgets = map[string]drain.Limit{}
		for _, t := range s.Teams {
			r.Budgets[t.Team] = settings.Budget(t.Team).Limit
		}
	}
	return r
}

// mergeSamples returns a sample for the time of each sample of any shard, with the sum of the latest
// samples of all shards at that time.
func mergeSamples(shards []drain.Progress) []drain.Sample {
	type shardSample struct {
		shard  int // index in shards
		sample drain.Sample
	}
	var all []shardSample
	for shard, progress := range shards {
		for _, sample := range progress.Samples {
			all = append(all, shardSample{shard, sample})
		}
	}
	slices.SortStableFunc(all, func(a, b shardSample) int { return cmp.Compare(a.sample.At, b.sample.At) })
	latest := make([]drain.Sample, len(shards))
	var out []drain.Sample
	for _, next := range all {
		latest[next.shard] = next.sample
		out = append(out, sumSamples(next.sample.At, latest))
	}
	return out
}

// sumSamples returns the sum of one sample of each shard, for a time in Unix milliseconds.
func sumSamples(at int64, samples []drain.Sample) drain.Sample {
	total := drain.Sample{At: at, Teams: map[string]drain.BudgetUse{}}
	for _, sample := range samples {
		total.Cordoned += sample.Cordoned
		total.Returned += sample.Returned
		for team, use := range sample.Teams {
			// All shards have the use of the same ledger of the team, at different times, so that the
			// highest use counts and not the sum.
			if had, ok := total.Teams[team]; !ok || use.InWindow > had.InWindow {
				total.Teams[team] = use
			}
		}
	}
	return total
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error { return reportpage.JSON(w, r) }

//go:embed page.html
var pageText string

var page = reportpage.Parse(pageText, template.FuncMap{
	"duration": func(seconds float64) string { return (time.Duration(seconds) * time.Second).String() },
})

// HTML writes the report as one HTML page, which refers to no other files.
func (r *Report) HTML(w io.Writer) error {
	progress, err := r.progressPlot()
	if err != nil {
		return fmt.Errorf("plot the machines: %w", err)
	}
	disruptions, err := r.disruptionPlots()
	if err != nil {
		return fmt.Errorf("plot the disruptions: %w", err)
	}
	var buf bytes.Buffer
	err = page.Execute(&buf, struct {
		*Report
		ProgressPlot    template.HTML
		DisruptionPlots []template.HTML
	}{r, progress, disruptions})
	if err != nil {
		return err
	}
	_, err = w.Write(buf.Bytes())
	return err
}
