// Command bramblespur is the cluster scheduler. Each process runs one controller.
package main

import (
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"bramblespur/internal/config"
	"bramblespur/internal/controller"
	"bramblespur/internal/operations"
	"bramblespur/internal/policy"
)

// version is the program's version; releases set it at link time.
var version = "0.1.0-dev"

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bramblespur:", err)
		os.Exit(2)
	}
}

// newCommand returns the command line of the program.
func newCommand() *cobra.Command {
	var settingsPath, operationsPath string
	root := &cobra.Command{
		Use:           "bramblespur --config FILE",
		Short:         "A cluster scheduler: run one controller",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := load(settingsPath, operationsPath)
			if err != nil {
				return err
			}
			return run(c)
		},
	}
	root.PersistentFlags().StringVar(&settingsPath, "config", "", "settings file (TOML)")
	root.PersistentFlags().StringVar(&operationsPath, "operations", "", "operations file, which turns on optional subsystems (TOML)")
	checkCommand := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Check the settings file, its policy file and the operations file without starting",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(settingsPath, operationsPath); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
	versionCommand := &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "bramblespur", version) },
	}
	root.AddCommand(checkCommand, versionCommand)
	return root
}

// configuration is the checked content of the files that configure a controller.
type configuration struct {
	settings   *config.Settings
	policy     *policy.Policy
	operations *operations.Settings
}

// load reads and checks the settings file, the policy file that it names and the operations file.
func load(settingsPath, operationsPath string) (c configuration, err error) {
	if settingsPath == "" {
		return c, fmt.Errorf("--config is missing")
	}
	if c.settings, err = config.Load(settingsPath); err != nil {
		return c, err
	}
	if c.policy, err = policy.Load(c.settings.PolicyFile); err != nil {
		return c, err
	}
	if c.operations, err = operations.Load(operationsPath); err != nil {
		return c, err
	}
	return c, c.operations.Check(&c.settings.Params)
}

// gcPercent lets the heap grow to five times the live heap between collections: the live heap is a few
// megabytes, and each collection costs a part of the processor share.
const gcPercent = 400

// processors returns the number of threads that may run Go code at a time. On a fraction of a core, a
// second thread only makes the two wake each other.
func processors(r config.Resources) int { return max(1, int(math.Ceil(r.CPUShare))) }

// run sets up the Go runtime and runs the controller until it ends.
func run(c configuration) error {
	// The machines are small: a fraction of a core and a hard memory limit. The runtime therefore
	// uses no more processors, collects garbage rarely, since little of the memory is in use, and
	// collects before the process reaches the hard limit.
	r := c.settings.Params.Resources
	runtime.GOMAXPROCS(processors(r))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(r.HeapBytes())
	return controller.Run(c.settings, c.policy, c.operations, logger(os.Getenv("LOG_LEVEL")))
}

// logger returns a logger to standard error. levelName is error, debug, or anything else for info.
func logger(levelName string) *slog.Logger {
	level := slog.LevelInfo
	switch levelName {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
