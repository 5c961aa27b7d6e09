package trace

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/operatorpb"
)

func TestRingKeepsTheNewestInOrder(t *testing.T) {
	r := NewRing(4)
	now := time.UnixMilli(0)
	for i := range 7 {
		r.Add(&operatorpb.Event{RequestId: fmt.Sprint(i % 2)}, now.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, len(r.Events("0")), 2) // Of its events 0, 2, 4 and 6, the ring still holds 4 and 6.
	assert.Equal(t, r.Events("0")[0].GetAtUnixMs(), int64(4))
	assert.Equal(t, r.Events("0")[1].GetAtUnixMs(), int64(6))
	assert.Equal(t, len(r.Events("7")), 0)
}

// TestFullRingStaysBounded measures the memory of a ring filled with the largest
// events.
func TestFullRingStaysBounded(t *testing.T) {
	const maxBytes = 8 << 20
	heapBytes := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	before := heapBytes()
	r := NewRing(DefaultCapacity)
	for i := range 2 * DefaultCapacity {
		routed := &operatorpb.Routed{Organisation: fmt.Sprint("organisation-", i), Rule: strings.Repeat("r", 200+i%2), Target: fmt.Sprint("group ", i)}
		r.Add(&operatorpb.Event{RequestId: uuid.NewString(), What: &operatorpb.Event_Routed{Routed: routed}}, time.UnixMilli(0))
	}
	grown := heapBytes() - before
	t.Logf("%d events use %.1f MB of heap", DefaultCapacity, float64(grown)/(1<<20))
	assert.Assert(t, grown < maxBytes, "heap grew by %d bytes", grown)
	runtime.KeepAlive(r)
}
