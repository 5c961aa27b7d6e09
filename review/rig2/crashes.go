package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// stabilityWindow is stability_window_ms of canopy-coop.
	stabilityWindow = 3 * time.Second
	// crashPause is how long a server that has crashed stays away.
	crashPause = 3 * time.Second
	// maxRetriesAfterThird is the number of retries that the rule BUDGET allows after a request
	// has crashed its third server.
	maxRetriesAfterThird = 3
)

// deadly says in its label that a request crashes each server that begins to run it.
const deadly = "deadly"

// sendDeadly sends the deadly request n times, each time to another gateway.
func (r *rig) sendDeadly(c call, n int, gap time.Duration) {
	for range n {
		r.deadlySent++
		r.send(r.gateways[r.deadlySent%len(r.gateways)], c)
		time.Sleep(gap)
	}
}

// retriesAfterThirdCrash returns the arrivals of deadly requests at servers that the rule BUDGET
// counts: later than stabilityWindow after the third crash, sent by gateways that had been running
// for stabilityWindow.
func (r *rig) retriesAfterThirdCrash() (counted []arrival) {
	var third time.Time
	crashes := 0
	for _, a := range r.ledger.all() {
		for _, run := range a.runs {
			if a.label != deadly {
				continue
			}
			if run.crashed {
				crashes++
			}
			if crashes == 3 && third.IsZero() {
				third = run.at
			}
			if !third.IsZero() && run.at.Sub(third) > stabilityWindow && a.sentAt.Sub(a.gatewayStarted) > stabilityWindow {
				counted = append(counted, run)
			}
		}
	}
	r.record("%d servers crashed under the request; %d of its arrivals count", crashes, len(counted))
	return counted
}

// judgeCrashes returns the violation of the rule BUDGET, if there is one.
func (r *rig) judgeCrashes() []string {
	counted := r.retriesAfterThirdCrash()
	if len(counted) <= maxRetriesAfterThird {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: a request that had crashed three servers reached servers %d times more, %d are allowed", len(counted), maxRetriesAfterThird)}
}

// forgottenCrashes kills all gateways at the same moment, twice, while a request that crashes its
// servers comes again and again.
func forgottenCrashes(r *rig) []string {
	answer := func(s *server, c net.Conn, request *http.Request) bool {
		if strings.HasPrefix(request.RequestURI, "/status/deadly") {
			r.ledger.crash(request.Header.Get(headerAttempt))
			s.crash(crashPause)
			return false
		}
		time.Sleep(time.Duration(20+rand.Intn(40)) * time.Millisecond)
		return s.answerWhole(c, request, "recorded\n")
	}
	for range 3 {
		r.startServer("pledge-app", answer)
	}
	r.configure(7, tenants(),
		plainRoute("pledge-write", "/pledges/", "unsafe", 1),
		plainRoute("pledge-read", "/status/", "safe", 2))
	r.startGateways(3)
	time.Sleep(stabilityWindow + 500*time.Millisecond)

	stop := make(chan struct{})
	var writers sync.WaitGroup
	writers.Add(2)
	go func() {
		defer writers.Done()
		every(30*time.Millisecond, stop, func(i int) {
			r.send(r.gateways[i%len(r.gateways)], call{
				label: "pledge-read", method: http.MethodGet, target: fmt.Sprintf("/status/%d", i), key: tenantKey, deadline: 1500 * time.Millisecond,
			})
		})
	}()
	go func() {
		defer writers.Done()
		every(150*time.Millisecond, stop, func(i int) {
			r.send(r.gateways[i%len(r.gateways)], call{
				label: "pledge-write", method: http.MethodPost, target: fmt.Sprintf("/pledges/%d", i),
				key: tenantKey, deadline: 1500 * time.Millisecond, body: "seedlings=3",
			})
		})
	}()
	lookup := call{label: deadly, method: http.MethodGet, target: "/status/deadly", key: tenantKey, deadline: 1500 * time.Millisecond}
	const visits, gap = 2, 500 * time.Millisecond
	r.sendDeadly(lookup, visits, gap)
	for range 2 {
		if r.trouble {
			r.killAll(500*time.Millisecond, setting("SPARE", 0))
		}
		time.Sleep(stabilityWindow + 200*time.Millisecond)
		r.sendDeadly(lookup, visits, gap)
	}
	close(stop)
	writers.Wait()
	r.recordSound("pledge-write")
	r.recordSound("pledge-read")
	return r.judgeCrashes()
}

// recordSound records what became of the sound requests with a label.
func (r *rig) recordSound(label string) {
	sent, cut, unserved := 0, 0, 0
	for _, a := range r.ledger.all() {
		if a.label != label {
			continue
		}
		sent++
		switch {
		case a.outcome == "200":
		case len(a.runs) > 0:
			cut++
		default:
			unserved++
		}
	}
	r.record("of %d sound requests (%s), %d had begun to run and got no whole answer, %d were not run", sent, label, cut, unserved)
}

// every calls send in a goroutine of its own at each period until stop is closed, and returns
// once all calls have ended.
func every(period time.Duration, stop chan struct{}, send func(i int)) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			send(i)
		}()
	}
}

// crashAfterEvents has a stream crash each server that begins it, once some events are out.
func crashAfterEvents(r *rig) []string {
	const pieces, pace = 28, 33 * time.Millisecond
	out := setting("EVENTS", 2)
	r.record("servers crash after %d events", out)
	answer := func(s *server, c net.Conn, request *http.Request) bool {
		first := 1
		_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &first)
		if request.Header.Get("Last-Event-Id") != "" {
			first++
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			headerAttempt, request.Header.Get(headerAttempt), headerSeal, rand.Int63())
		for i := first; i <= pieces; i++ {
			if r.trouble && i-first == out && strings.HasPrefix(request.RequestURI, "/drafts/deadly") {
				r.ledger.crash(request.Header.Get(headerAttempt))
				s.crash(crashPause)
				return false
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d of five tokens\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(pace)
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
	for range 8 {
		r.startServer("pledge-app", answer)
	}
	route := plainRoute("cert-draft", "/drafts/", "streaming", 2)
	route["timeout_ms"], route["target_latency_ms"], route["gap_aim_ms"] = 8000, 400, 120
	route["sticky"], route["stream_resume"], route["priority"] = true, true, 1
	r.configure(7, tenants(), route)
	r.startGateways(3)
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	draft := call{
		label: deadly, method: http.MethodPost, target: "/drafts/deadly", key: tenantKey, deadline: 8 * time.Second, body: "a draft that crashes its servers",
		header: map[string]string{
			"X-Bluebellwind-Model": "m", "X-Bluebellwind-Token-Counts": "1460,139",
			"X-Bluebellwind-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
		},
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Add(1)
	go func() {
		defer callers.Done()
		every(60*time.Millisecond, stop, func(i int) {
			sound := draft
			sound.label, sound.target, sound.body = "sound draft", "/drafts/2f", fmt.Sprintf("draft %d", i)
			sound.header = map[string]string{
				"X-Bluebellwind-Model": "m", "X-Bluebellwind-Token-Counts": "674,139",
				"X-Bluebellwind-Prompt-Prefix": fmt.Sprintf("%08x:674", i),
			}
			r.send(r.gateways[i%len(r.gateways)], sound)
		})
	}()
	r.sendDeadly(draft, 8, 2200*time.Millisecond)
	close(stop)
	callers.Wait()
	r.recordSound("sound draft")
	return r.judgeCrashes()
}
