// Command stand runs the cases of the review: it starts the project's stand-ins and controllers, brings
// about one disruption, and judges what users, workers and the cloud saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2 // the case could not run
)

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	flag.Parse()
	rec, err := newRecorder(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalid)
	}
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(invalid)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		rec.close()
		os.Exit(invalid) // the controllers end with their parent
	}()
	code := run(rec, os.Getenv("TROUBLE") != "0")
	rec.say("exit %d", code)
	rec.close()
	os.Exit(code)
}

// cases are the cases by name, each in a file of its own. Each returns its exit code.
var cases = map[string]func(rec *recorder, trouble bool) int{}
