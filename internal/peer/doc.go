// Package peer is the protocol between controllers, over net/rpc: [Client] calls one peer, and
// [Serve] answers others through a [Handler].
//
// Messages are encoded by gob, which matches fields by their Go names: the exported fields of all
// messages, and of the types of other packages that they carry, are a contract with other versions,
// whatever the field's terms for them are today. Types may be renamed, fields may be added, and a
// field that a version lacks arrives as its zero value. Tests hold the fields and the bytes of the
// earlier version in golden files.
package peer

// serviceName is the name under which a Service is registered.
const serviceName = "Controller"
