// Package workerapi serves the workers on the machines, which report to a controller by
// heartbeats: it decides to which controller
// each reports (Router) and parks responses until there is a command (LongPolls).
//
// The shards' lock guards its state, since a response and the state of the shard that it
// tells of go together; methods whose names end in Locked expect that lock held.
package workerapi
