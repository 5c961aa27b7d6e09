package soak

import (
	"sync"
	"time"

	"bluebellwind.example/platform/platformtest"
)

// history records what callers sent and received, and what servers received. It
// is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// unknownArrivals are arrivals of attempts that no caller sent.
	unknownArrivals []platformtest.Arrival
	// configs are the configurations in the order in which they were written.
	configs []configChange
	// keyRevokedAt is the time when the revocation of each API key was
	// acknowledged.
	keyRevokedAt map[string]time.Time
	// drainingSince is the time when the draining state of each server was
	// acknowledged.
	drainingSince map[string]time.Time
	// faultPeriods are the periods of injected faults by target: a gateway, a
	// server, or allGateways. The checks do not blame a gateway for violations
	// that such a fault can cause.
	faultPeriods map[string][]faultPeriod
	// partCrashes are the times of the crashes on each crashing part of prompts.
	partCrashes map[string][]time.Time
	// limitPeriods are the periods in which servers stated request limits.
	limitPeriods []limitPeriod
	// evacuations are the evacuations of zones.
	evacuations []evacuation
	// coldPeriods are the periods in which servers were cold.
	coldPeriods []coldPeriod
	// mapViolations describes the passes in which ranks used different maps.
	// heldGroups are the groups that were still stopped by a hold at the end.
	mapViolations, heldGroups []string
	mapSwitches               int
	// faultsEndedAt is the time when the last fault had ended.
	faultsEndedAt time.Time
}

// configChange is the write of one configuration. The service of the canary
// route identifies the configuration.
type configChange struct {
	canaryService                  string
	writeStartedAt, acknowledgedAt time.Time
}

// faultPeriod is the period of an injected fault. end is zero while it lasts.
type faultPeriod struct{ begin, end time.Time }

// attempt is one request of a caller, with what the caller and the servers
// observed of it.
type attempt struct {
	platformtest.Request
	organisation string
	gateway      string
	// startNumber tells which start of the gateway's process received the
	// request, zero if the process did not run.
	startNumber     int
	sentAt, endedAt time.Time
	// disconnectedAt is when the caller disconnected early, zero if it did not.
	disconnectedAt time.Time
	response       platformtest.Response
	arrivals       []platformtest.Arrival
	ranOn          []string
	// wholeUnframedAt is when a server had written its whole response without length
	// and chunks, zero if none has.
	wholeUnframedAt time.Time
	// crashingPart is the part of the prompt that crashes servers, empty in sound
	// requests. isRetry says that the caller sent the request before.
	crashingPart string
	isRetry      bool
	// crashing says that the request crashes the plain servers that run it.
	crashing bool
}

func newHistory() *history {
	return &history{
		attempts: make(map[string]*attempt), keyRevokedAt: make(map[string]time.Time),
		drainingSince: make(map[string]time.Time), faultPeriods: make(map[string][]faultPeriod),
		partCrashes: make(map[string][]time.Time),
	}
}

// recordSent records a request before it is sent.
func (h *history) recordSent(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts[a.AttemptID] = a
}

// recordResponse records the response to a request and the end of the request.
func (h *history) recordResponse(a *attempt, response platformtest.Response, disconnectedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.response, a.endedAt, a.disconnectedAt = response, time.Now(), disconnectedAt
}

// RecordArrival implements platformtest.Recorder.
func (h *history) RecordArrival(arrival platformtest.Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.attempts[arrival.Attempt]
	if a == nil {
		h.unknownArrivals = append(h.unknownArrivals, arrival)
		return
	}
	a.arrivals = append(a.arrivals, arrival)
}

// RecordRun implements platformtest.Recorder.
func (h *history) RecordRun(id, server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.attempts[id]; a != nil {
		a.ranOn = append(a.ranOn, server)
	}
}

// RecordUnframed implements platformtest.Recorder.
func (h *history) RecordUnframed(id, _ string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.attempts[id]; a != nil {
		a.wholeUnframedAt = time.Now()
	}
}

// allGateways is the target of faults that affect all gateways.
const allGateways = "everyone"

// restartOf is the target of the planned restarts of a gateway, crashOf that of the
// crashes of a server under a request. Both excuse less than a fault does.
func restartOf(gateway string) string { return "restart of " + gateway }

func crashOf(server string) string { return "crash of " + server }

// beginFault records that a fault of a target begins: a gateway, allGateways or
// a server whose link is affected. The returned function records its end.
func (h *history) beginFault(target string) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(h.faultPeriods[target])
	h.faultPeriods[target] = append(h.faultPeriods[target], faultPeriod{begin: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faultPeriods[target][index].end = time.Now()
	}
}

// gatewayUnaffected reports whether no fault affected a gateway between from
// and to, or ended less than faultGrace before from. The caller holds mu.
func (h *history) gatewayUnaffected(gateway string, from, to time.Time) bool {
	return h.unaffected(gateway, from, to) && h.unaffected(allGateways, from, to)
}

// unaffected is like gatewayUnaffected, but considers only the faults of one
// target. The caller holds mu.
func (h *history) unaffected(target string, from, to time.Time) bool {
	from = from.Add(-faultGrace)
	for _, s := range h.faultPeriods[target] {
		if s.begin.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return false
		}
	}
	return true
}

func (h *history) recordPartCrash(part string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partCrashes[part] = append(h.partCrashes[part], time.Now())
}

func (h *history) recordRevocation(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keyRevokedAt[key] = time.Now()
}

func (h *history) recordDraining(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainingSince[server] = time.Now()
}
