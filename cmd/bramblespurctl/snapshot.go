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

// Defaults and limits of the snapshot commands' flags.
const (
	defaultAnswerTimeout = 15 * time.Second
	defaultKeep          = 24 // snapshots
	defaultKeepDays      = 7
	// minSnapshotInterval bounds how often snapshots are taken, since each reads all records.
	minSnapshotInterval = time.Minute
)

// snapshotFlags holds the flags that several snapshot commands share.
type snapshotFlags struct {
	directory string
	retention snapshot.Retention
}

// check returns a usageError if the directory is missing or the retention is invalid.
func (f *snapshotFlags) check() error {
	if f.directory == "" {
		return usageError{errors.New("--dir is missing")}
	}
	if err := f.retention.Check(); err != nil {
		return usageError{fmt.Errorf("--%w", err)}
	}
	return nil
}

// snapshotCommand returns the command "snapshot" with its subcommands.
func (t *tool) snapshotCommand() *cobra.Command {
	f := &snapshotFlags{retention: snapshot.Retention{Latest: defaultKeep, Days: defaultKeepDays}}
	cmd := &cobra.Command{Use: "snapshot", Short: "Copy all records of the state service into files"}
	cmd.PersistentFlags().StringVar(&f.directory, "dir", "", "directory of the snapshots")
	cmd.AddCommand(t.snapshotTakeCommand(f), t.snapshotListCommand(f), t.snapshotVerifyCommand(f), t.snapshotPruneCommand(f))
	return cmd
}

// addRetentionFlags adds the flags that say which snapshots are kept.
func (f *snapshotFlags) addRetentionFlags(cmd *cobra.Command) {
	cmd.Flags().IntVar(&f.retention.Latest, "keep", defaultKeep, "how many of the newest snapshots are kept")
	cmd.Flags().IntVar(&f.retention.Days, "keep-days", defaultKeepDays, "for how many days the last snapshot of each day is kept as well")
}

// snapshotTakeCommand returns the command "snapshot take".
func (t *tool) snapshotTakeCommand(f *snapshotFlags) *cobra.Command {
	var interval, answerTimeout time.Duration
	cmd := &cobra.Command{
		Use:   "take",
		Short: "Take a snapshot, or take snapshots periodically with --every",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := f.check(); err != nil {
				return err
			}
			if interval != 0 && interval < minSnapshotInterval {
				return usageError{fmt.Errorf("--every is %v, want %v at least", interval, minSnapshotInterval)}
			}
			store, err := t.store()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			taker := &snapshot.Taker{Source: store, Directory: f.directory, AnswerTimeout: answerTimeout, Now: t.now, Sleep: sleep}
			if interval == 0 {
				return t.takeSnapshot(ctx, cmd.OutOrStdout(), taker)
			}
			return t.takePeriodically(ctx, cmd, taker, f.retention, interval)
		},
	}
	cmd.Flags().DurationVar(&interval, "every", 0, "interval at which snapshots are taken; old ones are pruned after each")
	cmd.Flags().DurationVar(&answerTimeout, "timeout", defaultAnswerTimeout, "time after the state service's last answer at which the command gives up")
	f.addRetentionFlags(cmd)
	return cmd
}

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if !retry.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// takeSnapshot takes one snapshot and prints its manifest.
func (t *tool) takeSnapshot(ctx context.Context, out io.Writer, taker *snapshot.Taker) error {
	m, err := taker.Take(ctx)
	if err != nil {
		return err
	}
	return t.print(out, m, func() {
		fmt.Fprintf(out, "%s: %d records, %d bytes, %d requests, %.1fs\n", m.Name(), m.Records(), m.Bytes(), m.Requests, m.Taken.Sub(m.Began).Seconds())
		if m.Span != nil {
			fmt.Fprintf(out, "not of one revision, but of revisions %d to %d: %s\n", m.Span.From, m.Span.To, m.Span.Reason)
		}
	})
}

// takePeriodically takes a snapshot at each interval and prunes the directory after it, until the context
// ends; then it returns nil. It prints the error of a snapshot that fails. The next one resumes it and does
// not read again what has been read.
func (t *tool) takePeriodically(ctx context.Context, cmd *cobra.Command, taker *snapshot.Taker, retention snapshot.Retention, interval time.Duration) error {
	for {
		began := t.now()
		err := t.takeSnapshot(ctx, cmd.OutOrStdout(), taker)
		if err == nil {
			_, err = snapshot.Prune(taker.Directory, retention, t.now())
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			fmt.Fprintln(cmd.ErrOrStderr(), "bramblespurctl:", err)
		}
		if !retry.Sleep(ctx, interval-t.now().Sub(began)) {
			return nil
		}
	}
}

// snapshotListCommand returns the command "snapshot list".
func (t *tool) snapshotListCommand(f *snapshotFlags) *cobra.Command {
	list := func(context.Context, []string) ([]snapshot.Listing, error) {
		if err := f.check(); err != nil {
			return nil, err
		}
		return snapshot.List(f.directory)
	}
	return queryCommand(t, "list", "List the snapshots in a directory", cobra.NoArgs, list, writeSnapshots)
}

// writeSnapshots writes a line for each snapshot.
func writeSnapshots(out io.Writer, all []snapshot.Listing) {
	writeTable(out, func(w io.Writer) {
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

// damageError returns an error of one line that names the sections of a snapshot that cannot be read, or
// nil if there are none.
func damageError(c *snapshot.Contents) error {
	if len(c.Damaged) == 0 {
		return nil
	}
	var all []string
	for _, d := range c.Damaged {
		all = append(all, d.Error())
	}
	return fmt.Errorf("%s; %d records of other sections can be read", strings.Join(all, "; "), len(c.Records))
}

// snapshotVerifyCommand returns the command "snapshot verify".
func (t *tool) snapshotVerifyCommand(f *snapshotFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "verify NAME",
		Short: "Read a whole snapshot and check that no section is damaged",
		Args:  oneArgument,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.check(); err != nil {
				return err
			}
			c, err := snapshot.Read(f.directory, args[0])
			if err != nil {
				return err
			}
			if err := damageError(c); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			return t.print(out, c.Manifest, func() { fmt.Fprintf(out, "%s is intact: %d records\n", args[0], len(c.Records)) })
		},
	}
}

// snapshotPruneCommand returns the command "snapshot prune".
func (t *tool) snapshotPruneCommand(f *snapshotFlags) *cobra.Command {
	prune := func(context.Context, []string) ([]string, error) {
		if err := f.check(); err != nil {
			return nil, err
		}
		return snapshot.Prune(f.directory, f.retention, t.now())
	}
	cmd := queryCommand(t, "prune", "Delete the snapshots that --keep and --keep-days do not keep", cobra.NoArgs, prune, func(out io.Writer, names []string) {
		for _, name := range names {
			fmt.Fprintln(out, name)
		}
	})
	f.addRetentionFlags(cmd)
	return cmd
}
