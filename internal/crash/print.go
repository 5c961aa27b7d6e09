// Package crash connects package suspects to the running processes. It computes
// fingerprints of chat requests, detects whether a server crashed while it ran
// requests, and sends crash reports to the entries. Entries and agents use it.
package crash

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"bluebellwind.example/suspects"
	"bluebellwind.example/wire"
)

const (
	saltInfo  = "bluebellwind suspects 1" // The info parameter of HKDF.
	saltBytes = 32
)

// NewFingerprinter returns a fingerprinter whose salt is derived from secret, the
// key that signs tickets and that all instances of the fleet share.
func NewFingerprinter(secret []byte) (*suspects.Fingerprinter, error) {
	salt, err := hkdf.Key(sha256.New, secret, nil, saltInfo, saltBytes)
	if err != nil {
		return nil, fmt.Errorf("crash: derive fingerprint salt: %w", err)
	}
	return suspects.NewFingerprinter(string(salt)), nil
}

// chatRequest holds the fields of a chat completion request that ComparableText
// needs.
type chatRequest struct {
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// ComparableText returns the text by which a chat request is compared with
// others: the content of its messages except those of the roles system and
// developer, whose instructions are usually the same in all requests of an
// organisation. It returns the whole body if there are no such messages.
func ComparableText(body []byte) []byte {
	var c chatRequest
	if json.Unmarshal(body, &c) != nil {
		return body
	}
	var text []byte
	for _, m := range c.Messages {
		if m.Role != "system" && m.Role != "developer" {
			text = append(text, m.Content...)
		}
	}
	if len(text) == 0 {
		return body
	}
	return text
}

// ToWire converts a fingerprint to its protobuf message.
func ToWire(p suspects.Fingerprint) *wire.Print {
	return &wire.Print{Organisation: p.Organisation, Id: p.ID, Sketch: p.Sketch[:]}
}

// FromWire converts a protobuf message to a fingerprint. It returns false if p is nil or
// its sketch has the wrong length.
func FromWire(p *wire.Print) (suspects.Fingerprint, bool) {
	out := suspects.Fingerprint{Organisation: p.GetOrganisation(), ID: p.GetId()}
	if len(p.GetSketch()) != len(out.Sketch) {
		return out, false
	}
	copy(out.Sketch[:], p.GetSketch())
	return out, true
}
