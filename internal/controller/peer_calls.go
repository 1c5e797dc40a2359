package controller

// Check implements peer.Handler.
func (c *Controller) Check(args any) error { return c.messages.Call(args) }

// Malformed implements peer.Handler.
func (c *Controller) Malformed(from string, err error) { c.messages.Undecodable(from, err) }
