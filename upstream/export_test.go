package upstream

// ReuseForAnyID makes the pool reuse connections whatever IDs they have carried.
func (p *Pool) ReuseForAnyID() { p.anyID = true }
