// Package drainreport writes the report of a drain as one HTML page with its plots, or as
// JSON.
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

// Report is all that a report tells.
type Report struct {
	Status    *drainctl.Status       `json:"drain"`
	Generated time.Time              `json:"generated"`
	Samples   []drain.Sample         `json:"course"` // of all parts together
	Budgets   map[string]drain.Limit `json:"budgets,omitempty"`
}

// New makes the report of a drain; settings are optional and tell the budgets.
func New(s *drainctl.Status, settings *drain.Settings, now time.Time) *Report {
	r := &Report{Status: s, Generated: now.UTC().Truncate(time.Second), Samples: together(s.Progress)}
	if settings != nil {
		r.Budgets = map[string]drain.Limit{}
		for _, t := range s.Teams {
			r.Budgets[t.Team] = settings.Budget(t.Team).Limit
		}
	}
	return r
}

// together adds up the courses of all shards, each as it last was.
func together(courses []drain.Progress) []drain.Sample {
	type moment struct {
		shard int
		point drain.Sample
	}
	var all []moment
	for shard, c := range courses {
		for _, p := range c.Samples {
			all = append(all, moment{shard, p})
		}
	}
	slices.SortStableFunc(all, func(a, b moment) int { return cmp.Compare(a.point.At, b.point.At) })
	last := make([]drain.Sample, len(courses))
	var out []drain.Sample
	for _, m := range all {
		last[m.shard] = m.point
		out = append(out, sum(m.point.At, last))
	}
	return out
}

func sum(at int64, points []drain.Sample) drain.Sample {
	total := drain.Sample{At: at, Teams: map[string]drain.BudgetUse{}}
	for _, p := range points {
		total.Cordoned += p.Cordoned
		total.Returned += p.Returned
		for team, use := range p.Teams {
			// Parts that share a team tell the same ledger, at different times.
			if had, ok := total.Teams[team]; !ok || use.InWindow > had.InWindow {
				total.Teams[team] = use
			}
		}
	}
	return total
}

// JSON writes a report for programs.
func (r *Report) JSON(w io.Writer) error { return reportpage.JSON(w, r) }

//go:embed page.html
var pageText string

var page = reportpage.Parse(pageText, template.FuncMap{
	"hours": func(s float64) string { return (time.Duration(s) * time.Second).String() },
})

// HTML writes a report as one page that needs nothing else.
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
		Progress    template.HTML
		Disruptions []template.HTML
	}{r, progress, disruptions})
	if err != nil {
		return err
	}
	_, err = w.Write(buf.Bytes())
	return err
}
