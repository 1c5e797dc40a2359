// Package restartreport writes the report of a restart as one HTML page with its plot, or
// as JSON.
package restartreport

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot/plotter"

	"bramblespur/internal/plots"
	"bramblespur/internal/reportpage"
	"bramblespur/internal/restartctl"
)

//go:embed page.html
var pageText string

var page = reportpage.Parse(pageText, nil)

// JSON writes a report for programs.
func JSON(w io.Writer, e *restartctl.Episode) error { return reportpage.JSON(w, e) }

// HTML writes a report as one page that needs nothing else.
func HTML(w io.Writer, e *restartctl.Episode) error {
	var orders, bound plotter.XYs
	for second, n := range append(e.CommandsPerSecond, 0) {
		orders = append(orders, plotter.XY{X: float64(second), Y: float64(n)})
		bound = append(bound, plotter.XY{X: float64(second), Y: e.CommandLimit})
	}
	svg, err := plots.SVG("Orders to workers", "seconds",
		plots.Line{Name: "orders in a second", Color: plots.Blue, Points: orders},
		plots.Line{Name: "an equal share of the bound", Color: plots.Orange, Dashed: true, Points: bound})
	if err != nil {
		return fmt.Errorf("plot the orders: %w", err)
	}
	return page.Execute(w, struct {
		*restartctl.Episode
		BeganAt string
		Plot    template.HTML
	}{e, time.UnixMilli(e.BeganAt).UTC().Format(time.RFC3339), svg})
}
