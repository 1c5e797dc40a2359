// Package recoverreport writes the report of a recovery plan as a single HTML page or as JSON.
package recoverreport

import (
	_ "embed"
	"io"
	"strings"

	"bramblespur/internal/record"
	"bramblespur/internal/recovery"
	"bramblespur/internal/reportpage"
)

//go:embed page.html
var pageText string

var page = reportpage.Parse(pageText, nil)

// outcomes are the columns of the table of counts, in order.
var outcomes = []recovery.Outcome{recovery.Intact, recovery.Recovered, recovery.Finished, recovery.Lost, recovery.Undecided}

// row is the row of one kind of records in the table of counts.
type row struct {
	Kind   string
	Counts []int // number of records with each outcome, in the order of outcomes
}

// JSON writes a plan as JSON.
func JSON(w io.Writer, p *recovery.Plan) error { return reportpage.JSON(w, p) }

// HTML writes the report as one HTML page, which refers to no other files.
func HTML(w io.Writer, p *recovery.Plan) error {
	var unrecovered, recovered []recovery.Item
	for _, item := range p.Items {
		switch item.Outcome {
		case recovery.Lost, recovery.Undecided:
			unrecovered = append(unrecovered, item)
		case recovery.Recovered, recovery.Finished:
			recovered = append(recovered, item)
		}
	}
	return page.Execute(w, struct {
		*recovery.Plan
		Outcomes               []recovery.Outcome
		Rows                   []row
		Unrecovered, Recovered []recovery.Item
	}{p, outcomes, countRows(p), unrecovered, recovered})
}

// recordKinds are the kinds of records in the table of counts, in order, with the prefix of their keys.
var recordKinds = []struct{ prefix, name string }{
	{record.FinishedJobPrefix, "finished jobs"}, {record.ActiveJobPrefix, "unfinished jobs"}, {record.PlacementsPrefix, "placements"},
	{record.FleetPrefix, "machines"}, {record.PipelinePrefix, "pipelines"}, {record.ClusterPrefix, "cluster, drains and budgets"},
}

// countRows returns the rows of the table of counts.
func countRows(p *recovery.Plan) []row {
	var out []row
	for _, k := range recordKinds {
		r := row{Kind: k.name, Counts: make([]int, len(outcomes))}
		for _, item := range p.Items {
			for n, outcome := range outcomes {
				if item.Outcome == outcome && strings.HasPrefix(item.Key, k.prefix) {
					r.Counts[n]++
				}
			}
		}
		out = append(out, r)
	}
	return out
}
