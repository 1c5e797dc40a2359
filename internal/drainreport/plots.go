package drainreport

import (
	"html/template"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot/plotter"

	"bramblespur/internal/drain"
	"bramblespur/internal/plots"
)

const minutes = "minutes"

// progressPlot shows the machines that were cordoned and given back.
func (r *Report) progressPlot() (template.HTML, error) {
	return plots.SVG("Machines", minutes,
		plots.Line{Name: "cordoned", Color: plots.Orange, Points: r.points(func(p drain.Sample) int { return p.Cordoned })},
		plots.Line{Name: "returned", Color: plots.Blue, Points: r.points(func(p drain.Sample) int { return p.Returned })})
}

// disruptionPlots show each team's disruptions against its budget.
func (r *Report) disruptionPlots() ([]template.HTML, error) {
	teams := map[string]bool{}
	for _, p := range r.Samples {
		for team := range p.Teams {
			teams[team] = true
		}
	}
	var out []template.HTML
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		lines := []plots.Line{
			{Name: "at once", Color: plots.Orange, Points: r.points(func(p drain.Sample) int { return p.Teams[team].Concurrent })},
			{Name: "in the window", Color: plots.Blue, Points: r.points(func(p drain.Sample) int { return p.Teams[team].InWindow })},
		}
		if b, ok := r.Budgets[team]; ok {
			lines = append(lines,
				plots.Line{Name: "allowed at once", Color: plots.Orange, Dashed: true, Points: r.points(func(drain.Sample) int { return b.MaxConcurrent })},
				plots.Line{Name: "allowed in the window", Color: plots.Blue, Dashed: true, Points: r.points(func(drain.Sample) int { return b.MaxInWindow })})
		}
		svg, err := plots.SVG("Disruptions of "+team, minutes, lines...)
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	return out, nil
}

// points returns a curve over the minutes since the first point.
func (r *Report) points(value func(drain.Sample) int) plotter.XYs {
	var out plotter.XYs
	for _, p := range r.Samples {
		since := time.Duration(p.At-r.Samples[0].At) * time.Millisecond
		out = append(out, plotter.XY{X: since.Minutes(), Y: float64(value(p))})
	}
	return out
}
