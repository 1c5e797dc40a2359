package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bramblespur/internal/restartctl"
	"bramblespur/internal/restartreport"
	"bramblespur/internal/retry"
)

// followInterval is the time between two reads of "restart show --follow".
const followInterval = 2 * time.Second

// restartCommand returns the command "restart" with its subcommands.
func (t *tool) restartCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "restart", Short: "Show the reconciliations of controllers after they started or took over shards"}
	cmd.AddCommand(t.restartListCommand(), t.restartShowCommand(), t.restartReportCommand())
	return cmd
}

// restartClient returns a client that reads the records of restarts.
func (t *tool) restartClient() (*restartctl.Client, error) {
	store, err := t.store()
	if err != nil {
		return nil, err
	}
	return &restartctl.Client{Store: store, Now: t.now}, nil
}

// restartListCommand returns the command "restart list".
func (t *tool) restartListCommand() *cobra.Command {
	list := func(ctx context.Context, _ []string) ([]restartctl.Episode, error) {
		c, err := t.restartClient()
		if err != nil {
			return nil, err
		}
		return c.List(ctx)
	}
	return queryCommand(t, "list", "List the recorded restarts", cobra.NoArgs, list, writeRestarts)
}

// episode reads the restart with a name, CONTROLLER/TIME, or the latest one of a controller by its label.
func (t *tool) episode(ctx context.Context, name string) (*restartctl.Episode, error) {
	c, err := t.restartClient()
	if err != nil {
		return nil, err
	}
	return c.Show(ctx, name)
}

// restartShowCommand returns the command "restart show".
func (t *tool) restartShowCommand() *cobra.Command {
	follow := false
	cmd := &cobra.Command{
		Use:   "show CONTROLLER[/TIME]",
		Short: "Show a restart: the outcomes of its tasks, and what is still awaited",
		Args:  oneArgument,
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			for {
				e, err := t.episode(cmd.Context(), args[0])
				if err != nil {
					return err
				}
				if err := t.print(out, e, func() { writeRestart(out, e) }); err != nil {
					return err
				}
				if !follow || e.CompletedAt != 0 || !retry.Sleep(cmd.Context(), followInterval) {
					return nil
				}
			}
		},
	}
	cmd.Flags().BoolVar(&follow, "follow", false, "show the restart repeatedly until it has settled")
	return cmd
}

// restartReportCommand returns the command "restart report".
func (t *tool) restartReportCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "report CONTROLLER[/TIME]",
		Short: "Write the report of a restart: one HTML page, or JSON with --output json",
		Args:  oneArgument,
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := t.episode(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			write := func(w io.Writer) error { return restartreport.HTML(w, e) }
			if t.output == jsonOutput {
				write = func(w io.Writer) error { return restartreport.JSON(w, e) }
			}
			return writeTo(cmd.OutOrStdout(), path, write)
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "file to write the report to (default: standard output)")
	return cmd
}

// oneArgument returns a usageError unless there is one argument.
func oneArgument(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("want one name, not %d", len(args))}
	}
	return nil
}

// writeRestarts writes a line for each restart.
func writeRestarts(out io.Writer, all []restartctl.Episode) {
	writeTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tSTATE\tCAUSE\tTOOK\tSHARDS\tAWAITED")
		for _, e := range all {
			if e.Invalid != "" {
				fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t%s\n", e.Name, e.State(), e.Invalid)
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1fs\t%v\t%s\n", e.Name, e.State(), e.Cause, e.TookS, e.Shards, formatAwaited(&e))
		}
	})
}

// formatAwaited returns the number of tasks and machines for which reconciliation still waits, or "-" if
// there are none.
func formatAwaited(e *restartctl.Episode) string {
	if e.PendingTasks+e.SilentMachines == 0 {
		return "-"
	}
	return fmt.Sprintf("%d tasks, %d machines", e.PendingTasks, e.SilentMachines)
}

// writeRestart writes the fields of one restart, one in each line.
func writeRestart(out io.Writer, e *restartctl.Episode) {
	writeTable(out, func(w io.Writer) {
		fmt.Fprintf(w, "name\t%s\nstate\t%s\ncause\t%s\ntook\t%.1fs\nshards\t%v\nawaited\t%s\n", e.Name, e.State(), e.Cause, e.TookS, e.Shards, formatAwaited(e))
		if e.SilentMachines > 0 {
			fmt.Fprintln(w, "why\tthe tasks on them keep their placements until they send a heartbeat, start a new incarnation or are released")
		}
		if len(e.PendingNames) > 0 {
			fmt.Fprintf(w, "silent machines\t%s\n", strings.Join(e.PendingNames, " "))
		}
		for _, outcome := range slices.Sorted(maps.Keys(e.Outcomes)) {
			fmt.Fprintf(w, "%s\t%d\n", outcome, e.Outcomes[outcome])
		}
		peak := 0 // most commands in any second
		for _, n := range e.CommandsPerSecond {
			peak = max(peak, n)
		}
		fmt.Fprintf(w, "commands per second\t%d at most, of %.1f\n", peak, e.CommandLimit)
		fmt.Fprintf(w, "contradictory claims\t%d\nmalformed records\t%d\n", e.Contradictions, e.Malformed)
	})
}
