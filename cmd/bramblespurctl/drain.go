package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bramblespur/internal/drain"
	"bramblespur/internal/drainctl"
	"bramblespur/internal/drainreport"
)

// drainCommand returns the command "drain" with its subcommands.
func (t *tool) drainCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "drain", Short: "Drain and replace machines, step by step"}
	cmd.AddCommand(t.drainStartCommand(), t.drainListCommand(), t.drainShowCommand(), t.drainReportCommand(),
		t.drainChangeCommand("pause", "Pause a drain: no further machine is cordoned or released, and no work is evicted", drain.Paused),
		t.drainChangeCommand("resume", "Resume a paused drain", drain.Active),
		t.drainChangeCommand("cancel", "Cancel a drain and lift its cordons", drain.Cancelled))
	return cmd
}

// drainStartFlags holds the flags of "drain start".
type drainStartFlags struct {
	plan         drain.Plan // the flags that need no conversion are stored here directly
	olderThan    time.Duration
	rentedBefore string
	finishBy     string
	dryRun       bool
}

// drainStartCommand returns the command "drain start".
func (t *tool) drainStartCommand() *cobra.Command {
	var f drainStartFlags
	cmd := &cobra.Command{
		Use:   "start NAME",
		Short: "Start a drain, or print its steps with --dry-run",
		Args:  drainNameArgument,
		RunE: func(cmd *cobra.Command, args []string) error {
			f.plan.Name = args[0]
			if err := f.complete(t.now()); err != nil {
				return usageError{err}
			}
			return t.startDrain(cmd.Context(), cmd.OutOrStdout(), &f)
		},
	}
	s := &f.plan.Selector
	flags := cmd.Flags()
	flags.StringSliceVar(&s.Machines, "machine", nil, "these machines, by ID")
	flags.StringSliceVar(&s.Types, "type", nil, "all machines of these types")
	flags.StringSliceVar(&s.Zones, "zone", nil, "all machines in these zones")
	flags.DurationVar(&f.olderThan, "older-than", 0, "all machines provisioned longer ago than this, since a machine keeps the image of that time: 72h")
	flags.StringVar(&f.rentedBefore, "rented-before", "", "all machines provisioned before this time: 2026-11-01T00:00:00Z")
	flags.IntVar(&f.plan.MaxConcurrent, "at-once", 1, "how many machines the drain may have cordoned at a time")
	flags.StringVar(&f.finishBy, "finish-by", "", "when the drain should have ended: a time (RFC 3339) or a duration from now")
	flags.BoolVar(&f.plan.Force, "force", false, "evict beyond the disruption budgets once --finish-by is past; this is recorded")
	flags.StringVar(&f.plan.Reason, "reason", "", "why the machines are drained; this is recorded")
	flags.BoolVar(&f.dryRun, "dry-run", false, "print the steps and start nothing")
	return cmd
}

// complete fills in the rest of the plan from the flags, and checks it.
func (f *drainStartFlags) complete(now time.Time) error {
	p := &f.plan
	p.State, p.Created = drain.Active, now.UnixMilli()
	if f.rentedBefore != "" && f.olderThan != 0 {
		return errors.New("--rented-before and --older-than exclude each other")
	}
	if f.olderThan < 0 {
		return errors.New("--older-than is negative")
	}
	if f.olderThan > 0 {
		p.Selector.RentedBefore = now.Add(-f.olderThan).UnixMilli()
	}
	if f.rentedBefore != "" {
		at, err := time.Parse(time.RFC3339, f.rentedBefore)
		if err != nil {
			return fmt.Errorf("--rented-before: %w", err)
		}
		p.Selector.RentedBefore = at.UnixMilli()
	}
	if f.finishBy != "" {
		at, err := timeOrDuration(f.finishBy, now)
		if err != nil {
			return fmt.Errorf("--finish-by: %w", err)
		}
		p.FinishBy = at.UnixMilli()
	}
	return p.Check()
}

// timeOrDuration parses a time in RFC 3339, or a duration from now.
func timeOrDuration(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	return time.Parse(time.RFC3339, text)
}

// startDrain starts the drain, or for a dry run prints its steps.
func (t *tool) startDrain(ctx context.Context, out io.Writer, f *drainStartFlags) error {
	c, err := t.drainClient()
	if err != nil {
		return err
	}
	if !f.dryRun {
		if err := c.Start(ctx, f.plan); err != nil {
			return err
		}
		return t.print(out, f.plan, func() { fmt.Fprintf(out, "drain %s started\n", f.plan.Name) })
	}
	ops, err := t.operations()
	if err != nil {
		return err
	}
	steps, err := c.DryRun(ctx, f.plan, ops.Drains)
	if err != nil {
		return err
	}
	return t.print(out, steps, func() { writeSteps(out, steps) })
}

// drainNameArgument returns a usageError unless there is one argument that is a valid name of a drain.
func drainNameArgument(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("want the name of one drain, not %d", len(args))}
	}
	if err := drain.CheckName(args[0]); err != nil {
		return usageError{err}
	}
	return nil
}

// drainChangeCommand returns the command "drain VERB", which changes the state of a drain.
func (t *tool) drainChangeCommand(verb, short string, to drain.State) *cobra.Command {
	return &cobra.Command{
		Use:   verb + " NAME",
		Short: short,
		Args:  drainNameArgument,
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := t.drainClient()
			if err != nil {
				return err
			}
			if err := c.Change(cmd.Context(), args[0], to); err != nil {
				return err
			}
			changed := struct {
				Name  string      `json:"name"`
				State drain.State `json:"state"`
			}{args[0], to}
			out := cmd.OutOrStdout()
			return t.print(out, changed, func() { fmt.Fprintf(out, "drain %s is %s\n", args[0], to) })
		},
	}
}

// drainListCommand returns the command "drain list".
func (t *tool) drainListCommand() *cobra.Command {
	list := func(ctx context.Context, _ []string) ([]drainctl.Summary, error) {
		c, err := t.drainClient()
		if err != nil {
			return nil, err
		}
		return c.List(ctx)
	}
	return queryCommand(t, "list", "List all drains", cobra.NoArgs, list, writeDrains)
}

// drainShowCommand returns the command "drain show".
func (t *tool) drainShowCommand() *cobra.Command {
	show := func(ctx context.Context, args []string) (*drainctl.Status, error) { return t.drainStatus(ctx, args[0]) }
	return queryCommand(t, "show NAME", "Show a drain: its progress, and what holds it up", drainNameArgument, show, writeDrainStatus)
}

// drainStatus reads the status of a drain by its name.
func (t *tool) drainStatus(ctx context.Context, name string) (*drainctl.Status, error) {
	c, err := t.drainClient()
	if err != nil {
		return nil, err
	}
	return c.Show(ctx, name)
}

// drainReportCommand returns the command "drain report". The report shows budgets only with --operations.
func (t *tool) drainReportCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "report NAME",
		Short: "Write the report of a drain: one HTML page, or JSON with --output json",
		Args:  drainNameArgument,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := t.drainStatus(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			var settings *drain.Settings
			if t.operationsPath != "" {
				ops, err := t.operations()
				if err != nil {
					return err
				}
				settings = ops.Drains
			}
			return t.writeDrainReport(cmd.OutOrStdout(), path, drainreport.New(s, settings, t.now()))
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "file to write the report to (default: standard output)")
	return cmd
}

// writeDrainReport writes a report as JSON or HTML to the file at path, or to out if path is empty.
func (t *tool) writeDrainReport(out io.Writer, path string, r *drainreport.Report) error {
	if t.output == jsonOutput {
		return writeTo(out, path, r.JSON)
	}
	return writeTo(out, path, r.HTML)
}
