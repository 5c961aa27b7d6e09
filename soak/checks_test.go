package soak

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/platform/platformtest"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// add adds a request that was sent at a time, ran once and was answered.
func add(l *ledger, id, path string, at time.Duration, change func(*attempt)) {
	sent := start.Add(at)
	a := &attempt{organisation: steadyOrg, gateway: "gateway-0", life: 1, sent: sent, done: sent.Add(50 * time.Millisecond)}
	a.AttemptID, a.Path, a.APIKey, a.Timeout, a.RouteType = id, path, steadyKey, plainDeadline, platformtest.Unsafe
	a.arrivals = []platformtest.Arrival{{
		Attempt: id, Server: "app-0", Service: appService, Organisation: steadyOrg, Path: path, At: sent.Add(time.Millisecond),
	}}
	a.ran = []string{"app-0"}
	body := platformtest.Body(id)
	if path == draftPath {
		a.RouteType, body = platformtest.Stream, platformtest.StreamBody(id, shape.MeanEvents)
	}
	a.answer = platformtest.Response{Status: http.StatusOK, Seal: platformtest.Seal("app-0", id), Body: body, RequestSent: true, Complete: true}
	if change != nil {
		change(a)
	}
	l.attempts[id] = a
}

// sound returns a ledger in which no promise is broken.
func sound() *ledger {
	l := newLedger()
	l.calmFrom = start
	for i, path := range []string{draftPath, payPath, lookPath, canaryPath} {
		add(l, string(rune('a'+i)), path, recoverBound+time.Second, nil)
	}
	return l
}

func TestEachCheckIsSeenFailing(t *testing.T) {
	assert.DeepEqual(t, sound().verify(), []string(nil))
	arrival := func(a *attempt) *platformtest.Arrival { return &a.arrivals[0] }
	cases := map[string]func(l *ledger){
		"at most once": func(l *ledger) {
			add(l, "x", payPath, 0, func(a *attempt) { a.ran = append(a.ran, "app-1") })
		},
		"refusals are true": func(l *ledger) {
			add(l, "x", payPath, 0, func(a *attempt) { a.answer = platformtest.Response{Status: http.StatusServiceUnavailable} })
		},
		"answers are whole and the caller's own": func(l *ledger) {
			add(l, "x", draftPath, 0, func(a *attempt) { a.answer.Body = a.answer.Body[:20] })
		},
		"servers get what callers sent": func(l *ledger) {
			add(l, "x", payPath, 0, func(a *attempt) { arrival(a).HasAPIKey = true })
		},
		"revoked keys stay out": func(l *ledger) {
			l.revoked["gone"] = start
			add(l, "x", payPath, bounds.RevokeBound()+time.Second, func(a *attempt) { a.APIKey = "gone" })
		},
		"configurations come in time and never go back": func(l *ledger) {
			l.versions = []version{
				{canary: canaryService(0), sent: start.Add(-time.Minute), stored: start.Add(-time.Minute)},
				{canary: canaryService(1), sent: start, stored: start},
			}
			add(l, "x", canaryPath, 3*time.Second, func(a *attempt) { arrival(a).Service = canaryService(0) })
		},
		"leaving servers are left alone": func(l *ledger) {
			l.leaving["app-0"] = start
			for _, a := range l.attempts {
				arrival(a).Server = "app-1"
			}
			add(l, "x", payPath, 3*time.Second, nil)
		},
		"proper requests are not denied": func(l *ledger) {
			add(l, "x", payPath, 0, func(a *attempt) { a.answer = platformtest.Response{Status: http.StatusUnauthorized} })
		},
		"requests of callers that left go nowhere": func(l *ledger) {
			for _, id := range []string{"w", "x", "y", "z"} {
				add(l, id, payPath, 0, func(a *attempt) { a.left = a.sent; arrival(a).At = a.sent.Add(time.Second) })
			}
		},
		"requests end by their timeout": func(l *ledger) {
			add(l, "x", payPath, 0, func(a *attempt) { a.done = a.sent.Add(a.Timeout + time.Second) })
		},
		"accepted requests get an answer": func(l *ledger) {
			add(l, "x", payPath, 0, func(a *attempt) {
				a.answer = platformtest.Response{RequestSent: true, Err: errors.New("closed")}
			})
		},
		"the retry budget is kept": func(l *ledger) {
			add(l, "x", lookPath, 0, func(a *attempt) {
				a.RouteType = platformtest.Safe
				for range 40 {
					a.arrivals = append(a.arrivals, a.arrivals[0])
				}
			})
		},
		"one map a pass":      func(l *ledger) { l.maps = []string{"two maps"} },
		"no group stays held": func(l *ledger) { l.held = []string{"g0"} },
		"callers are served again": func(l *ledger) {
			l.attempts["a"].answer.Complete = false
		},
	}
	assert.Equal(t, len(cases), len(checks))
	for name, broken := range cases {
		l := sound()
		broken(l)
		found := l.verify()
		assert.Assert(t, slices.ContainsFunc(found, func(s string) bool { return strings.HasPrefix(s, name+": ") }), "%s: %v", name, found)
	}
}

func TestTroubleExcusesForAWhile(t *testing.T) {
	l := newLedger()
	l.troubles["gateway-0"] = []span{{from: start, to: start.Add(time.Second)}}
	assert.Assert(t, !l.inTouch("gateway-0", start.Add(3*time.Second), start.Add(4*time.Second)))
	assert.Assert(t, l.inTouch("gateway-0", start.Add(5*time.Second), start.Add(6*time.Second)))
	assert.Assert(t, l.inTouch("gateway-1", start, start.Add(time.Second)))
}
