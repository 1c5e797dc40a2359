// Package plots draws curves as SVG elements for HTML reports.
package plots

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot, with its title and labels.
const (
	width  = 18 * vg.Centimeter
	height = 7 * vg.Centimeter
)

// legendSpace is the height of a plot relative to its highest value, so that the legend hides no curve.
const legendSpace = 1.6

// Colors of lines.
var (
	Blue   = color.RGBA{0x1f, 0x6f, 0xb4, 0xff}
	Orange = color.RGBA{0xd9, 0x5f, 0x02, 0xff}
)

// Line is a curve in steps: each value stays until the next point.
type Line struct {
	Name   string // in the legend
	Color  color.Color
	Dashed bool
	Points plotter.XYs
}

// SVG returns a plot of lines as an SVG element, with a label for the horizontal axis. A line without
// points is drawn at zero.
func SVG(title, xLabel string, lines ...Line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for _, l := range lines {
		if len(l.Points) == 0 {
			l.Points = plotter.XYs{{X: 0, Y: 0}, {X: 1, Y: 0}}
		}
		curve, err := plotter.NewLine(l.Points)
		if err != nil {
			return "", err
		}
		curve.StepStyle = plotter.PostStep
		curve.Color = l.Color
		curve.Width = vg.Points(1.5)
		if l.Dashed {
			curve.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(curve)
		p.Legend.Add(l.Name, curve)
	}
	p.Y.Max *= legendSpace
	canvas, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", err
	}
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	text := buf.String()
	// The XML declaration before the element must not be in an HTML page.
	return template.HTML(text[max(0, strings.Index(text, "<svg")):]), nil
}
