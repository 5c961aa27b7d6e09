// Package once ensures that a request that must not be repeated runs at most
// once.
//
// A Ticket names the backend server and the incarnation of its agent, that is,
// one lifetime of the agent process. Any entry, that is, any instance that
// accepts requests from callers, can therefore find from the ticket alone,
// whatever its membership view, which agent knows whether the request has
// already run. Only the Journal of that incarnation starts the request.
package once

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// TicketPrefix begins the text of every ticket and distinguishes it from an
	// idempotency key that a caller chose.
	TicketPrefix = "bbt1."
	// MaxTicketBytes is the maximum length of the text of a ticket.
	MaxTicketBytes = 1024
	// nonceBytes is the size of a Nonce.
	nonceBytes = 16
)

// ErrNotTicket means that the text does not have the format of a ticket.
var ErrNotTicket = errors.New("once: not a ticket")

// ErrForged means that the authentication code of a ticket is wrong: the ticket
// was modified, issued to another organisation, or issued with another secret.
var ErrForged = errors.New("once: the ticket was not issued to this organisation")

// Nonce is the random value that identifies a ticket.
type Nonce [nonceBytes]byte

// Ticket names the only agent incarnation that may run a request. The zero
// value is invalid.
type Ticket struct {
	// Server is the name of the backend server.
	Server string `json:"s"`
	// Incarnation identifies one lifetime of the agent process on Server.
	Incarnation uint64 `json:"i"`
	// Service is the name of the service that the ticket was issued for.
	Service string `json:"v"`
	// IssuedAtMs is when the ticket was issued, in Unix milliseconds.
	IssuedAtMs int64 `json:"b"`
	// Nonce is unique to the ticket.
	Nonce Nonce `json:"n"`
}

// New returns a ticket with a new nonce for a request to the service on server.
func New(service, server string, incarnation uint64, now time.Time) Ticket {
	t := Ticket{Server: server, Incarnation: incarnation, Service: service, IssuedAtMs: now.UnixMilli()}
	_, _ = rand.Read(t.Nonce[:]) // Read never returns an error: crypto/rand terminates the process instead.
	return t
}

// IssuedAt returns when the ticket was issued, according to the issuer's clock.
func (t Ticket) IssuedAt() time.Time { return time.UnixMilli(t.IssuedAtMs) }

// Signer signs and verifies tickets with HMAC-SHA-256. It does not encrypt them. It
// is safe for concurrent use.
type Signer struct{ secret []byte }

// NewSigner returns a signer that uses secret. All instances must have the same
// secret in their settings.
func NewSigner(secret []byte) *Signer { return &Signer{secret: append([]byte(nil), secret...)} }

// Sign returns the text of t, with an authentication code that binds it to
// organisation.
func (s *Signer) Sign(t Ticket, organisation string) string {
	payload, _ := json.Marshal(t) // Marshalling a Ticket cannot fail.
	return TicketPrefix + encode(payload) + "." + encode(s.mac(payload, organisation))
}

// Verify parses the text of a ticket and checks that it was issued to
// organisation. It returns ErrNotTicket for text that is not a ticket or is
// longer than MaxTicketBytes, and ErrForged for a wrong authentication code.
func (s *Signer) Verify(text, organisation string) (Ticket, error) {
	var t Ticket
	encoded, ok := strings.CutPrefix(text, TicketPrefix)
	if !ok || len(text) > MaxTicketBytes {
		return t, ErrNotTicket
	}
	encodedPayload, encodedMAC, ok := strings.Cut(encoded, ".")
	if !ok {
		return t, ErrNotTicket
	}
	payload, err := base64.RawURLEncoding.DecodeString(encodedPayload)
	if err != nil {
		return t, ErrNotTicket
	}
	receivedMAC, err := base64.RawURLEncoding.DecodeString(encodedMAC)
	if err != nil {
		return t, ErrNotTicket
	}
	if !hmac.Equal(receivedMAC, s.mac(payload, organisation)) {
		return t, ErrForged
	}
	if err := json.Unmarshal(payload, &t); err != nil {
		return t, fmt.Errorf("once: %w", err)
	}
	return t, nil
}

// mac returns the authentication code of payload for organisation.
func (s *Signer) mac(payload []byte, organisation string) []byte {
	h := hmac.New(sha256.New, s.secret)
	h.Write(payload)
	h.Write([]byte{0})
	h.Write([]byte(organisation))
	return h.Sum(nil)
}

// encode returns the unpadded base64url text of b.
func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
