package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"bluebellwind.example/platform/platformtest"
)

// Bounds of the promises.
const (
	// stability is how long trouble excuses a gateway after its end.
	stability = 3 * time.Second
	// configBound is how long after its acknowledgement a configuration may take
	// to be in force, drainBound the same for a server that leaves.
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	// backBound is how long after its effect was seen a configuration may still
	// be undone by requests that were under way.
	backBound = 250 * time.Millisecond
	// goneBound is how long after its caller left a request may reach a server.
	goneBound = 500 * time.Millisecond
	// goneAllowed is how many requests may, as they cross the close.
	goneAllowed = 3
	// lateBound is how long after its timeout a request may be without an answer.
	lateBound = 500 * time.Millisecond
	// recoverBound is how long after the last fault callers must be served again.
	recoverBound = 4 * time.Second
	// recoverShare of their requests must be answered by then.
	recoverShare = 0.25
)

// check finds where a promise was broken. The ledger's lock is held.
type check struct {
	name string
	find func(*ledger) []string
}

var checks = []check{
	{"at most once", (*ledger).ranTwice},
	{"refusals are true", (*ledger).falseRefusals},
	{"answers are whole and the caller's own", (*ledger).wrongAnswers},
	{"servers get what callers sent", (*ledger).changedRequests},
	{"revoked keys stay out", (*ledger).revokedKeys},
	{"configurations come in time and never go back", (*ledger).oldConfigs},
	{"leaving servers are left alone", (*ledger).sentToLeaving},
	{"proper requests are not denied", (*ledger).denied},
	{"requests of callers that left go nowhere", (*ledger).sentAfterLeft},
	{"requests end by their timeout", (*ledger).heldTooLong},
	{"accepted requests get an answer", (*ledger).dropped},
	{"the retry budget is kept", (*ledger).overBudget},
	{"one map a pass", func(l *ledger) []string { return l.maps }},
	{"no group stays held", func(l *ledger) []string { return l.held }},
	{"callers are served again", (*ledger).unrecovered},
}

// verify returns a line for each promise that was broken.
func (l *ledger) verify() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, c := range checks {
		for _, found := range c.find(l) {
			out = append(out, c.name+": "+found)
		}
	}
	slices.Sort(out)
	return out
}

// each collects what f says of the attempts; empty is nothing.
func (l *ledger) each(f func(*attempt) string) []string {
	var out []string
	for _, a := range l.attempts {
		if found := f(a); found != "" {
			out = append(out, fmt.Sprintf("%s %s at %s: %s", a.Path, a.AttemptID, a.gateway, found))
		}
	}
	return out
}

func (l *ledger) ranTwice() []string {
	return l.each(func(a *attempt) string {
		if a.RouteType == platformtest.Unsafe && len(a.ran) > 1 {
			return fmt.Sprintf("ran at %v", a.ran)
		}
		return ""
	})
}

// promises says that a status states that the request has not run.
func promises(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func (l *ledger) falseRefusals() []string {
	return l.each(func(a *attempt) string {
		if a.RouteType != platformtest.Safe && promises(a.answer.Status) && len(a.ran) > 0 {
			return fmt.Sprintf("status %d, but ran at %v", a.answer.Status, a.ran)
		}
		return ""
	})
}

func (l *ledger) wrongAnswers() []string {
	return l.each(func(a *attempt) string {
		got := a.answer
		if got.Status != http.StatusOK {
			return ""
		}
		server, _, _ := strings.Cut(got.Seal, ".")
		if got.Seal != platformtest.Seal(server, a.AttemptID) {
			return "sealed as " + got.Seal
		}
		want := platformtest.Body(a.AttemptID)
		if a.RouteType == platformtest.Stream {
			want = platformtest.StreamBody(a.AttemptID, shape.MeanEvents)
		}
		if !bytes.HasPrefix(want, got.Body) {
			return fmt.Sprintf("the body is not the server's: %q", got.Body)
		}
		if got.Complete && len(got.Body) != len(want) {
			return fmt.Sprintf("looks complete with %d of %d bytes", len(got.Body), len(want))
		}
		return ""
	})
}

func (l *ledger) changedRequests() []string {
	out := l.each(func(a *attempt) string {
		for _, got := range a.arrivals {
			if got.Path != a.Path || got.Organisation != a.organisation || got.HasAPIKey {
				return fmt.Sprintf("arrived as %+v", got)
			}
		}
		return ""
	})
	for _, got := range l.unasked {
		out = append(out, fmt.Sprintf("nobody sent %+v", got))
	}
	return out
}

func (l *ledger) revokedKeys() []string {
	return l.each(func(a *attempt) string {
		gone, revoked := l.revoked[a.APIKey]
		if revoked && len(a.ran) > 0 && a.sent.Sub(gone) > bounds.RevokeBound() {
			return fmt.Sprintf("ran %v after its key was gone", a.sent.Sub(gone))
		}
		return ""
	})
}

// seen returns which configuration an attempt was handled by, as an index; the
// newest that fits. It is -1 if that does not show.
func (l *ledger) seen(a *attempt) int {
	if a.Path != canaryPath || len(a.arrivals) == 0 {
		return -1
	}
	for i := len(l.versions) - 1; i >= 0; i-- {
		if l.versions[i].sent.Before(a.arrivals[0].At) && l.versions[i].canary == a.arrivals[0].Service {
			return i
		}
	}
	return -1
}

func (l *ledger) oldConfigs() []string {
	type life struct {
		gateway string
		number  int
	}
	first := make(map[life]map[int]time.Time) // When each version was seen first.
	for _, a := range l.attempts {
		if i := l.seen(a); i >= 0 && a.life != 0 {
			key := life{a.gateway, a.life}
			if first[key] == nil {
				first[key] = make(map[int]time.Time)
			}
			if at, ok := first[key][i]; !ok || a.arrivals[0].At.Before(at) {
				first[key][i] = a.arrivals[0].At
			}
		}
	}
	return l.each(func(a *attempt) string {
		i := l.seen(a)
		if i < 0 {
			return ""
		}
		for newer, at := range first[life{a.gateway, a.life}] {
			if newer > i && a.sent.Sub(at) > backBound {
				return fmt.Sprintf("configuration %d, %v after %d was seen", i, a.sent.Sub(at), newer)
			}
		}
		for newer := i + 1; newer < len(l.versions); newer++ {
			late := a.sent.Sub(l.versions[newer].stored)
			if late > configBound && l.inTouch(a.gateway, l.versions[newer].sent, a.sent) {
				return fmt.Sprintf("configuration %d, %v after %d was stored", i, late, newer)
			}
		}
		return ""
	})
}

func (l *ledger) sentToLeaving() []string {
	return l.each(func(a *attempt) string {
		for _, got := range a.arrivals {
			gone, leaving := l.leaving[got.Server]
			late := got.At.Sub(gone)
			if leaving && late > drainBound && l.inTouch(a.gateway, gone, got.At) && l.sound(got.Server, gone, got.At) {
				return fmt.Sprintf("reached %s %v after it was leaving", got.Server, late)
			}
		}
		return ""
	})
}

func (l *ledger) denied() []string {
	return l.each(func(a *attempt) string {
		_, revoked := l.revoked[a.APIKey]
		denial := a.answer.Status >= 300 && a.answer.Status < 500 && !promises(a.answer.Status)
		if denial && !revoked {
			return fmt.Sprintf("status %d", a.answer.Status)
		}
		return ""
	})
}

func (l *ledger) sentAfterLeft() []string {
	found := l.each(func(a *attempt) string {
		for _, got := range a.arrivals {
			late := got.At.Sub(a.left)
			if !a.left.IsZero() && late > goneBound && l.inTouch(a.gateway, a.sent, got.At) && l.sound(got.Server, a.sent, got.At) {
				return fmt.Sprintf("reached %s %v after its caller left", got.Server, late)
			}
		}
		return ""
	})
	if len(found) <= goneAllowed {
		return nil
	}
	return found
}

func (l *ledger) heldTooLong() []string {
	return l.each(func(a *attempt) string {
		over := a.done.Sub(a.sent) - a.Timeout
		if over > lateBound && l.inTouch(a.gateway, a.sent, a.done) {
			return fmt.Sprintf("ended %v after its timeout", over)
		}
		return ""
	})
}

// dropped finds requests that were passed on by a gateway which then closed the
// connection without an answer.
func (l *ledger) dropped() []string {
	return l.each(func(a *attempt) string {
		unanswered := a.answer.Status == 0 && a.answer.RequestSent && len(a.arrivals) > 0 && a.left.IsZero()
		if unanswered && a.life != 0 && l.inTouch(a.gateway, a.sent, a.done) {
			return fmt.Sprintf("no answer: %v", a.answer.Err)
		}
		return ""
	})
}

// overBudget counts the arrivals beyond the first of each request in windows that
// begin at each of them.
func (l *ledger) overBudget() []string {
	firsts, repeats := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, a := range l.attempts {
		for i, got := range a.arrivals {
			if i == 0 {
				firsts[got.Service] = append(firsts[got.Service], got.At)
			} else {
				repeats[got.Service] = append(repeats[got.Service], got.At)
			}
		}
	}
	var out []string
	for service, times := range repeats {
		for _, from := range times {
			sent, again := within(firsts[service], from), within(times, from)
			if float64(again) > bounds.RetryRatio*float64(sent)+bounds.RetryFree {
				out = append(out, fmt.Sprintf("%s: %d repeats of %d requests in a window", service, again, sent))
				break
			}
		}
	}
	return out
}

// within counts the times in the window of the retry budget from a time on.
func within(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) < bounds.RetryWindow() {
			n++
		}
	}
	return n
}

func (l *ledger) unrecovered() []string {
	sent, served := make(map[string]int), make(map[string]int)
	for _, a := range l.attempts {
		_, revoked := l.revoked[a.APIKey]
		if a.sent.Before(l.calmFrom.Add(recoverBound)) || revoked || !a.left.IsZero() {
			continue
		}
		sent[a.Path]++
		if a.answer.Status == http.StatusOK && a.answer.Complete {
			served[a.Path]++
		}
	}
	var out []string
	for _, path := range []string{draftPath, payPath, lookPath, canaryPath} {
		if sent[path] == 0 || float64(served[path]) < recoverShare*float64(sent[path]) {
			out = append(out, fmt.Sprintf("%s: %d of %d", path, served[path], sent[path]))
		}
	}
	return out
}
