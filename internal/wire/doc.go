// Package wire defines the messages, paths and constants of the published protocols: those of users,
// workers, the cloud and the state service. It is the only package that uses the protocols' own
// vocabulary, as JSON names and values; its Go names, and all other code, use standard terms.
//
// JSON names and values are a contract. Heartbeat, CommandBatch, Command, Status and Entry are also
// sent between controllers by gob (see package peer), which matches fields by their Go names: these
// names are a contract as well, even where a better term exists.
package wire
