package groupmap

// Disable turns off one safety mechanism of the switch, so that the tests can
// show that they fail without it. docs/PROOFS.md lists the names of the
// mechanisms.
func (s *Switch) Disable(mechanism string) {
	s.holdDisabled = mechanism == "hold"
	s.unanimityDisabled = mechanism == "unanimity"
}

// Len returns the number of popularities that p remembers.
func (p *Patterns) Len() int { return len(p.known) }
