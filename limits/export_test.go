package limits

// DisableHandover makes a new coordinator grant the full capacity at once and
// remove reporters without a current lease.
func (c *Coordinator) DisableHandover() { c.handoverDisabled = true }
