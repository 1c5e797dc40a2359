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

// Bounds of what recovery writes and asks.
const (
	recoverTxnBytes = 48 << 10 // of a transaction, well below the protocol's bound
	recoverCloudRPS = 1.0
	recoverTimeout  = 10 * time.Minute
	// recoverShare is the share of the state service's limits that recovery uses: while there
	// is a safe mode, controllers need little.
	recoverShare = 0.6
)

func (t *tool) recoverCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "recover", Short: "Rebuild the records after the state service has lost data"}
	cmd.AddCommand(t.recoverStatusCommand(), t.recoverPlanCommand(), t.recoverDecideCommand(), t.recoverApplyCommand(), t.recoverReportCommand())
	return cmd
}

// recoverClient returns what recovers a cluster. It needs a controller's settings, which name
// the other controllers and the cloud.
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

// recordsClient returns what reads and writes recovery's own records, without the cluster.
func (t *tool) recordsClient() (*recoverctl.Client, error) {
	store, err := t.store()
	if err != nil {
		return nil, err
	}
	return &recoverctl.Client{Store: store, Now: t.now}, nil
}

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
	return reading(t, "status", "Tell whether there is a safe mode, since when and why", cobra.NoArgs, status, writeMode)
}

func writeMode(out io.Writer, m *recovery.SafeMode) {
	if !m.Active {
		fmt.Fprintln(out, "no safe mode")
		return
	}
	fmt.Fprintf(out, "safe mode %d since %s, noticed by %s: %s\n", m.Epoch, time.UnixMilli(m.Since).UTC().Format(time.RFC3339), m.By, m.Sign)
}

// snapshotChoice is how a plan's snapshot is chosen.
type snapshotChoice struct {
	directory, name string
	partial         bool
}

// latestSnapshot is the name that stands for the newest usable snapshot.
const latestSnapshot = "latest"

// read reads the chosen snapshot, nil if none is wanted.
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
	if err := damaged(c); err != nil && !s.partial {
		return nil, fmt.Errorf("%w with --partial", err)
	}
	return c, nil
}

// sameCluster refuses a snapshot of another cluster, as far as the store still tells its own.
func sameCluster(s *snapshot.Contents, g *recoverctl.Gathered) error {
	var own snapshot.Cluster
	e, ok := g.Store[record.ClusterKey]
	if s == nil || !ok || json.Unmarshal(e.Value, &own) != nil || own.ID == s.Manifest.Cluster {
		return nil
	}
	return fmt.Errorf("%w: %s, this one is %s", snapshot.ErrOtherCluster, s.Manifest.Cluster, own.ID)
}

func (t *tool) recoverPlanCommand() *cobra.Command {
	var from snapshotChoice
	var path string
	cmd := &cobra.Command{
		Use:   "plan",
		Short: "Gather the evidence and write a plan to a file; nothing is changed",
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
			if err := sameCluster(s, g); err != nil {
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
	cmd.Flags().StringVar(&from.directory, "dir", "", "the directory of the snapshots; without it, none is used")
	cmd.Flags().StringVar(&from.name, "snapshot", latestSnapshot, "the snapshot's name")
	cmd.Flags().BoolVar(&from.partial, "partial", false, "use what can be read of a damaged snapshot")
	cmd.Flags().StringVar(&path, "file", "", "where the plan is written; it must not exist")
	return cmd
}

// writePlan writes a plan to a new file, or leaves none.
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

// readPlan reads a plan.
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

// shownItems is how many records of a verdict are named.
const shownItems = 20

func writePlanText(out io.Writer, p *recovery.Plan, silent []string) {
	for _, label := range silent {
		fmt.Fprintf(out, "controller %s did not answer: what it holds is missing\n", label)
	}
	count := p.Count()
	for _, v := range []recovery.Outcome{recovery.Intact, recovery.Recovered, recovery.Finished, recovery.Lost, recovery.Undecided} {
		fmt.Fprintf(out, "%-14s %d\n", v, count[v])
	}
	for _, v := range []recovery.Outcome{recovery.Lost, recovery.Undecided} {
		shown := 0
		for _, i := range p.Items {
			if i.Outcome != v {
				continue
			}
			if shown++; shown > shownItems {
				fmt.Fprintf(out, "... and %d more, in the plan\n", count[v]-shownItems)
				break
			}
			fmt.Fprintf(out, "%s: %s: %s%s\n", v, i.Key, i.Why, choices(i))
		}
	}
}

func choices(i recovery.Item) string {
	if len(i.Choices) == 0 {
		return ""
	}
	var all []string
	for _, c := range i.Choices {
		all = append(all, string(c))
	}
	return " (" + strings.Join(all, ", ") + ")"
}

func (t *tool) recoverDecideCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "decide KEY done|cancelled|again|forget",
		Short: "Decide about an undecided record; make the plan anew after that",
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
				return usageError{fmt.Errorf("%q is none of the choices", choice)}
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

func (t *tool) recoverApplyCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Carry a plan out and end the safe mode; it may be repeated after any cut",
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
			fmt.Fprintln(cmd.OutOrStdout(), "the safe mode is over")
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "the plan")
	return cmd
}

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
	cmd.Flags().StringVar(&path, "file", "", "the plan")
	cmd.Flags().StringVar(&to, "to", "", "where to write it; without it, to standard output")
	return cmd
}
