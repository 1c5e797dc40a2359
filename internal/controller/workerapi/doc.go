// Package workerapi serves the workers on the machines, which report to a controller by
// heartbeats: it decides to which controller each worker reports (Router), and parks
// responses until there is a command (LongPolls).
//
// The shards' lock guards the package's state, so that a response agrees with the state of
// the shard that it describes. Methods whose names end in Locked require that lock to be
// held.
package workerapi
