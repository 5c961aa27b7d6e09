package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPeakMemory measures the live heap of a process with a gateway, its callers and its
// servers while callers send large bodies and read large responses slowly. It runs only if
// BBW_BENCH is set.
func TestPeakMemory(t *testing.T) {
	if os.Getenv("BBW_BENCH") == "" {
		t.Skip("BBW_BENCH is not set")
	}
	const callers = 80
	h := newHarness(t)
	h.timeout = 10 * time.Second
	requestBody, responseBody := strings.Repeat("q", 1<<20), bytes.Repeat([]byte("a"), 5<<20)
	h.addServer("a", func(c net.Conn, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nSeal: s\r\nId: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), len(responseBody))
		_, _ = c.Write(responseBody)
	})
	h.start()
	benchMemoryLimits(h)
	liveHeap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	idle, peak := liveHeap(), uint64(0)
	var statuses sync.Map
	var pending atomic.Int64
	for i := range callers {
		pending.Add(1)
		go func() {
			defer pending.Add(-1)
			req, err := http.NewRequest(http.MethodPost, h.callerServer.URL+"/again/x", strings.NewReader(requestBody))
			assert.Check(t, err)
			req.Header.Set("Id", strconv.Itoa(i))
			req.Header.Set("Key", "key")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				count, _ := statuses.LoadOrStore("failed", &atomic.Int64{})
				count.(*atomic.Int64).Add(1)
				return
			}
			defer resp.Body.Close()
			count, _ := statuses.LoadOrStore(resp.StatusCode, &atomic.Int64{})
			count.(*atomic.Int64).Add(1)
			time.Sleep(1500 * time.Millisecond)
			_, _ = io.Copy(io.Discard, resp.Body) // Its end does not matter here.
		}()
	}
	for pending.Load() > 0 {
		peak = max(peak, liveHeap())
		time.Sleep(20 * time.Millisecond)
	}
	statuses.Range(func(status, count any) bool {
		t.Logf("%v: %d", status, count.(*atomic.Int64).Load())
		return true
	})
	t.Logf("live heap: idle %.1f MiB, peak %.1f MiB", float64(idle)/(1<<20), float64(peak)/(1<<20))
}
