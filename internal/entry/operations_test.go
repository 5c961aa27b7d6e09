package entry

import (
	"testing"
	"time"

	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/rules"
	"bluebellwind.example/wire"
)

// BenchmarkObserveRequest measures the cost of metrics and trace for a request
// with one attempt and 200 tokens.
func BenchmarkObserveRequest(b *testing.B) {
	e := &Entry{operatorAccess: newOperatorAccess()}
	route := &rules.Route{Source: rules.Source{Line: 4, Text: "route model certificate-8b to group drafts"}}
	server, start, now := &fleet.Server{Name: "draft-1"}, &wire.Start{AttemptId: "a"}, time.Now()
	b.ReportAllocs()
	for b.Loop() {
		ex := &exchange{id: "id", startedAt: now, organisation: &rules.Organisation{Name: "oakville"}, snap: &rulesSnapshot{revision: 1}, out: &responseWriter{}}
		req := &routedRequest{id: ex.id, organisation: "oakville", deadline: now}
		e.recordRouting(ex, req, rules.Decision{Route: route, Target: "drafts"})
		for range 200 {
			ex.out.timer.recordToken(now)
		}
		e.recordAttempt(req, start, server, time.Second, nil)
		e.recordResponse(ex, time.Second, nil)
	}
}
