package groupmap

// Without switches a mechanism off, by the name in docs/PROOFS.md.
func (s *Switch) Without(mechanism string) {
	s.withoutHold = mechanism == "hold"
	s.withoutUnanimity = mechanism == "unanimity"
}
