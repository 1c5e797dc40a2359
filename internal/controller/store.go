package controller

import "bramblespur/internal/statestore"

// currentStore returns the current store. Components that are created before the operators' settings
// are applied call it for each use: a guard that detects data loss and stops writes in safe mode
// replaces the store later, and no request may bypass that guard.
func (c *Controller) currentStore() statestore.Store { return c.store }
