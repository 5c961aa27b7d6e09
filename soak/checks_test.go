package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/platform/platformtest"
)

var baseTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// addAttempt adds an attempt that was sent at the given time after baseTime,
// ran once and got a response. modify, if not nil, then changes it.
func addAttempt(h *history, id, path string, at time.Duration, modify func(*attempt)) {
	sent := baseTime.Add(at)
	a := &attempt{organisation: permanentOrg, gateway: "gateway-0", startNumber: 1, sentAt: sent, endedAt: sent.Add(50 * time.Millisecond)}
	a.AttemptID, a.Path, a.APIKey, a.Timeout, a.RouteType = id, path, permanentKey, plainCallerTimeout, platformtest.Unsafe
	a.arrivals = []platformtest.Arrival{{
		Attempt: id, Server: "app-0", Service: appService, Organisation: permanentOrg, Path: path, At: sent.Add(time.Millisecond),
	}}
	a.ranOn = []string{"app-0"}
	body := platformtest.Body(id)
	if path == streamPath {
		a.RouteType, body = platformtest.Stream, platformtest.StreamBody(id, groupShape.MeanEvents)
		a.arrivals[0].TokenCounts = a.TokenCounts()
	}
	a.response = platformtest.Response{Status: http.StatusOK, Seal: platformtest.Seal("app-0", id), Body: body, RequestSent: true, Complete: true}
	if modify != nil {
		modify(a)
	}
	h.attempts[id] = a
}

// validHistory returns a history without violations.
func validHistory() *history {
	h := newHistory()
	h.faultsEndedAt = baseTime
	for i, path := range []string{streamPath, unsafePath, safePath, canaryPath} {
		addAttempt(h, string(rune('a'+i)), path, recoveryTime+time.Second, nil)
	}
	return h
}

func TestEachCheckIsSeenFailing(t *testing.T) {
	assert.DeepEqual(t, validHistory().verify(), []string(nil))
	arrival := func(a *attempt) *platformtest.Arrival { return &a.arrivals[0] }
	cases := map[string]func(h *history){
		"unsafe requests run at most once": func(h *history) {
			addAttempt(h, "x", unsafePath, 0, func(a *attempt) { a.ranOn = append(a.ranOn, "app-1") })
		},
		"refused requests have not run": func(h *history) {
			addAttempt(h, "x", unsafePath, 0, func(a *attempt) { a.response = platformtest.Response{Status: http.StatusServiceUnavailable} })
		},
		"responses are complete and belong to the request": func(h *history) {
			addAttempt(h, "x", streamPath, 0, func(a *attempt) { a.response.Body = a.response.Body[:20] })
		},
		"servers receive requests unchanged": func(h *history) {
			addAttempt(h, "x", unsafePath, 0, func(a *attempt) { arrival(a).HasAPIKey = true })
		},
		"revoked API keys are rejected": func(h *history) {
			h.keyRevokedAt["gone"] = baseTime
			addAttempt(h, "x", unsafePath, bounds.RevokeBound()+time.Second, func(a *attempt) { a.APIKey = "gone" })
		},
		"configurations take effect in time and are never reverted": func(h *history) {
			h.configs = []configChange{
				{canaryService: canaryService(0), writeStartedAt: baseTime.Add(-time.Minute), acknowledgedAt: baseTime.Add(-time.Minute)},
				{canaryService: canaryService(1), writeStartedAt: baseTime, acknowledgedAt: baseTime},
			}
			addAttempt(h, "x", canaryPath, 3*time.Second, func(a *attempt) { arrival(a).Service = canaryService(0) })
		},
		"draining servers get no new requests": func(h *history) {
			h.drainingSince["app-0"] = baseTime
			for _, a := range h.attempts {
				arrival(a).Server = "app-1"
			}
			addAttempt(h, "x", unsafePath, 3*time.Second, nil)
		},
		"valid requests are not rejected": func(h *history) {
			addAttempt(h, "x", unsafePath, 0, func(a *attempt) { a.response = platformtest.Response{Status: http.StatusUnauthorized} })
		},
		"requests of disconnected callers are not forwarded": func(h *history) {
			for _, id := range []string{"w", "x", "y", "z"} {
				addAttempt(h, id, unsafePath, 0, func(a *attempt) { a.disconnectedAt = a.sentAt; arrival(a).At = a.sentAt.Add(time.Second) })
			}
		},
		"requests end by their timeout": func(h *history) {
			addAttempt(h, "x", unsafePath, 0, func(a *attempt) { a.endedAt = a.sentAt.Add(a.Timeout + time.Second) })
		},
		"forwarded requests get a response": func(h *history) {
			addAttempt(h, "x", unsafePath, 0, func(a *attempt) {
				a.response = platformtest.Response{RequestSent: true, Err: errors.New("closed")}
			})
		},
		"retries stay within the retry budget": func(h *history) {
			addAttempt(h, "x", safePath, 0, func(a *attempt) {
				a.RouteType = platformtest.Safe
				for range 40 {
					a.arrivals = append(a.arrivals, a.arrivals[0])
				}
			})
		},
		"all ranks use the same map in a pass": func(h *history) { h.mapViolations = []string{"two maps"} },
		"no group stays stopped by a hold":     func(h *history) { h.heldGroups = []string{"g0"} },
		"requests with a part that crashed servers no longer reach them": func(h *history) {
			for i := range stoppedAfterCrashes {
				h.partCrashes["bad"] = append(h.partCrashes["bad"], baseTime.Add(time.Duration(i)*time.Millisecond))
			}
			for _, id := range []string{"w", "x", "y", "z"} {
				addAttempt(h, id, streamPath, maxStopDelay+time.Second, addCrashingPart)
			}
		},
		"requests that crashed plain servers no longer reach them": func(h *history) {
			for i := range decisiveCrashes {
				addAttempt(h, fmt.Sprint("first", i), safePath, time.Duration(i)*time.Millisecond, addCrashing)
			}
			for _, id := range []string{"w", "x", "y", "z"} {
				addAttempt(h, id, safePath, maxStopDelay+time.Second, addCrashing)
			}
		},
		"sound requests are begun beside a part that crashed servers": func(h *history) {
			addComparedRequests(h, func(a *attempt) { a.ranOn = nil })
		},
		"servers get no more requests than the limit that they state": func(h *history) {
			h.limitPeriods = []limitPeriod{{server: "app-0", perSecond: 1, begin: baseTime.Add(-time.Second), end: baseTime.Add(time.Minute)}}
			for i := range 2 + int(limitRatio*limitWindow.Seconds()+limitSlack) {
				addAttempt(h, fmt.Sprint("l", i), unsafePath, min(1, time.Duration(i))*(limitGrace+time.Second), func(a *attempt) {})
			}
		},
		"servers of evacuated zones get no new requests": func(h *history) {
			h.evacuations = []evacuation{{zone: "zone-0", servers: map[string]bool{"app-0": true}, begin: baseTime.Add(-time.Minute), end: baseTime.Add(time.Second)}}
			addAttempt(h, "x", unsafePath, 0, nil)
		},
		"cold servers get no more requests than they can take": func(h *history) {
			h.coldPeriods = []coldPeriod{{server: "app-0", begin: baseTime.Add(-time.Minute), end: baseTime.Add(time.Minute)}}
			for i := range 1 + int(coldPerSecond*coldOvershoot+coldSlack) {
				addAttempt(h, fmt.Sprint("c", i), unsafePath, time.Second, func(a *attempt) {})
			}
		},
		"whole responses without length or chunks arrive": func(h *history) {
			addAttempt(h, "x", unsafePath, 0, func(a *attempt) { a.wholeUnframedAt, a.response.Complete = a.endedAt, false })
		},
		"requests succeed after the last fault": func(h *history) {
			h.attempts["a"].response.Complete = false
		},
	}
	assert.Equal(t, len(cases), len(checks))
	for name, violate := range cases {
		h := validHistory()
		violate(h)
		found := h.verify()
		assert.Assert(t, slices.ContainsFunc(found, func(s string) bool { return strings.HasPrefix(s, name+": ") }), "%s: %v", name, found)
	}
}

func TestTroubleExcusesForAWhile(t *testing.T) {
	h := newHistory()
	h.faultPeriods["gateway-0"] = []faultPeriod{{begin: baseTime, end: baseTime.Add(time.Second)}}
	assert.Assert(t, !h.gatewayUnaffected("gateway-0", baseTime.Add(3*time.Second), baseTime.Add(4*time.Second)))
	assert.Assert(t, h.gatewayUnaffected("gateway-0", baseTime.Add(5*time.Second), baseTime.Add(6*time.Second)))
	assert.Assert(t, h.gatewayUnaffected("gateway-1", baseTime, baseTime.Add(time.Second)))
}

// addCrashing makes an attempt one that crashes plain servers.
func addCrashing(a *attempt) { a.crashing, a.RouteType = true, platformtest.Safe }

// addCrashingPart gives an attempt a prompt with a crashing part.
func addCrashingPart(a *attempt) {
	a.crashingPart, a.APIKey = "bad", sharedKey
	a.Prompt = []platformtest.PromptPart{sharedPart("first"), sharedPart("bad"), {ID: "own", Tokens: ownPartTokens}}
	setArrivalPrompt(a)
}

func setArrivalPrompt(a *attempt) {
	a.arrivals[0].TokenCounts, a.arrivals[0].PromptPrefix = a.TokenCounts(), a.PromptPrefix()
}

// addComparedRequests adds requests with a crashing part from baseTime to 20 s later,
// which crash a server at baseTime, and sound requests with their first part: as many
// as are compared long after that crash, changed by modify, and as many before.
func addComparedRequests(h *history, modify func(*attempt)) {
	h.partCrashes["bad"] = []time.Time{baseTime}
	addAttempt(h, "bad-first", streamPath, 0, addCrashingPart)
	addAttempt(h, "bad-last", streamPath, 20*time.Second, addCrashingPart)
	for i := range minComparedRequests {
		sound := func(a *attempt) {
			a.Prompt = []platformtest.PromptPart{sharedPart("first"), {ID: a.AttemptID, Tokens: ownPartTokens}}
			setArrivalPrompt(a)
		}
		addAttempt(h, fmt.Sprintf("before-%d", i), streamPath, -time.Minute, sound)
		addAttempt(h, fmt.Sprintf("during-%d", i), streamPath, soundDelay+time.Second, func(a *attempt) { sound(a); modify(a) })
	}
}

func TestSoundRequestsBesideACrashingPart(t *testing.T) {
	begun := 0
	h := newHistory()
	addComparedRequests(h, func(a *attempt) {
		if begun++; begun > minComparedRequests/2 {
			a.ranOn = nil
		}
	})
	assert.DeepEqual(t, h.soundRequestsLost(), []string(nil))
	h = newHistory()
	addComparedRequests(h, func(a *attempt) { a.ranOn, a.isRetry = nil, true })
	assert.DeepEqual(t, h.soundRequestsLost(), []string(nil))
	h = newHistory()
	addComparedRequests(h, func(a *attempt) { a.ranOn = nil })
	assert.Equal(t, len(h.soundRequestsLost()), 1)
	for i := range minComparedRequests {
		addAttempt(h, fmt.Sprintf("after-%d", i), streamPath, time.Minute, func(a *attempt) {
			a.Prompt, a.ranOn = h.attempts["before-0"].Prompt, nil
			setArrivalPrompt(a)
		})
	}
	assert.Equal(t, len(h.soundRequestsLost()), 1, "sound requests that stay refused afterwards must not lower the mark")
	h.faultPeriods["rank-0-0"] = []faultPeriod{{begin: baseTime, end: baseTime.Add(soundDelay)}}
	assert.DeepEqual(t, h.soundRequestsLost(), []string(nil))
}

func TestStoppedPartsExcuseGatewaysOutOfTouch(t *testing.T) {
	newLateHistory := func() *history {
		h := newHistory()
		for range stoppedAfterCrashes {
			h.partCrashes["bad"] = append(h.partCrashes["bad"], baseTime)
		}
		for i := range allowedAfterStop + 1 {
			addAttempt(h, fmt.Sprintf("x%d", i), streamPath, maxStopDelay+time.Second, addCrashingPart)
		}
		return h
	}
	assert.Equal(t, len(newLateHistory().crashingPartArrivals()), 1)
	h := newLateHistory()
	h.partCrashes["bad"] = h.partCrashes["bad"][1:]
	assert.Equal(t, len(h.crashingPartArrivals()), 0, "four crashes decide nothing")
	h = newLateHistory()
	h.faultPeriods[restartOf("gateway-0")] = []faultPeriod{{begin: baseTime, end: baseTime.Add(2 * time.Second)}}
	assert.Equal(t, len(h.crashingPartArrivals()), 0, "a gateway that has just started is out of touch")
}

func TestChangedPromptHeadersAreSeen(t *testing.T) {
	h := newHistory()
	addAttempt(h, "x", streamPath, 0, addCrashingPart)
	assert.Equal(t, len(h.alteredRequests()), 0)
	h.attempts["x"].arrivals[0].PromptPrefix = "first:40"
	assert.Equal(t, len(h.alteredRequests()), 1)
}

func TestWholeUnframedResponsesAreNotAskedForAgain(t *testing.T) {
	h := newHistory()
	addAttempt(h, "x", streamPath, 0, func(a *attempt) { a.wholeUnframedAt = a.endedAt })
	assert.Equal(t, len(h.unframedLost()), 0)
	a := h.attempts["x"]
	again := a.arrivals[0]
	again.At = a.endedAt.Add(time.Millisecond)
	a.arrivals = append(a.arrivals, again)
	assert.Equal(t, len(h.unframedLost()), 1)
	h.faultPeriods[crashOf("app-0")] = []faultPeriod{{begin: baseTime}}
	assert.Equal(t, len(h.unframedLost()), 0)
}
