// Command bramblespurctl is the operators' tool: it drains machines, shows how controllers settled
// after restarts, takes snapshots of all records, and recovers the records after data loss. It reads and
// changes records in the state service, by its published protocol. Only the planning of a recovery also calls
// the controllers and the cloud.
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
	exitFailure = 1 // the command failed
	exitUsage   = 2 // the command line, or a file that it names, is invalid
)

// usageError wraps errors about an invalid command line, or an invalid file that it names.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs a command line without the program's name and returns the exit code. Results are written to
// out, errors, each in one line, and progress to errOut.
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
	if errors.As(err, &usage) || !t.parsed {
		return exitUsage
	}
	return exitFailure
}

// tool holds the persistent flags and the state that all commands share.
type tool struct {
	settingsPath, stateAddr, operationsPath, output string

	now    func() time.Time
	parsed bool // the flags and arguments are valid: later errors are failures unless they are usageErrors
}

// Values of the flag --output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

// command returns the root command with all subcommands.
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
			t.parsed = true
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&t.settingsPath, "config", "", "settings file of a controller, which names the state service (TOML)")
	flags.StringVar(&t.stateAddr, "state", "", "address of the state service, instead of --config")
	flags.StringVar(&t.operationsPath, "operations", "", "operations file of the controllers, which sets budgets and limits (TOML)")
	flags.StringVarP(&t.output, "output", "o", textOutput, "output format: text or json")
	root.AddCommand(t.drainCommand(), t.restartCommand(), t.snapshotCommand(), t.recoverCommand())
	return root
}

// Limits of the state service that are assumed without a settings file.
const (
	defaultRPS      = 100.0 // requests per second
	defaultWriteRPS = 20.0  // changed keys per second
)

// store returns a client of the state service that uses at most [drain.DefaultStoreShare] of its limits.
func (t *tool) store() (statestore.Store, error) { return t.storeWithin(drain.DefaultStoreShare) }

// storeWithin returns a client of the state service that uses at most the given share of its limits, from
// 0 to 1. It returns a usageError unless exactly one of --config and --state is given.
func (t *tool) storeWithin(share float64) (statestore.Store, error) {
	addr := t.stateAddr
	rps, writeRPS := defaultRPS, defaultWriteRPS
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

// drainClient returns a client for the records of drains. It returns a usageError if the operations file
// is invalid, even if the command does not use it.
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

// operations returns the settings of the operations file, or [operations.Defaults] without a file. It
// returns a usageError if the file is invalid or does not turn drains on.
func (t *tool) operations() (*operations.Settings, error) {
	if t.operationsPath == "" {
		return operations.Defaults(), nil
	}
	s, err := operations.Load(t.operationsPath)
	if err != nil {
		return nil, usageError{err}
	}
	if s.Drains == nil {
		return nil, usageError{fmt.Errorf("%s has no section [drains], so drains are off", t.operationsPath)}
	}
	return s, nil
}
