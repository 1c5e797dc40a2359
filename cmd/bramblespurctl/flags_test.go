package main

import (
	"os"
	"strings"
	"testing"

	"bramblespur/internal/testkit"
)

// Operators' scripts depend on the names of commands and flags and on the defaults, which must not change.
func TestCommandLine(t *testing.T) {
	want, err := os.ReadFile("testdata/commands.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(testkit.CommandLines((&tool{}).command()), "\n") + "\n"; got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
