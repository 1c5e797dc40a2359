package controller

import "bramblespur/internal/statestore"

// currentStore returns the store of the moment, for components that are built before the
// operators' settings are known: the guard that detects lost data and stops writes in safe mode
// takes the store's place later, and no request may pass beside it.
func (c *Controller) currentStore() statestore.Store { return c.store }
