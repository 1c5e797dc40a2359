package controller

// Check implements peer.Handler: it returns an error for invalid arguments of a call.
func (c *Controller) Check(args any) error { return c.messages.Call(args) }

// Malformed implements peer.Handler: it logs a call that could not be decoded, or a refused
// connection.
func (c *Controller) Malformed(from string, err error) { c.messages.Undecodable(from, err) }
