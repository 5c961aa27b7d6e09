package routing

// Backlog is the work of all servers together that may take a request.
type Backlog struct {
	// Servers that may take the request, and their slots.
	Servers, Slots int
	// Reported is how many requests run and wait there by their reports, Sent
	// how many this entry has sent since.
	Reported, Sent int
}

// Backlog returns the work of the servers that may take r.
func (t *Table) Backlog(r Request) Backlog {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b Backlog
	for i := range t.view.Candidates {
		c := &t.view.Candidates[i]
		if !eligible(&t.view, c, &r) {
			continue
		}
		b.Servers++
		b.Slots += max(1, c.Load.Slots)
		b.Sent += c.Own.SentSince
		b.Reported += c.Load.Running
		for _, queued := range c.Load.Queued {
			b.Reported += queued
		}
	}
	return b
}
