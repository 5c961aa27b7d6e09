package rules

import (
	"crypto/sha256"
	"crypto/subtle"
)

// HashToken returns the SHA-256 hash by which the rules file identifies a bearer
// token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Authenticate returns the organisation that a bearer token belongs to, and
// false if the token is unknown. It looks the token up by its hash and compares
// the stored hash in constant time.
func (s *Set) Authenticate(token string) (*Organisation, bool) {
	hash := HashToken(token)
	i, ok := s.tokens[hash]
	if !ok {
		return nil, false
	}
	o := &s.Organisations[i]
	for _, known := range o.Tokens {
		if subtle.ConstantTimeCompare(known[:], hash[:]) == 1 {
			return o, true
		}
	}
	return nil, false
}
