package rules

import (
	"encoding/json"
	"time"
)

// Decision is the result of routing one request.
type Decision struct {
	Route  *Route
	Kind   TargetKind
	Target string
	// AtMostOnce is set if the request must not be sent a second time.
	AtMostOnce bool
	// Timeout is 0 if the route sets none.
	Timeout time.Duration
}

func (r *Route) decision() Decision {
	return Decision{Route: r, Kind: r.Kind, Target: r.Target, AtMostOnce: r.AtMostOnce, Timeout: r.Timeout}
}

// String describes the decision for operators.
func (d Decision) String() string {
	text := d.Kind.String() + " " + d.Target
	if d.AtMostOnce {
		text += ", never retried"
	}
	if d.Timeout > 0 {
		text += ", timeout " + d.Timeout.String()
	}
	return text
}

// MarshalJSON encodes the decision, with the timeout in seconds.
func (d Decision) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Kind    TargetKind `json:"kind"`
		Target  string     `json:"target"`
		Once    bool       `json:"once"`
		Seconds float64    `json:"timeout_seconds,omitempty"`
	}{d.Kind, d.Target, d.AtMostOnce, d.Timeout.Seconds()})
}
