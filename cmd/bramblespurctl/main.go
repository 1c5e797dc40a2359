// Command bramblespurctl is the operators' tool: it reads and changes records in the state
// service, by its published protocol.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"bramblespur/internal/config"
	"bramblespur/internal/drain"
	"bramblespur/internal/drainctl"
	"bramblespur/internal/operations"
	"bramblespur/internal/statestore"
)

// Exit codes.
const (
	exitFailure = 1 // what was asked for could not be done
	exitUsage   = 2 // it was not asked for properly
)

// usageError is a command line or a file that makes no sense.
type usageError struct{ error }

// Unwrap returns what is wrong.
func (e usageError) Unwrap() error { return e.error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out a command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	t := &tool{now: time.Now}
	root := t.command()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, "bramblespurctl:", err)
	var usage usageError
	if errors.As(err, &usage) || !t.began {
		return exitUsage
	}
	return exitFailure
}

// tool is what all commands share.
type tool struct {
	settingsPath, stateAddr, operationsPath, output string

	now   func() time.Time
	began bool // the command line was understood
}

// Outputs.
const (
	textOutput = "text"
	jsonOutput = "json"
)

func (t *tool) command() *cobra.Command {
	root := &cobra.Command{
		Use:           "bramblespurctl",
		Short:         "Operate a bramblespur cluster",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if t.output != textOutput && t.output != jsonOutput {
				return usageError{fmt.Errorf("--output is %q, want %s or %s", t.output, textOutput, jsonOutput)}
			}
			t.began = true
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&t.settingsPath, "config", "", "a controller's settings file, which names the state service")
	flags.StringVar(&t.stateAddr, "state", "", "address of the state service, instead of --config")
	flags.StringVar(&t.operationsPath, "operations", "", "the controllers' operations file, for budgets and limits")
	flags.StringVarP(&t.output, "output", "o", textOutput, "text or json")
	root.AddCommand(t.drainCommand(), t.restartCommand(), t.snapshotCommand(), t.recoverCommand())
	return root
}

// Limits that the tool keeps to where no settings tell the state service's.
const (
	usualRPS      = 100.0
	usualWriteRPS = 20.0
)

// store returns the way to the state service, within a small share of its limits.
func (t *tool) store() (statestore.Store, error) { return t.storeWithin(drain.DefaultStoreShare) }

// storeWithin returns the way to the state service, within a share of its limits.
func (t *tool) storeWithin(share float64) (statestore.Store, error) {
	addr := t.stateAddr
	rps, writeRPS := usualRPS, usualWriteRPS
	switch {
	case t.settingsPath != "" && addr != "":
		return nil, usageError{errors.New("--config and --state exclude each other")}
	case t.settingsPath != "":
		s, err := config.Load(t.settingsPath)
		if err != nil {
			return nil, usageError{err}
		}
		addr, rps, writeRPS = s.Services.State, s.Params.State.RPS, s.Params.State.WriteRPS
	case addr == "":
		return nil, usageError{errors.New("--config or --state is missing")}
	}
	return statestore.New(addr, 1, rps*share, writeRPS*share, nil), nil
}

// drainClient returns what reads and changes drains.
func (t *tool) drainClient() (*drainctl.Client, error) {
	if _, err := t.operations(); err != nil {
		return nil, err
	}
	store, err := t.store()
	if err != nil {
		return nil, err
	}
	return &drainctl.Client{Store: store, Now: t.now}, nil
}

// operations returns the operators' settings, or defaults without a file.
func (t *tool) operations() (*operations.Settings, error) {
	if t.operationsPath == "" {
		return operations.Defaults(), nil
	}
	s, err := operations.Load(t.operationsPath)
	if err != nil {
		return nil, usageError{err}
	}
	if s.Drains == nil {
		return nil, usageError{fmt.Errorf("%s does not turn drains on", t.operationsPath)}
	}
	return s, nil
}
