// Command bramblespur is the cluster scheduler: one process per controller.
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
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bramblespur:", err)
		os.Exit(2)
	}
}

func command() *cobra.Command {
	var path, operationsPath string
	root := &cobra.Command{
		Use:           "bramblespur --config FILE",
		Short:         "A cluster scheduler: run one controller",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := load(path, operationsPath)
			if err != nil {
				return err
			}
			return run(l)
		},
	}
	root.PersistentFlags().StringVar(&path, "config", "", "settings file (TOML)")
	root.PersistentFlags().StringVar(&operationsPath, "operations", "", "operators' file of what else is turned on (TOML)")
	check := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Check the settings, the policy they name and the operations file without starting",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(path, operationsPath); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
	ver := &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "bramblespur", version) },
	}
	root.AddCommand(check, ver)
	return root
}

// loaded is all that a controller is configured by.
type loaded struct {
	settings   *config.Settings
	policy     *policy.Policy
	operations *operations.Settings
}

func load(path, operationsPath string) (l loaded, err error) {
	if path == "" {
		return l, fmt.Errorf("--config is missing")
	}
	if l.settings, err = config.Load(path); err != nil {
		return l, err
	}
	if l.policy, err = policy.Load(l.settings.PolicyFile); err != nil {
		return l, err
	}
	if l.operations, err = operations.Load(operationsPath); err != nil {
		return l, err
	}
	return l, l.operations.Check(&l.settings.Params)
}

// gcPercent lets the heap grow to five times what lives between collections:
// some megabytes live, and each collection costs a part of the processor's share.
const gcPercent = 400

// heapShare is the part of the memory left to the runtime that it may fill: its
// limit is a soft one, which a burst of requests passes before a collection ends.
const heapShare = 0.85

// memoryLimit is the runtime's memory limit in bytes. What the process holds besides
// is taken off first: it is the same on small machines as on large ones.
func memoryLimit(r config.Resources) int64 {
	return int64((r.MemoryMB - config.NonRuntimeMB) * heapShare * (1 << 20))
}

// processors is how many threads run Go code at a time. A second one on a share of
// a core only makes the two wake each other.
func processors(r config.Resources) int { return max(1, int(math.Ceil(r.CPUShare))) }

func run(l loaded) error {
	// The machines are small: a share of a core and a hard memory limit, so the
	// runtime gets no more processors, collects garbage seldom, since little of
	// the memory is in use, and in time before the limit bites.
	r := l.settings.Params.Resources
	runtime.GOMAXPROCS(processors(r))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(r))
	return controller.Run(l.settings, l.policy, l.operations, logger(os.Getenv("LOG_LEVEL")))
}

func logger(level string) *slog.Logger {
	l := slog.LevelInfo
	switch level {
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
