// Package wire holds the messages of the published protocols: of users, workers, the cloud and the
// key-value store. It is the only place where the operators' words for things appear, as JSON names
// and values; all other code uses the field's terms.
//
// JSON names and values are a contract. Heartbeat, Orders, Command, Status and Entry are also sent
// between controllers by gob (see package peer), which matches the Go names of their fields: these
// are a contract as well, also where the field has another term for them today.
package wire
