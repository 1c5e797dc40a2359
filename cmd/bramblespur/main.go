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
	var path string
	root := &cobra.Command{
		Use:           "bramblespur --config FILE",
		Short:         "A cluster scheduler: run one controller",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, pol, err := load(path)
			if err != nil {
				return err
			}
			return run(cfg, pol)
		},
	}
	root.PersistentFlags().StringVar(&path, "config", "", "settings file (TOML)")
	check := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Check the settings and the policy they name without starting",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, _, err := load(path); err != nil {
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

func load(path string) (*config.Settings, *policy.Policy, error) {
	if path == "" {
		return nil, nil, fmt.Errorf("--config is missing")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return nil, nil, err
	}
	pol, err := policy.Load(cfg.PolicyFile)
	return cfg, pol, err
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
	return int64((r.MemoryMB - config.UncountedMB) * heapShare * (1 << 20))
}

// processors is how many threads run Go code at a time. A second one on a share of
// a core only makes the two wake each other.
func processors(r config.Resources) int { return max(1, int(math.Ceil(r.CPUShare))) }

func run(cfg *config.Settings, pol *policy.Policy) error {
	// The machines are small: a share of a core and a hard memory limit, so the
	// runtime gets no more processors, collects garbage seldom, since little of
	// the memory is in use, and in time before the limit bites.
	r := cfg.Params.Resources
	runtime.GOMAXPROCS(processors(r))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(r))
	return controller.Run(cfg, pol, logger(os.Getenv("LOG_LEVEL")))
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
