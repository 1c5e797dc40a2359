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

// followEvery is how often "restart show --follow" looks again.
const followEvery = 2 * time.Second

func (t *tool) restartCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "restart", Short: "See how controllers settled after they started or took over"}
	cmd.AddCommand(t.restartListCommand(), t.restartShowCommand(), t.restartReportCommand())
	return cmd
}

func (t *tool) restartClient() (*restartctl.Client, error) {
	store, err := t.store()
	if err != nil {
		return nil, err
	}
	return &restartctl.Client{Store: store, Now: t.now}, nil
}

func (t *tool) restartListCommand() *cobra.Command {
	list := func(ctx context.Context, _ []string) ([]restartctl.Episode, error) {
		c, err := t.restartClient()
		if err != nil {
			return nil, err
		}
		return c.List(ctx)
	}
	return reading(t, "list", "List the restarts on record", cobra.NoArgs, list, writeRestarts)
}

// episode reads a restart by its name.
func (t *tool) episode(ctx context.Context, name string) (*restartctl.Episode, error) {
	c, err := t.restartClient()
	if err != nil {
		return nil, err
	}
	return c.Show(ctx, name)
}

func (t *tool) restartShowCommand() *cobra.Command {
	follow := false
	cmd := &cobra.Command{
		Use:   "show CONTROLLER[/TIME]",
		Short: "Show a restart: what was found, and what is still awaited",
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
				if !follow || e.CompletedAt != 0 || !retry.Sleep(cmd.Context(), followEvery) {
					return nil
				}
			}
		},
	}
	cmd.Flags().BoolVar(&follow, "follow", false, "show it again and again until it has settled")
	return cmd
}

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
	cmd.Flags().StringVar(&path, "file", "", "where to write it; without it, to standard output")
	return cmd
}

// oneArgument is the check for a command with one argument.
func oneArgument(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("want one name, not %d", len(args))}
	}
	return nil
}

func writeRestarts(out io.Writer, all []restartctl.Episode) {
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tSTATE\tCAUSE\tTOOK\tPARTS\tAWAITED")
		for _, e := range all {
			if e.Invalid != "" {
				fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t%s\n", e.Name, e.State(), e.Invalid)
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1fs\t%v\t%s\n", e.Name, e.State(), e.Cause, e.TookS, e.Shards, awaited(&e))
		}
	})
}

// awaited tells what a restart still waits for.
func awaited(e *restartctl.Episode) string {
	if e.PendingTasks+e.SilentMachines == 0 {
		return "-"
	}
	return fmt.Sprintf("%d tasks, %d machines", e.PendingTasks, e.SilentMachines)
}

func writeRestart(out io.Writer, e *restartctl.Episode) {
	table(out, func(w io.Writer) {
		fmt.Fprintf(w, "name\t%s\nstate\t%s\ncause\t%s\ntook\t%.1fs\nparts\t%v\nawaited\t%s\n", e.Name, e.State(), e.Cause, e.TookS, e.Shards, awaited(e))
		if e.SilentMachines > 0 {
			fmt.Fprintln(w, "why\ttheir work keeps its place until they report, begin a new session or are given back")
		}
		if len(e.PendingNames) > 0 {
			fmt.Fprintf(w, "not heard\t%s\n", strings.Join(e.PendingNames, " "))
		}
		for _, verdict := range slices.Sorted(maps.Keys(e.Outcomes)) {
			fmt.Fprintf(w, "%s\t%d\n", verdict, e.Outcomes[verdict])
		}
		peak := 0
		for _, n := range e.CommandsPerSecond {
			peak = max(peak, n)
		}
		fmt.Fprintf(w, "orders in a second\t%d at most, of %.1f\n", peak, e.CommandLimit)
		fmt.Fprintf(w, "contradictory claims\t%d\nmalformed records\t%d\n", e.Contradictions, e.Malformed)
	})
}
