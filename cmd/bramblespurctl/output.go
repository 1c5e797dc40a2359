package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// queryCommand returns a command that prints the result of read as JSON, or calls text to print it as text.
func queryCommand[T any](t *tool, use, short string, args cobra.PositionalArgs,
	read func(ctx context.Context, args []string) (T, error), text func(io.Writer, T)) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  args,
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := read(cmd.Context(), args)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			return t.print(out, v, func() { text(out, v) })
		},
	}
}

// print writes v as JSON with --output json; otherwise it calls text, which writes the result as text.
func (t *tool) print(out io.Writer, v any, text func()) error {
	if t.output == jsonOutput {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	text()
	return nil
}

// writeTo calls write with the file at path, which it creates or overwrites, or with out if path is empty.
func writeTo(out io.Writer, path string, write func(io.Writer) error) error {
	if path == "" {
		return write(out)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
