package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"bramblespur/internal/retry"
	"bramblespur/internal/snapshot"
)

// Defaults of the snapshot commands.
const (
	usualPatience = 15 * time.Second
	usualKeep     = 24
	usualKeepDays = 7
	// shortestEvery bounds how often snapshots are taken: each reads all records.
	shortestEvery = time.Minute
)

// snapshotFlags are what the snapshot commands share.
type snapshotFlags struct {
	directory string
	retention snapshot.Retention
}

func (f *snapshotFlags) check() error {
	if f.directory == "" {
		return usageError{errors.New("--dir is missing")}
	}
	if err := f.retention.Check(); err != nil {
		return usageError{fmt.Errorf("--%w", err)}
	}
	return nil
}

func (t *tool) snapshotCommand() *cobra.Command {
	f := &snapshotFlags{retention: snapshot.Retention{Latest: usualKeep, Days: usualKeepDays}}
	cmd := &cobra.Command{Use: "snapshot", Short: "Copy all records of the state service into files"}
	cmd.PersistentFlags().StringVar(&f.directory, "dir", "", "the directory of the snapshots")
	cmd.AddCommand(t.snapshotTakeCommand(f), t.snapshotListCommand(f), t.snapshotVerifyCommand(f), t.snapshotPruneCommand(f))
	return cmd
}

// retentionFlags adds the flags of what is kept.
func (f *snapshotFlags) retentionFlags(cmd *cobra.Command) {
	cmd.Flags().IntVar(&f.retention.Latest, "keep", usualKeep, "how many of the newest snapshots are kept")
	cmd.Flags().IntVar(&f.retention.Days, "keep-days", usualKeepDays, "of how many days the last snapshot of each is kept, too")
}

func (t *tool) snapshotTakeCommand(f *snapshotFlags) *cobra.Command {
	var every, patience time.Duration
	cmd := &cobra.Command{
		Use:   "take",
		Short: "Take a snapshot, or one again and again with --every",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := f.check(); err != nil {
				return err
			}
			if every != 0 && every < shortestEvery {
				return usageError{fmt.Errorf("--every is %v, want %v at least", every, shortestEvery)}
			}
			store, err := t.store()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			taker := &snapshot.Taker{Source: store, Directory: f.directory, AnswerTimeout: patience, Now: t.now, Sleep: sleepFor}
			if every == 0 {
				return t.takeOne(ctx, cmd.OutOrStdout(), taker)
			}
			return t.takeAgain(ctx, cmd, taker, f.retention, every)
		},
	}
	cmd.Flags().DurationVar(&every, "every", 0, "take one so often, and prune after each")
	cmd.Flags().DurationVar(&patience, "timeout", usualPatience, "how long the state service may leave requests without an answer")
	f.retentionFlags(cmd)
	return cmd
}

// sleepFor waits unless the context ends first.
func sleepFor(ctx context.Context, d time.Duration) error {
	if !retry.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

func (t *tool) takeOne(ctx context.Context, out io.Writer, taker *snapshot.Taker) error {
	m, err := taker.Take(ctx)
	if err != nil {
		return err
	}
	return t.print(out, m, func() {
		fmt.Fprintf(out, "%s: %d records, %d bytes, %d requests, %.1fs\n", m.Name(), m.Records(), m.Bytes(), m.Requests, m.Taken.Sub(m.Began).Seconds())
		if m.Span != nil {
			fmt.Fprintf(out, "not as of one revision but of %d to %d: %s\n", m.Span.From, m.Span.To, m.Span.Reason)
		}
	})
}

// takeAgain takes snapshots until the process is to end. One that fails is told, and the next
// one goes on with what it has read.
func (t *tool) takeAgain(ctx context.Context, cmd *cobra.Command, taker *snapshot.Taker, keep snapshot.Retention, every time.Duration) error {
	for {
		began := t.now()
		err := t.takeOne(ctx, cmd.OutOrStdout(), taker)
		if err == nil {
			_, err = snapshot.Prune(taker.Directory, keep, t.now())
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			fmt.Fprintln(cmd.ErrOrStderr(), "bramblespurctl:", err)
		}
		if !retry.Sleep(ctx, every-t.now().Sub(began)) {
			return nil
		}
	}
}

func (t *tool) snapshotListCommand(f *snapshotFlags) *cobra.Command {
	list := func(context.Context, []string) ([]snapshot.Listing, error) {
		if err := f.check(); err != nil {
			return nil, err
		}
		return snapshot.List(f.directory)
	}
	return reading(t, "list", "List the snapshots in a directory", cobra.NoArgs, list, writeSnapshots)
}

func writeSnapshots(out io.Writer, all []snapshot.Listing) {
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tRECORDS\tBYTES\tREVISION\tCLUSTER")
		for _, l := range all {
			if l.Manifest == nil {
				fmt.Fprintf(w, "%s\t-\t-\t-\t%s\n", l.Name, l.Invalid)
				continue
			}
			m := l.Manifest
			revision := fmt.Sprint(m.Revision)
			if m.Span != nil {
				revision = fmt.Sprintf("%d to %d", m.Span.From, m.Span.To)
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", l.Name, m.Records(), m.Bytes(), revision, m.Cluster)
		}
	})
}

// damaged is an error of one line that names the sections of a snapshot that can't be read.
func damaged(c *snapshot.Contents) error {
	if len(c.Damaged) == 0 {
		return nil
	}
	var all []string
	for _, d := range c.Damaged {
		all = append(all, d.Error())
	}
	return fmt.Errorf("%s; %d records of other sections can be read", strings.Join(all, "; "), len(c.Records))
}

func (t *tool) snapshotVerifyCommand(f *snapshotFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "verify NAME",
		Short: "Read all of a snapshot and check it",
		Args:  oneArgument,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.check(); err != nil {
				return err
			}
			c, err := snapshot.Read(f.directory, args[0])
			if err != nil {
				return err
			}
			if err := damaged(c); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			return t.print(out, c.Manifest, func() { fmt.Fprintf(out, "%s is whole: %d records\n", args[0], len(c.Records)) })
		},
	}
}

func (t *tool) snapshotPruneCommand(f *snapshotFlags) *cobra.Command {
	prune := func(context.Context, []string) ([]string, error) {
		if err := f.check(); err != nil {
			return nil, err
		}
		return snapshot.Prune(f.directory, f.retention, t.now())
	}
	cmd := reading(t, "prune", "Delete the snapshots that are not to be kept", cobra.NoArgs, prune, func(out io.Writer, names []string) {
		for _, name := range names {
			fmt.Fprintln(out, name)
		}
	})
	f.retentionFlags(cmd)
	return cmd
}
