// Package recoverreport writes the report of a recovery plan as one HTML page, or as JSON.
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

// verdicts are the columns of the report's table.
var verdicts = []recovery.Outcome{recovery.Intact, recovery.Recovered, recovery.Finished, recovery.Lost, recovery.Undecided}

// row counts the verdicts on records of one kind.
type row struct {
	Kind   string
	Counts []int
}

// JSON writes a plan for programs.
func JSON(w io.Writer, p *recovery.Plan) error { return reportpage.JSON(w, p) }

// HTML writes the report as one page that needs nothing else.
func HTML(w io.Writer, p *recovery.Plan) error {
	var named, recovered []recovery.Item
	for _, i := range p.Items {
		switch i.Outcome {
		case recovery.Lost, recovery.Undecided:
			named = append(named, i)
		case recovery.Recovered, recovery.Finished:
			recovered = append(recovered, i)
		}
	}
	return page.Execute(w, struct {
		*recovery.Plan
		Verdicts         []recovery.Outcome
		Rows             []row
		Named, Recovered []recovery.Item
	}{p, verdicts, rows(p), named, recovered})
}

// kinds names the records by their prefixes.
var kinds = []struct{ prefix, name string }{
	{record.FinishedJobPrefix, "final states"}, {record.ActiveJobPrefix, "unfinished jobs"}, {record.PlacementsPrefix, "placements"},
	{record.FleetPrefix, "machines"}, {record.PipelinePrefix, "pipelines"}, {record.ClusterPrefix, "cluster, drains and budgets"},
}

func rows(p *recovery.Plan) []row {
	var out []row
	for _, k := range kinds {
		r := row{Kind: k.name, Counts: make([]int, len(verdicts))}
		for _, i := range p.Items {
			for n, v := range verdicts {
				if i.Outcome == v && strings.HasPrefix(i.Key, k.prefix) {
					r.Counts[n]++
				}
			}
		}
		out = append(out, r)
	}
	return out
}
