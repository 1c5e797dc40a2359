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

func (t *tool) drainCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "drain", Short: "Drain and replace machines, step by step"}
	cmd.AddCommand(t.startCommand(), t.listCommand(), t.showCommand(), t.reportCommand(),
		t.changeCommand("pause", "Begin nothing new for a drain", drain.Paused),
		t.changeCommand("resume", "Go on with a paused drain", drain.Active),
		t.changeCommand("cancel", "End a drain and lift its cordons", drain.Cancelled))
	return cmd
}

// startFlags are the flags of "drain start".
type startFlags struct {
	plan         drain.Plan
	olderThan    time.Duration
	rentedBefore string
	finishBy     string
	dryRun       bool
}

func (t *tool) startCommand() *cobra.Command {
	var f startFlags
	cmd := &cobra.Command{
		Use:   "start NAME",
		Short: "Ask for a drain",
		Args:  oneName,
		RunE: func(cmd *cobra.Command, args []string) error {
			f.plan.Name = args[0]
			if err := f.complete(t.now()); err != nil {
				return usageError{err}
			}
			return t.start(cmd.Context(), cmd.OutOrStdout(), &f)
		},
	}
	s := &f.plan.Selector
	flags := cmd.Flags()
	flags.StringSliceVar(&s.Machines, "machine", nil, "machines by name")
	flags.StringSliceVar(&s.Types, "type", nil, "all machines of these types")
	flags.StringSliceVar(&s.Zones, "zone", nil, "all machines in these zones")
	flags.DurationVar(&f.olderThan, "older-than", 0, "all machines whose image is older, as it is that of their rental: 72h")
	flags.StringVar(&f.rentedBefore, "rented-before", "", "all machines rented before a time: 2026-11-01T00:00:00Z")
	flags.IntVar(&f.plan.MaxConcurrent, "at-once", 1, "how many machines at a time")
	flags.StringVar(&f.finishBy, "finish-by", "", "when it should be over: a time, or a duration from now")
	flags.BoolVar(&f.plan.Force, "force", false, "past the finish-by, evict beyond the budgets; this is recorded")
	flags.StringVar(&f.plan.Reason, "reason", "", "why")
	flags.BoolVar(&f.dryRun, "dry-run", false, "print the steps and write nothing")
	return cmd
}

// complete makes the plan that the flags ask for.
func (f *startFlags) complete(now time.Time) error {
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

func timeOrDuration(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	return time.Parse(time.RFC3339, text)
}

func (t *tool) start(ctx context.Context, out io.Writer, f *startFlags) error {
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

// oneName is the check for the name of a drain.
func oneName(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("want the name of one drain, not %d", len(args))}
	}
	if err := drain.CheckName(args[0]); err != nil {
		return usageError{err}
	}
	return nil
}

func (t *tool) changeCommand(verb, short string, to drain.State) *cobra.Command {
	return &cobra.Command{
		Use:   verb + " NAME",
		Short: short,
		Args:  oneName,
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

func (t *tool) listCommand() *cobra.Command {
	list := func(ctx context.Context, _ []string) ([]drainctl.Summary, error) {
		c, err := t.drainClient()
		if err != nil {
			return nil, err
		}
		return c.List(ctx)
	}
	return reading(t, "list", "List all drains", cobra.NoArgs, list, writeList)
}

func (t *tool) showCommand() *cobra.Command {
	show := func(ctx context.Context, args []string) (*drainctl.Status, error) { return t.status(ctx, args[0]) }
	return reading(t, "show NAME", "Show a drain: how far it is, and what holds it up", oneName, show, writeStatus)
}

func (t *tool) status(ctx context.Context, name string) (*drainctl.Status, error) {
	c, err := t.drainClient()
	if err != nil {
		return nil, err
	}
	return c.Show(ctx, name)
}

func (t *tool) reportCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "report NAME",
		Short: "Write the report of a drain: one HTML page, or JSON with --output json",
		Args:  oneName,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := t.status(cmd.Context(), args[0])
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
			return t.writeReport(cmd.OutOrStdout(), path, drainreport.New(s, settings, t.now()))
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "where to write it; without it, to standard output")
	return cmd
}

func (t *tool) writeReport(out io.Writer, path string, r *drainreport.Report) error {
	if t.output == jsonOutput {
		return writeTo(out, path, r.JSON)
	}
	return writeTo(out, path, r.HTML)
}
