package main

import (
	"os"
	"strings"
	"testing"

	"bramblespur/internal/testkit"
)

// Operators' scripts use the commands and flags, so they must not change.
func TestCommandLine(t *testing.T) {
	want, err := os.ReadFile("testdata/commands.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(testkit.CommandLines(newCommand()), "\n") + "\n"; got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
