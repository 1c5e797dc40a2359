// Command stand starts a small deployment for one case of the review: the controllers as processes of their own,
// with the command of the deploy file, and stand-ins for the state service, the cloud, the workers and the users. It
// exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	time.AfterFunc(118*time.Second, func() { unable("the case takes too long") })
	run(os.Args[2], os.Getenv("TROUBLE") != "0")
}

// cases are the cases by name. Each gets the path of its record, and whether the disruption happens.
var cases = map[string]func(record string, trouble bool){
	"late-start":     lateStart,
	"sick-machine":   sickMachine,
	"late-answer":    lateAnswer,
	"second-attempt": secondAttempt,
	"many-tasks":     manyTasks,
}
