package keys

import (
	"bytes"
	"fmt"
	"os"
)

// minSecretBytes is the minimum length of the secret that seals tickets, in
// bytes.
const minSecretBytes = 32

// ReadSecret reads the secret that seals tickets. White space around it is
// ignored.
func ReadSecret(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	secret := bytes.TrimSpace(text)
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("keys: %s: the secret has %d bytes, at least %d are required", file, len(secret), minSecretBytes)
	}
	return secret, nil
}
