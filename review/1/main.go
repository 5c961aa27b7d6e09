// Command 1 runs two gateways before three plain servers, one of which spoils one answer in
// twenty: the name of the header with its seal is damaged. A caller must not get such an
// answer as a success.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"bluebellwind.example/review/rig"
)

const (
	// spoiledShare is the largest x of garble in the site file, whose largest share is 0.6;
	// spoilingServers of the servers are a share of 0.33.
	spoiledShare    = 0.05
	spoilingServers = 1
	gateways        = 2
	servers         = 3
	callers         = 12
	runTime         = 20 * time.Second
	work            = 15 * time.Millisecond
	seal            = "X-Bluebellwind-Server-Seal"
	attemptID       = "X-Bluebellwind-Attempt-Id"
)

// outcome counts what callers saw.
type outcome struct {
	mu       sync.Mutex
	statuses map[string]int
	unsealed int
}

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0", os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = rig.ExitFailed
	}
	os.Exit(code)
}

func run(trouble bool, recordFile string) (int, error) {
	dir, err := os.MkdirTemp("", "bbw-review-1-")
	if err != nil {
		return rig.ExitFailed, err
	}
	defer os.RemoveAll(dir)
	record, err := rig.NewRecord(recordFile)
	if err != nil {
		return rig.ExitFailed, err
	}
	defer record.Close()
	store, err := rig.StartStore()
	if err != nil {
		return rig.ExitFailed, err
	}
	for i := range servers {
		s, err := rig.StartServer(record, fmt.Sprintf("i-%d", i), work)
		if err != nil {
			return rig.ExitFailed, err
		}
		if trouble && i < spoilingServers {
			s.Trouble = spoil
		}
		store.Put("servers/"+s.ID, s.Entry("pledge-app", "zone-1", 6))
	}
	store.Put("op/config", map[string]any{
		"version": 7, "routes": []any{
			plainRoute("write", "/write/", "unsafe", 1),
			plainRoute("read", "/read/", "safe", 2),
		}, "services": []any{map[string]any{"name": "pledge-app", "health_path": "/health", "max_connections": 110}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{},
	})
	addresses, stop, err := rig.StartGateways(record, dir, store, gateways)
	defer stop()
	if err != nil {
		return rig.ExitFailed, err
	}
	seen := &outcome{statuses: make(map[string]int)}
	var group sync.WaitGroup
	end := time.Now().Add(runTime)
	for k := range callers {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				kind := []string{"write", "read"}[i%2]
				call(record, seen, addresses[k%len(addresses)], kind, fmt.Sprintf("%s-%d-%d", kind, k, i))
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	group.Wait()
	for status, n := range seen.statuses {
		record.Logf("callers saw %s: %d", status, n)
	}
	record.Logf("successes without the seal of a server: %d", seen.unsealed)
	switch {
	case seen.statuses["200"] == 0:
		return rig.ExitFailed, fmt.Errorf("no request was served")
	case seen.unsealed > 0:
		return rig.ExitBroken, nil
	}
	return rig.ExitHeld, nil
}

func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "pledge.example", "prefix": prefix, "route_type": kind, "timeout_ms": 800, "target_latency_ms": 150,
		"priority": 2, "service": "pledge-app", "max_attempts": attempts,
	}
}

// spoil damages the header with the seal of some answers.
func spoil(s *rig.Server, w http.ResponseWriter, r *http.Request) bool {
	if rand.Float64() >= spoiledShare {
		return false
	}
	attempt := r.Header.Get(attemptID)
	s.Run(attempt)
	time.Sleep(work)
	body := rig.Body(attempt)
	w.Header().Set("X-Bluebellwind-Serv%r-S%al", s.Seal(attempt))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // Fails only if the caller has left.
	return true
}

// call sends one request on a new connection and notes its answer.
func call(record *rig.Record, seen *outcome, address, kind, id string) {
	status, answer := "no answer", (*http.Response)(nil)
	if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		record.Logf("caller sends %s", id)
		fmt.Fprintf(c, "POST /%s/%s HTTP/1.1\r\nHost: pledge.example\r\n%s: %s\r\nX-Bluebellwind-Deadline-Remaining: 1500\r\nContent-Length: 2\r\n\r\nok",
			kind, id, attemptID, id)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			if _, err := io.ReadAll(resp.Body); err == nil {
				answer, status = resp, strconv.Itoa(resp.StatusCode)
			}
		}
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.statuses[status]++
	record.Logf("caller gets %s for %s", status, id)
	if answer != nil && answer.StatusCode/100 == 2 && answer.Header.Get(seal) == "" {
		seen.unsealed++
		record.Logf("BROKEN: %s is a success without a seal; its header: %v", id, answer.Header)
	}
}
