package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// commandLines lists a command with its flags, and those below it.
func commandLines(c *cobra.Command) []string {
	out := []string{c.CommandPath() + " | " + c.Use}
	c.LocalFlags().VisitAll(func(f *pflag.Flag) {
		out = append(out, fmt.Sprintf("  --%s -%s %s %q", f.Name, f.Shorthand, f.Value.Type(), f.DefValue))
	})
	for _, sub := range c.Commands() {
		out = append(out, commandLines(sub)...)
	}
	return out
}

// Scripts of operators name commands and flags.
func TestCommandLine(t *testing.T) {
	want, err := os.ReadFile("testdata/commands.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(commandLines(command()), "\n") + "\n"; got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
