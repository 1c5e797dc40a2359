// Package peer is the protocol between controllers, over net/rpc: [Client] calls one peer, and
// [Serve] answers others through a [Handler].
//
// Messages are encoded by gob, which matches fields by their Go names: the exported fields of all
// messages, and of the types of other packages that they contain, are a contract with other
// versions, even where other code now uses another term. Types may be renamed and fields may be
// added; a field that the sender's version lacks arrives as its zero value. Tests compare the
// fields, and the bytes that the earlier version sends, with golden data.
package peer

// serviceName is the name under which a Service is registered. It is part of the protocol.
const serviceName = "Controller"
