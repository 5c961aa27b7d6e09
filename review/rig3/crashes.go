package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// stabilityWindow is stability_window_ms of canopy-coop.
	stabilityWindow = 3 * time.Second
	// crashPause is how long a server that has crashed stays away.
	crashPause = 3 * time.Second
	// allowedArrivals is the number of arrivals that the rule BUDGET allows after the crashes that
	// start its window: crashesOfPart of a part of a prompt, crashesOfRequest of a whole request.
	allowedArrivals  = 3
	crashesOfPart    = 5
	crashesOfRequest = 3
)

// Labels of calls.
const (
	deadly      = "deadly"
	soundDraft  = "sound draft"
	soundShared = "sound draft with the first part of the deadly ones"
	soundWrite  = "sound write"
)

// tenantKey is the key of the only tenant.
const tenantKey = "n2ctnfzs989anu6wsjnb"

// configure writes a configuration for one service with the given routes.
func (r *rig) configure(service string, routes ...any) {
	const version = 7
	r.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{tenantKey}}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 258, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
	})
	r.record("version %d of the configuration is acknowledged", version)
}

// draftRoute is the route of cert-draft as on the sheet of canopy-coop.
func draftRoute() map[string]any {
	return map[string]any{
		"name": "cert-draft", "host": host, "prefix": "/drafts/", "route_type": "streaming", "stream_resume": true, "sticky": true,
		"timeout_ms": 8000, "target_latency_ms": 400, "gap_aim_ms": 120, "priority": 1, "service": "canopy-llm", "max_attempts": 2, "public": false,
	}
}

// plainRoute is a route of pledge-app as on the sheet of canopy-coop.
func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_ms": 800, "target_latency_ms": 150,
		"priority": 2, "service": "pledge-app", "max_attempts": attempts, "public": false,
	}
}

// judge returns the violation of the rule BUDGET, if there is one. Counted are the arrivals of deadly
// requests later than stabilityWindow after the crash with the given number, sent by gateways that
// had been running for stabilityWindow. The rule is taken as broken only if the callers' requests
// alone, without the repeats by gateways, are too many.
func (r *rig) judge(startingCrash int) []string {
	var last time.Time
	crashes, arrivals, requests := 0, 0, 0
	for _, a := range r.ledger.all() {
		if a.label != deadly {
			continue
		}
		counted := 0
		for _, run := range a.runs {
			if !last.IsZero() && run.at.Sub(last) > stabilityWindow && a.sentAt.Sub(a.gatewayStarted) > stabilityWindow {
				counted++
			}
			if !run.crashed {
				continue
			}
			if crashes++; crashes == startingCrash {
				last = run.at
			}
		}
		arrivals += counted
		if counted > 0 {
			requests++
		}
	}
	r.record("%d crashes; %d requests count, which reached servers %d times", crashes, requests, arrivals)
	if requests <= allowedArrivals {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: %d requests reached servers, %d times, later than %v after crash %d of the same kind; %d are allowed",
		requests, arrivals, stabilityWindow, startingCrash, allowedArrivals)}
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
	r.record("of %d requests (%s), %d had begun to run and got no whole answer, %d were not run", sent, label, cut, unserved)
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

// inBackground sends sound requests until the function that it returns is called.
func inBackground(period time.Duration, send func(i int)) (end func()) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		every(period, stop, send)
	}()
	return func() {
		close(stop)
		<-ended
	}
}

// sendDeadly sends a deadly request to the next gateway.
func (r *rig) sendDeadly(c call) {
	r.mu.Lock()
	r.deadlySent++
	g := r.gateways[r.deadlySent%len(r.gateways)]
	r.mu.Unlock()
	c.label = deadly
	r.send(g, c)
}

// sendTogether sends n deadly requests at the same moment.
func (r *rig) sendTogether(n int, c func(i int) call) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { r.sendDeadly(c(i)) })
	}
	group.Wait()
}

// stream answers with the events of a stream from the one after Last-Event-Id on.
func stream(c net.Conn, request *http.Request) bool {
	const pieces, pace = 28, 33 * time.Millisecond
	first := 1
	if _, err := fmt.Sscan(request.Header.Get("Last-Event-Id"), &first); err == nil {
		first++
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, request.Header.Get(headerAttempt), headerSeal, rand.Int63())
	for i := first; i <= pieces; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of five tokens\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(pace)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

const (
	headerModel  = "X-Bluebellwind-Model"
	headerTokens = "X-Bluebellwind-Token-Counts"
	headerPrefix = "X-Bluebellwind-Prompt-Prefix"
	// firstPart and otherFirstPart are parts that many drafts share, crashingPart is the one that
	// crashes servers.
	firstPart      = "5c1e07a2"
	otherFirstPart = "e4402b7d"
	crashingPart   = "91bd3f06"
)

// startModelServers starts model servers. If they are to crash, they do so as they begin to write an
// answer on crashingPart. A prompt takes some time to read first.
func (r *rig) startModelServers(n int, crashing bool) {
	for range n {
		r.startServer("canopy-llm", func(s *server, c net.Conn, request *http.Request) bool {
			time.Sleep(time.Duration(20+rand.Intn(40)) * time.Millisecond)
			if crashing && strings.Contains(request.Header.Get(headerPrefix), crashingPart+":") {
				r.ledger.crash(request.Header.Get(headerAttempt))
				s.crash(crashPause)
				return false
			}
			return stream(c, request)
		})
	}
}

// draft returns a draft by a model; no two are alike. The parts of its prompt are those given and one
// of its own.
func draft(label, model string, parts []string) call {
	own := rand.Uint32()
	all := append(append([]string(nil), parts...), fmt.Sprintf("%08x:250", own))
	prompt := 0
	for _, part := range all {
		_, text, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(text)
		prompt += tokens
	}
	return call{
		label: label, method: http.MethodPost, target: "/drafts/2f", key: tenantKey, deadline: 8 * time.Second, body: fmt.Sprintf("draft %d", own),
		header: map[string]string{headerModel: model, headerTokens: fmt.Sprintf("%d,139", prompt), headerPrefix: strings.Join(all, ",")},
	}
}

const (
	// soundPeriod, deadlyPeriod and deadlyCount keep the share of deadly requests at 0.03 for 20 s.
	soundPeriod = 60 * time.Millisecond
	// draftPeriod is about that of cert-draft at canopy-coop, 33.9 a second.
	draftPeriod  = 30 * time.Millisecond
	deadlyPeriod = 2 * time.Second
	// warmUp is how long sound drafts come before the first deadly one, so that the parts that they
	// share are known.
	warmUp       = 3 * time.Second
	deadlyCount  = 10
	modelServers = 8
)

// playDrafts sends deadly drafts one after the other, beside sound ones, and judges the rule.
func (r *rig) playDrafts(deadlyDraft, sound func(i int) call) []string {
	r.startModelServers(modelServers, r.trouble)
	r.configure("canopy-llm", draftRoute())
	r.startGateways(3)
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	end := inBackground(soundPeriod, func(i int) { r.send(r.gateways[i%len(r.gateways)], sound(i)) })
	time.Sleep(warmUp)
	for i := range deadlyCount {
		r.sendDeadly(deadlyDraft(i))
		time.Sleep(deadlyPeriod)
	}
	end()
	r.recordSound(soundDraft)
	return r.judge(crashesOfPart)
}

// partUnderOtherModels sends drafts with the crashing part to one model after the other.
func partUnderOtherModels(r *rig) []string {
	models := setting("MODELS", deadlyCount)
	r.record("%d models", models)
	model := func(i int) string { return fmt.Sprintf("m%d", i%models) }
	return r.playDrafts(
		func(i int) call { return draft(deadly, model(i), []string{firstPart + ":800", crashingPart + ":410"}) },
		func(i int) call { return draft(soundDraft, model(i), []string{firstPart + ":800"}) },
	)
}

// partFarBack sends drafts of long sessions, in which the crashing part comes after many others.
func partFarBack(r *rig) []string {
	before := setting("PARTS_BEFORE", 300)
	r.record("%d parts before the crashing one", before)
	var parts []string
	for i := range before {
		parts = append(parts, fmt.Sprintf("%08x:4", 0x5c1e0000+i))
	}
	return r.playDrafts(
		func(int) call { return draft(deadly, "m", append(append([]string(nil), parts...), crashingPart+":10")) },
		func(int) call { return draft(soundDraft, "m", parts) },
	)
}

// partAfterKills kills all gateways at the same moment, twice, while drafts with the crashing part
// go on coming.
func partAfterKills(r *rig) []string {
	deadlyDraft := func(int) call { return draft(deadly, "m", []string{firstPart + ":800", crashingPart + ":410"}) }
	r.startModelServers(modelServers, true)
	r.configure("canopy-llm", draftRoute())
	r.startGateways(3)
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	end := inBackground(draftPeriod, func(i int) {
		r.send(r.gateways[i%len(r.gateways)], draft(soundDraft, "m", []string{firstPart + ":800"}))
	})
	time.Sleep(warmUp)
	r.sendTogether(crashesOfPart, deadlyDraft)
	for range 2 {
		time.Sleep(time.Second)
		if r.trouble {
			r.killAll(500*time.Millisecond, setting("SPARE", 0))
		}
		time.Sleep(stabilityWindow + 200*time.Millisecond)
		r.sendTogether(2, deadlyDraft)
	}
	end()
	r.recordSound(soundDraft)
	return r.judge(crashesOfPart)
}

// soundAfterStart sends drafts with the crashing part to gateways that have completed no answer with
// the first part of their prompts yet, and sound drafts that share that part.
func soundAfterStart(r *rig) []string {
	const sharedPeriod, playTime = 300 * time.Millisecond, 100 * time.Second
	r.startModelServers(modelServers, r.trouble)
	r.configure("canopy-llm", draftRoute())
	r.startGateways(3)
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	endOther := inBackground(soundPeriod, func(i int) {
		r.send(r.gateways[i%len(r.gateways)], draft(soundDraft, "m", []string{otherFirstPart + ":800"}))
	})
	sendShared := func(i int) {
		r.send(r.gateways[i%len(r.gateways)], draft(soundShared, "m", []string{firstPart + ":800"}))
	}
	if setting("KNOWN", 0) == 1 {
		end := inBackground(sharedPeriod, sendShared)
		time.Sleep(2 * stabilityWindow)
		end()
	}
	var firstSent, lastSent time.Time
	var endShared func()
	for range deadlyCount {
		lastSent = time.Now()
		r.sendDeadly(draft(deadly, "m", []string{firstPart + ":800", crashingPart + ":410"}))
		if firstSent.IsZero() {
			firstSent = lastSent
			endShared = inBackground(sharedPeriod, sendShared)
		}
		time.Sleep(deadlyPeriod)
	}
	r.record("no more deadly drafts come")
	time.Sleep(time.Until(r.started.Add(playTime)))
	endShared()
	endOther()
	r.recordSound(soundDraft)
	r.recordSound(soundShared)
	return r.judgeSound(firstSent, lastSent)
}

// judgeSound returns the violation of the rule LOST, if there is one. Deadly drafts were sent from
// firstSent to lastSent. Sound drafts with the first part of theirs count from two stability windows
// after the fifth crash, or the last if there are fewer, to lastSent, and as outside the disruption
// from one stability window after lastSent on.
func (r *rig) judgeSound(firstSent, lastSent time.Time) []string {
	const leastEach = 20
	begin := firstSent
	crashes := 0
	for _, a := range r.ledger.all() {
		for _, run := range a.runs {
			if run.crashed && crashes < crashesOfPart {
				crashes++
				begin = run.at
			}
		}
	}
	begin = begin.Add(2 * stabilityWindow)
	var sent, begun, sentOutside, begunOutside int
	for _, a := range r.ledger.all() {
		if a.label != soundShared {
			continue
		}
		ran := 0
		if len(a.runs) > 0 {
			ran = 1
		}
		switch {
		case a.sentAt.After(begin) && a.sentAt.Before(lastSent):
			sent, begun = sent+1, begun+ran
		case a.sentAt.After(lastSent.Add(stabilityWindow)):
			sentOutside, begunOutside = sentOutside+1, begunOutside+ran
		}
	}
	r.record("%d crashes; sound drafts with the first part of the deadly ones begun: %d of %d while those came, %d of %d after that", crashes, begun, sent, begunOutside, sentOutside)
	if sent < leastEach || sentOutside < leastEach {
		panic("too few sound drafts")
	}
	share, outside := float64(begun)/float64(sent), float64(begunOutside)/float64(sentOutside)
	if share >= outside/2 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d sound drafts with the same first part are begun while deadly ones come, %d of %d after that", begun, sent, begunOutside, sentOutside)}
}

// requestWithNewQuery sends a lookup that crashes its servers again and again, with the same path,
// caller and (empty) body, and another query each time.
func requestWithNewQuery(r *rig) []string {
	for range 3 {
		r.startServer("pledge-app", func(s *server, c net.Conn, request *http.Request) bool {
			path, _, _ := strings.Cut(request.RequestURI, "?")
			if r.trouble && path == "/status/deadly" {
				r.ledger.crash(request.Header.Get(headerAttempt))
				s.crash(crashPause)
				return false
			}
			time.Sleep(time.Duration(20+rand.Intn(40)) * time.Millisecond)
			return s.answerWhole(c, request, "recorded\n")
		})
	}
	r.configure("pledge-app", plainRoute("pledge-write", "/pledges/", "unsafe", 1), plainRoute("pledge-read", "/status/", "safe", 2))
	r.startGateways(3)
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	const deadline = 1500 * time.Millisecond
	end := inBackground(soundPeriod, func(i int) {
		r.send(r.gateways[i%len(r.gateways)], call{
			label: soundWrite, method: http.MethodPost, target: fmt.Sprintf("/pledges/%d", i), key: tenantKey, deadline: deadline, body: "seedlings=3",
		})
	})
	for i := range deadlyCount {
		target := "/status/deadly"
		if setting("QUERY", 1) == 1 {
			target += fmt.Sprintf("?try=%d", i+1)
		}
		r.sendDeadly(call{method: http.MethodGet, target: target, key: tenantKey, deadline: deadline})
		time.Sleep(deadlyPeriod)
	}
	end()
	r.recordSound(soundWrite)
	return r.judge(crashesOfRequest)
}

// setting returns a number from the environment.
func setting(name string, preset int) int {
	value := preset
	_, _ = fmt.Sscan(os.Getenv(name), &value)
	return value
}
