package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bramblespur/internal/drainctl"
)

// writeTable calls write with a writer that aligns cells separated by tabs in columns.
func writeTable(out io.Writer, write func(w io.Writer)) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	write(w)
	w.Flush()
}

// writeSteps writes the steps of a dry run.
func writeSteps(out io.Writer, steps []drainctl.Step) {
	writeTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "STEP\tMACHINES\tINTERRUPTS")
		for i, s := range steps {
			fmt.Fprintf(w, "%d\t%s\t%s\n", i+1, strings.Join(s.Machines, " "), formatUnits(s.UnitsByTeam))
		}
	})
}

// formatUnits returns the number of units of work of each team, or "-" if there are none.
func formatUnits(n map[string]int) string {
	var out []string
	for _, team := range slices.Sorted(maps.Keys(n)) {
		out = append(out, fmt.Sprintf("%s:%d", team, n[team]))
	}
	return cmp.Or(strings.Join(out, " "), "-")
}

// writeDrains writes a line for each drain.
func writeDrains(out io.Writer, all []drainctl.Summary) {
	writeTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tSTATE\tLEFT\tCORDONED\tAT ONCE\tFINISH BY\tREASON")
		for _, s := range all {
			if s.Invalid != "" {
				fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\t%s\n", s.Name, s.State, s.Invalid)
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", s.Name, s.State, s.MachinesLeft, s.MachinesCordoned, s.MaxConcurrent, formatFinishBy(s), s.Reason)
		}
	})
}

// formatFinishBy returns the time by which a drain should have ended, or "-" if there is none.
func formatFinishBy(s drainctl.Summary) string {
	if s.Late {
		return s.FinishBy + " (late)"
	}
	return cmp.Or(s.FinishBy, "-")
}

// writeDrainStatus writes the fields of one drain, then its cordoned machines, teams and holds as tables.
func writeDrainStatus(out io.Writer, s *drainctl.Status) {
	writeTable(out, func(w io.Writer) {
		fmt.Fprintf(w, "name\t%s\nstate\t%s\nreason\t%s\nfinish by\t%s\n", s.Name, s.State, s.Reason, formatFinishBy(s.Summary))
		fmt.Fprintf(w, "machines left\t%d\ncordoned\t%d of %d at once\nreturned\t%d\n", s.MachinesLeft, s.MachinesCordoned, s.MaxConcurrent, s.MachinesReturned)
	})
	if len(s.CordonedMachines) > 0 {
		fmt.Fprintln(out)
		writeTable(out, func(w io.Writer) {
			fmt.Fprintln(w, "CORDONED\tSINCE")
			for _, m := range s.CordonedMachines {
				fmt.Fprintf(w, "%s\t%s\n", m.Machine, m.Since)
			}
		})
	}
	if len(s.Teams) > 0 {
		fmt.Fprintln(out)
		writeTable(out, func(w io.Writer) {
			fmt.Fprintln(w, "TEAM\tEVICTED\tBEYOND BUDGET\tLOST\tINTERRUPTED NOW")
			for _, t := range s.Teams {
				fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\n", t.Team, t.Evicted, t.Forced, formatSeconds(t.LostTaskSeconds), t.InterruptedNow)
			}
		})
	}
	if len(s.Holds) > 0 {
		fmt.Fprintln(out)
		writeTable(out, func(w io.Writer) {
			fmt.Fprintln(w, "HELD UP BY\tMACHINE TIME")
			for _, h := range s.Holds {
				fmt.Fprintf(w, "%s\t%s\n", h.Reason, formatSeconds(h.Seconds))
			}
		})
	}
}

// formatSeconds returns a duration in seconds as text, rounded down to whole seconds.
func formatSeconds(seconds float64) string { return (time.Duration(seconds) * time.Second).String() }
