// Package restartreport writes the report of a restart as a single HTML page with a plot, or as JSON.
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

// JSON writes an episode as JSON.
func JSON(w io.Writer, e *restartctl.Episode) error { return reportpage.JSON(w, e) }

// HTML writes the report as one HTML page, which refers to no other files.
func HTML(w io.Writer, e *restartctl.Episode) error {
	var commands, limit plotter.XYs
	for second, n := range append(e.CommandsPerSecond, 0) {
		commands = append(commands, plotter.XY{X: float64(second), Y: float64(n)})
		limit = append(limit, plotter.XY{X: float64(second), Y: e.CommandLimit})
	}
	svg, err := plots.SVG("Commands to workers", "seconds",
		plots.Line{Name: "commands per second", Color: plots.Blue, Points: commands},
		plots.Line{Name: "this controller's equal share of the limit", Color: plots.Orange, Dashed: true, Points: limit})
	if err != nil {
		return fmt.Errorf("plot the commands: %w", err)
	}
	return page.Execute(w, struct {
		*restartctl.Episode
		BeganAt string
		Plot    template.HTML
	}{e, time.UnixMilli(e.BeganAt).UTC().Format(time.RFC3339), svg})
}
