package testkit

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// CommandLines describes a command, its flags and its subcommands, one line for each.
func CommandLines(c *cobra.Command) []string {
	out := []string{c.CommandPath() + " | " + c.Use}
	c.LocalFlags().VisitAll(func(f *pflag.Flag) {
		out = append(out, fmt.Sprintf("  --%s -%s %s %q", f.Name, f.Shorthand, f.Value.Type(), f.DefValue))
	})
	for _, sub := range c.Commands() {
		out = append(out, CommandLines(sub)...)
	}
	return out
}
