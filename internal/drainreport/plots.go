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

// minutesLabel is the label of the time axes.
const minutesLabel = "minutes"

// progressPlot plots how many machines were cordoned and released over time.
func (r *Report) progressPlot() (template.HTML, error) {
	return plots.SVG("Machines", minutesLabel,
		plots.Line{Name: "cordoned", Color: plots.Orange, Points: r.curve(func(p drain.Sample) int { return p.Cordoned })},
		plots.Line{Name: "returned", Color: plots.Blue, Points: r.curve(func(p drain.Sample) int { return p.Returned })})
}

// disruptionPlots returns a plot for each team, sorted by name, of its disruptions over time and of its
// budget if that is known.
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
			{Name: "at once", Color: plots.Orange, Points: r.curve(func(p drain.Sample) int { return p.Teams[team].Concurrent })},
			{Name: "in the window", Color: plots.Blue, Points: r.curve(func(p drain.Sample) int { return p.Teams[team].InWindow })},
		}
		if b, ok := r.Budgets[team]; ok {
			lines = append(lines,
				plots.Line{Name: "allowed at once", Color: plots.Orange, Dashed: true, Points: r.curve(func(drain.Sample) int { return b.MaxConcurrent })},
				plots.Line{Name: "allowed in the window", Color: plots.Blue, Dashed: true, Points: r.curve(func(drain.Sample) int { return b.MaxInWindow })})
		}
		svg, err := plots.SVG("Disruptions of "+team, minutesLabel, lines...)
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	return out, nil
}

// curve returns a value of each sample over the minutes since the first sample.
func (r *Report) curve(value func(drain.Sample) int) plotter.XYs {
	var out plotter.XYs
	for _, p := range r.Samples {
		since := time.Duration(p.At-r.Samples[0].At) * time.Millisecond
		out = append(out, plotter.XY{X: since.Minutes(), Y: float64(value(p))})
	}
	return out
}
