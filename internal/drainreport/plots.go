package drainreport

import (
	"bytes"
	"html/template"
	"image/color"
	"maps"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"bramblespur/internal/drain"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// legendRoom is how much higher than its curves a plot is, so that the legend hides none.
const legendRoom = 1.6

// Colours of lines, in the order in which they are used.
var (
	blue   = color.RGBA{0x1f, 0x6f, 0xb4, 0xff}
	orange = color.RGBA{0xd9, 0x5f, 0x02, 0xff}
)

// line is one curve of a plot: a value that stays until the next point.
type line struct {
	name   string
	color  color.Color
	dashed bool
	value  func(p drain.Point) float64
}

// progressPlot shows the machines that were cordoned and given back.
func (r *Report) progressPlot() (template.HTML, error) {
	return r.plot("Machines", []line{
		{name: "cordoned", color: orange, value: func(p drain.Point) float64 { return float64(p.Cordoned) }},
		{name: "returned", color: blue, value: func(p drain.Point) float64 { return float64(p.Returned) }},
	})
}

// disruptionPlots show each team's disruptions against its budget.
func (r *Report) disruptionPlots() ([]template.HTML, error) {
	teams := map[string]bool{}
	for _, p := range r.Course {
		for team := range p.Teams {
			teams[team] = true
		}
	}
	var out []template.HTML
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		lines := []line{
			{name: "at once", color: orange, value: func(p drain.Point) float64 { return float64(p.Teams[team].Open) }},
			{name: "in the window", color: blue, value: func(p drain.Point) float64 { return float64(p.Teams[team].InWindow) }},
		}
		if b, ok := r.Budgets[team]; ok {
			lines = append(lines,
				line{name: "allowed at once", color: orange, dashed: true, value: func(drain.Point) float64 { return float64(b.AtOnce) }},
				line{name: "allowed in the window", color: blue, dashed: true, value: func(drain.Point) float64 { return float64(b.InWindow) }})
		}
		svg, err := r.plot("Disruptions of "+team, lines)
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	return out, nil
}

// plot draws curves over the minutes since the first point.
func (r *Report) plot(title string, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "minutes"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for _, l := range lines {
		curve, err := plotter.NewLine(r.points(l.value))
		if err != nil {
			return "", err
		}
		curve.StepStyle = plotter.PostStep
		curve.Color = l.color
		curve.Width = vg.Points(1.5)
		if l.dashed {
			curve.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Y.Max *= legendRoom
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	text := buf.String()
	// An SVG element within a page has no declaration of its own.
	return template.HTML(text[max(0, strings.Index(text, "<svg")):]), nil
}

// points returns a curve; without any it has one point, so that the plot can be drawn.
func (r *Report) points(value func(drain.Point) float64) plotter.XYs {
	if len(r.Course) == 0 {
		return plotter.XYs{{X: 0, Y: 0}, {X: 1, Y: 0}}
	}
	start := r.Course[0].At
	var out plotter.XYs
	for _, p := range r.Course {
		since := time.Duration(p.At-start) * time.Millisecond
		out = append(out, plotter.XY{X: since.Minutes(), Y: value(p)})
	}
	return out
}
