package rankctl_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"bluebellwind.example/expertmap"
	"bluebellwind.example/internal/rankctl"
	"bluebellwind.example/internal/standin"
	"bluebellwind.example/mapswitch"
)

// TestOrdersReachOnlyTheProcessTheyWereMadeFor guards against an order that takes
// effect on the wrong engine process: the process is replaced after the status
// was read, and its replacement has loaded the map that the order names. A client
// that reconnects between the two would send the order to the replacement.
func TestOrdersReachOnlyTheProcessTheyWereMadeFor(t *testing.T) {
	ctx := context.Background()
	group := standin.NewRankGroup(standin.RankGroupConfig{Ranks: 1, Layers: 1, Experts: 2, Slots: 2})
	server := httptest.NewServer(group.RankHandler(0))
	defer server.Close()
	client := rankctl.New(server.URL)
	if os.Getenv("BBW_WITHOUT") == "oneconnection" {
		client.AllowRedial()
	}
	m := expertmap.NewMap(1, 2, 1, 2)
	m.Cells = []expertmap.Slot{{Expert: 0, Share: expertmap.ShareUnit}, {Expert: 1, Share: expertmap.ShareUnit}}
	encoded, err := m.AppendBinary(nil)
	assert.NilError(t, err)

	oldStatus, err := client.Status(ctx)
	assert.NilError(t, err)
	order := mapswitch.ArmOrder{
		Condition: mapswitch.Condition{Process: oldStatus.Process},
		Attempt:   mapswitch.Attempt{ProcessNonce: 1, Seq: 1},
		Label:     mapswitch.Label{Map: mapswitch.MapID(m.Label()), ChosenBy: mapswitch.Attempt{ProcessNonce: 1, Seq: 1}},
		Step:      7,
		Join:      &mapswitch.Join{Step: 7},
	}
	assert.Assert(t, rankctl.NotLoaded(client.Arm(ctx, order)))
	group.ReplaceProcess(0)
	server.CloseClientConnections()
	assert.NilError(t, client.Load(ctx, m.Label(), encoded))
	_ = client.Arm(ctx, order) // Returns an error or has no effect.
	newStatus, err := client.Status(ctx)
	if err != nil { // The failed order closed the session; the next call dials again.
		newStatus, err = client.Status(ctx)
	}
	assert.NilError(t, err)
	assert.Assert(t, newStatus.Process != oldStatus.Process && newStatus.Hold == nil && newStatus.HasNoMap(), "%v", newStatus)

	// An order made for the new process takes effect.
	order.Condition.Process = newStatus.Process
	assert.NilError(t, client.Arm(ctx, order))
	newStatus, err = client.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, newStatus.Attempt, order.Attempt)
	loaded, err := client.Map(ctx, m.Label())
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, encoded)
}

// A call whose answer has status 000 counted as successful, so that an order that was not carried
// out was taken for one that was.
func TestCallWithAnImpossibleStatusFails(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
				conn.Close()
			}
		}))
		_, err := rankctl.New(server.URL).Status(t.Context())
		assert.Check(t, err != nil, status)
		server.Close()
	}
}
