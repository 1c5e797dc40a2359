package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bramblespur/internal/cloud"
	"bramblespur/internal/config"
	"bramblespur/internal/peer"
	"bramblespur/internal/record"
	"bramblespur/internal/recoverctl"
	"bramblespur/internal/recoverreport"
	"bramblespur/internal/recovery"
	"bramblespur/internal/snapshot"
)

// Limits of recovery.
const (
	recoverTxnBytes = 48 << 10         // of a transaction, well below the protocol's bound
	recoverCloudRPS = 1.0              // requests per second to the cloud
	recoverTimeout  = 10 * time.Minute // of "recover plan" and of "recover apply"
	// recoverShare is the share of the state service's limits that recovery uses. It may be large,
	// since controllers in safe mode send few requests.
	recoverShare = 0.6
)

// recoverCommand returns the command "recover" with its subcommands.
func (t *tool) recoverCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "recover", Short: "Rebuild the records after the state service has lost data"}
	cmd.AddCommand(t.recoverStatusCommand(), t.recoverPlanCommand(), t.recoverDecideCommand(), t.recoverApplyCommand(), t.recoverReportCommand())
	return cmd
}

// recoverClient returns a client that can make and apply plans. It needs the settings file of a controller,
// which names the other controllers and the cloud, and returns a usageError without one.
func (t *tool) recoverClient() (*recoverctl.Client, error) {
	if t.settingsPath == "" {
		return nil, usageError{errors.New("--config is missing: it names the controllers, the cloud and the state service")}
	}
	s, err := config.Load(t.settingsPath)
	if err != nil {
		return nil, usageError{err}
	}
	store, err := t.storeWithin(recoverShare)
	if err != nil {
		return nil, err
	}
	peers := map[string]peer.Caller{s.Label: peer.NewClient(s.PeerListen)}
	for _, p := range s.Peers {
		peers[p.Label] = peer.NewClient(p.Addr)
	}
	return &recoverctl.Client{Store: store, Peers: peers, Cloud: cloud.New(s.Services.Cloud, recoverCloudRPS), Now: t.now,
		Limits: recovery.Limits{ValueBytes: s.Params.State.MaxValueBytes(), TxnOps: s.Params.State.TxnOps, TxnBytes: recoverTxnBytes}}, nil
}

// recordsClient returns a client that can only read and write the records of safe modes and decisions. It
// needs no settings file and calls neither controllers nor the cloud.
func (t *tool) recordsClient() (*recoverctl.Client, error) {
	store, err := t.store()
	if err != nil {
		return nil, err
	}
	return &recoverctl.Client{Store: store, Now: t.now}, nil
}

// recoverStatusCommand returns the command "recover status".
func (t *tool) recoverStatusCommand() *cobra.Command {
	status := func(ctx context.Context, _ []string) (*recovery.SafeMode, error) {
		c, err := t.recordsClient()
		if err != nil {
			return nil, err
		}
		mode, _, err := c.Mode(ctx)
		if err == nil && mode == nil {
			mode = &recovery.SafeMode{}
		}
		return mode, err
	}
	return queryCommand(t, "status", "Show whether there is a safe mode, since when and why", cobra.NoArgs, status, writeSafeMode)
}

// writeSafeMode writes the state of the safe mode in one line.
func writeSafeMode(out io.Writer, m *recovery.SafeMode) {
	if !m.Active {
		fmt.Fprintln(out, "no safe mode")
		return
	}
	fmt.Fprintf(out, "safe mode %d since %s, noticed by %s: %s\n", m.Epoch, time.UnixMilli(m.Since).UTC().Format(time.RFC3339), m.By, m.Sign)
}

// snapshotChoice holds the flags that choose the snapshot for a plan.
type snapshotChoice struct {
	directory, name string // directory is empty if no snapshot is used
	partial         bool   // use the undamaged sections of a damaged snapshot
}

// latestSnapshot is the value of --snapshot that chooses the newest snapshot with a valid manifest.
const latestSnapshot = "latest"

// read reads the chosen snapshot. It returns nil if there is no directory, an error that wraps
// [snapshot.ErrUnknown] if there is no such snapshot, and an error for a damaged one unless partial is set.
func (s *snapshotChoice) read() (*snapshot.Contents, error) {
	if s.directory == "" {
		return nil, nil
	}
	name := s.name
	if name == latestSnapshot {
		all, err := snapshot.List(s.directory)
		if err != nil {
			return nil, err
		}
		usable := slices.DeleteFunc(all, func(l snapshot.Listing) bool { return l.Manifest == nil })
		if len(usable) == 0 {
			return nil, fmt.Errorf("%w in %s", snapshot.ErrUnknown, s.directory)
		}
		name = usable[len(usable)-1].Name
	}
	c, err := snapshot.Read(s.directory, name)
	if err != nil {
		return nil, err
	}
	if err := damageError(c); err != nil && !s.partial {
		return nil, fmt.Errorf("%w with --partial", err)
	}
	return c, nil
}

// checkSameCluster returns an error that wraps [snapshot.ErrOtherCluster] if the snapshot is of another
// cluster than the store. Without a snapshot, and if the store has lost the cluster's record, it returns nil.
func checkSameCluster(s *snapshot.Contents, g *recoverctl.Gathered) error {
	var own snapshot.Cluster
	e, ok := g.Store[record.ClusterKey]
	if s == nil || !ok || json.Unmarshal(e.Value, &own) != nil || own.ID == s.Manifest.Cluster {
		return nil
	}
	return fmt.Errorf("%w: %s, this one is %s", snapshot.ErrOtherCluster, s.Manifest.Cluster, own.ID)
}

// recoverPlanCommand returns the command "recover plan".
func (t *tool) recoverPlanCommand() *cobra.Command {
	var from snapshotChoice
	var path string
	cmd := &cobra.Command{
		Use:   "plan",
		Short: "Gather the evidence and write a plan to a file; no record is changed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return usageError{errors.New("--file is missing")}
			}
			c, err := t.recoverClient()
			if err != nil {
				return err
			}
			s, err := from.read()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), recoverTimeout)
			defer cancel()
			g, err := c.Gather(ctx, s)
			if err != nil {
				return err
			}
			if err := checkSameCluster(s, g); err != nil {
				return err
			}
			p := recovery.NewPlan(g.Evidence, c.Limits)
			if err := writePlan(path, p); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			return t.print(out, p, func() { writePlanText(out, p, g.Unreachable) })
		},
	}
	cmd.Flags().StringVar(&from.directory, "dir", "", "directory of the snapshots; without it, none is used")
	cmd.Flags().StringVar(&from.name, "snapshot", latestSnapshot, "name of the snapshot")
	cmd.Flags().BoolVar(&from.partial, "partial", false, "use what can be read of a damaged snapshot")
	cmd.Flags().StringVar(&path, "file", "", "file to write the plan to; it must not exist")
	return cmd
}

// writePlan writes a plan to a new file. It returns an error if the file exists, and deletes it again if
// writing fails.
func writePlan(path string, p *recovery.Plan) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	e := json.NewEncoder(file)
	e.SetIndent("", " ")
	if err := errors.Join(e.Encode(p), file.Sync(), file.Close()); err != nil {
		return errors.Join(err, os.Remove(path))
	}
	return nil
}

// readPlan reads a plan from a file. It returns a usageError if path is empty or the file is not a plan.
func readPlan(path string) (*recovery.Plan, error) {
	if path == "" {
		return nil, usageError{errors.New("--file is missing")}
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	p := &recovery.Plan{}
	if err := json.Unmarshal(b, p); err != nil || p.Epoch == 0 {
		return nil, usageError{fmt.Errorf("%s is not a plan", path)}
	}
	return p, nil
}

// maxShownItems is how many records of an outcome are named in the text of a plan.
const maxShownItems = 20

// writePlanText writes the number of records with each outcome, and names those that were lost or are
// undecided. unreachable has the labels of controllers without evidence.
func writePlanText(out io.Writer, p *recovery.Plan, unreachable []string) {
	for _, label := range unreachable {
		fmt.Fprintf(out, "controller %s did not answer: its evidence is missing\n", label)
	}
	count := p.Count()
	for _, outcome := range []recovery.Outcome{recovery.Intact, recovery.Recovered, recovery.Finished, recovery.Lost, recovery.Undecided} {
		fmt.Fprintf(out, "%-14s %d\n", outcome, count[outcome])
	}
	for _, outcome := range []recovery.Outcome{recovery.Lost, recovery.Undecided} {
		shown := 0
		for _, i := range p.Items {
			if i.Outcome != outcome {
				continue
			}
			if shown++; shown > maxShownItems {
				fmt.Fprintf(out, "... and %d more, in the plan\n", count[outcome]-maxShownItems)
				break
			}
			fmt.Fprintf(out, "%s: %s: %s%s\n", outcome, i.Key, i.Why, formatChoices(i))
		}
	}
}

// formatChoices returns the decisions that an operator has about an undecided record, in parentheses, or an
// empty string if there are none.
func formatChoices(i recovery.Item) string {
	if len(i.Choices) == 0 {
		return ""
	}
	var all []string
	for _, c := range i.Choices {
		all = append(all, string(c))
	}
	return " (" + strings.Join(all, ", ") + ")"
}

// recoverDecideCommand returns the command "recover decide".
func (t *tool) recoverDecideCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "decide KEY done|cancelled|again|forget",
		Short: "Decide about an undecided record; make a new plan after that",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 2 {
				return usageError{fmt.Errorf("want a key and a choice, not %d words", len(args))}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			key, choice := args[0], recovery.Decision(args[1])
			if !strings.HasPrefix(key, record.ActiveJobPrefix) && !strings.HasPrefix(key, record.FinishedJobPrefix) {
				return usageError{fmt.Errorf("%s is not the key of a job", key)}
			}
			all := []recovery.Decision{recovery.DecideDone, recovery.DecideCancelled, recovery.DecideRerun, recovery.DecideForget}
			if !slices.Contains(all, choice) {
				return usageError{fmt.Errorf("%q is none of the choices: want done, cancelled, again or forget", choice)}
			}
			c, err := t.recordsClient()
			if err != nil {
				return err
			}
			if err := c.Decide(cmd.Context(), key, choice); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", key, choice)
			return nil
		},
	}
}

// recoverApplyCommand returns the command "recover apply".
func (t *tool) recoverApplyCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Apply a plan and end the safe mode; may be repeated after any interruption",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := readPlan(path)
			if err != nil {
				return err
			}
			c, err := t.recoverClient()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), recoverTimeout)
			defer cancel()
			progress := func(done, all int) { fmt.Fprintf(cmd.ErrOrStderr(), "\r%d of %d transactions", done, all) }
			if err := c.Apply(ctx, p, progress); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the safe mode has ended")
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "file with the plan")
	return cmd
}

// recoverReportCommand returns the command "recover report".
func (t *tool) recoverReportCommand() *cobra.Command {
	var path, to string
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Write the report of a plan: one HTML page, or JSON with --output json",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := readPlan(path)
			if err != nil {
				return err
			}
			write := func(w io.Writer) error { return recoverreport.HTML(w, p) }
			if t.output == jsonOutput {
				write = func(w io.Writer) error { return recoverreport.JSON(w, p) }
			}
			return writeTo(cmd.OutOrStdout(), to, write)
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "file with the plan")
	cmd.Flags().StringVar(&to, "to", "", "file to write the report to (default: standard output)")
	return cmd
}
