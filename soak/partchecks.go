package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the checks for parts of prompts that crash servers.
const (
	// stoppedAfterCrashes is the number of crashes on a part after which, and
	// maxStopDelay the time after the last of them by which, requests with the part
	// must no longer reach servers.
	stoppedAfterCrashes = 5
	maxStopDelay        = 3 * time.Second
	// allowedAfterStop is the number of requests that may still reach servers.
	allowedAfterStop = 3
	// From soundDelay after that crash, sound requests must be begun at least
	// minBegunRatio times as often as without such requests. It is checked if there
	// are minComparedRequests of both.
	soundDelay          = 2 * maxStopDelay
	minBegunRatio       = 0.5
	minComparedRequests = 20
)

// crashingPeriod is what is known of the requests with one crashing part.
type crashingPeriod struct {
	firstSentAt, lastSentAt time.Time
	// decidingCrashAt is the time of the fifth crash, or the last if there are fewer.
	decidingCrashAt time.Time
	path            string
	keys, first     map[string]bool
}

// crashingPeriods returns what is known of the requests with each crashing part.
func (h *history) crashingPeriods() map[string]*crashingPeriod {
	out := make(map[string]*crashingPeriod)
	for _, a := range h.attempts {
		if a.crashingPart == "" {
			continue
		}
		p := out[a.crashingPart]
		if p == nil {
			p = &crashingPeriod{firstSentAt: a.sentAt, path: a.Path, keys: make(map[string]bool), first: make(map[string]bool)}
			out[a.crashingPart] = p
		}
		p.keys[a.APIKey], p.first[a.Prompt[0].ID] = true, true
		if a.sentAt.Before(p.firstSentAt) {
			p.firstSentAt = a.sentAt
		}
		if a.sentAt.After(p.lastSentAt) {
			p.lastSentAt = a.sentAt
		}
	}
	for part, p := range out {
		if crashes := h.partCrashes[part]; len(crashes) > 0 {
			p.decidingCrashAt = crashes[min(stoppedAfterCrashes, len(crashes))-1]
		}
	}
	return out
}

// gatewayInTouch reports whether a gateway was unaffected, and not terminated or
// started by an operator, between from and to and for faultGrace before.
func (h *history) gatewayInTouch(gateway string, from, to time.Time) bool {
	return h.gatewayUnaffected(gateway, from, to) && h.unaffected(restartOf(gateway), from, to)
}

// crashingPartArrivals finds parts that have crashed servers and still reach them.
func (h *history) crashingPartArrivals() []string {
	var out []string
	for part, crashes := range h.partCrashes {
		if len(crashes) < stoppedAfterCrashes {
			continue
		}
		stopBy := crashes[stoppedAfterCrashes-1].Add(maxStopDelay)
		late := 0
		for _, a := range h.attempts {
			for _, got := range a.arrivals {
				if a.crashingPart == part && got.At.After(stopBy) && h.gatewayInTouch(a.gateway, got.At, got.At) && h.unaffected(got.Server, got.At, got.At) {
					late++
				}
			}
		}
		if late > allowedAfterStop {
			out = append(out, fmt.Sprintf("%d requests with part %s reached servers later than %v after its crash number %d, of %d crashes",
				late, part, maxStopDelay, stoppedAfterCrashes, len(crashes)))
		}
	}
	return out
}

// begunCount counts requests and those of them that a server began to run.
type begunCount struct{ sent, begun int }

func (c *begunCount) add(a *attempt) {
	c.sent++
	if len(a.ranOn) > 0 {
		c.begun++
	}
}

func (c begunCount) share() float64 { return float64(c.begun) / float64(c.sent) }

// soundRequestsLost compares the sound requests that share the key, or the first
// part, of requests with a crashing part while those come with the ones before any
// came and those after, whichever fared better: a cure that keeps refusing sound
// requests afterwards must not lower the mark.
func (h *history) soundRequestsLost() []string {
	periods := h.crashingPeriods()
	var out []string
	for part, p := range periods {
		for key := range p.keys {
			counts := h.countBegun(periods, p, func(a *attempt) bool { return a.APIKey == key })
			out = append(out, counts.compare("key "+key, part)...)
		}
		for first := range p.first {
			counts := h.countBegun(periods, p, func(a *attempt) bool { return len(a.Prompt) > 0 && a.Prompt[0].ID == first })
			out = append(out, counts.compare("first part "+first, part)...)
		}
	}
	return out
}

// begunCounts counts sound requests while requests with a crashing part come, before
// any did, and after.
type begunCounts struct{ before, during, after begunCount }

// compare returns the violation of the requests that share a key or first part with
// those with a crashing part.
func (c begunCounts) compare(shared, part string) []string {
	for _, otherwise := range []begunCount{c.before, c.after} {
		if min(c.during.sent, otherwise.sent) >= minComparedRequests && c.during.share() < minBegunRatio*otherwise.share() {
			return []string{fmt.Sprintf("with %s: %d of %d begun while part %s came, %d of %d before, %d of %d after", shared,
				c.during.begun, c.during.sent, part, c.before.begun, c.before.sent, c.after.begun, c.after.sent)}
		}
	}
	return nil
}

// countBegun counts the sound requests of the route of p that match, while requests
// with its part come, before any with a crashing part did, and after the last.
func (h *history) countBegun(periods map[string]*crashingPeriod, p *crashingPeriod, matches func(*attempt) bool) begunCounts {
	var c begunCounts
	for _, a := range h.attempts {
		if a.crashingPart != "" || a.Path != p.path || !matches(a) || !h.undisturbed(a) {
			continue
		}
		switch {
		case !p.decidingCrashAt.IsZero() && a.sentAt.After(p.decidingCrashAt.Add(soundDelay)) && a.sentAt.Before(p.lastSentAt):
			c.during.add(a)
		case !anyPeriod(periods, func(p *crashingPeriod) bool { return a.sentAt.After(p.firstSentAt) }):
			c.before.add(a)
		case !anyPeriod(periods, func(p *crashingPeriod) bool { return a.sentAt.Before(p.lastSentAt.Add(faultGrace)) }):
			c.after.add(a)
		}
	}
	return c
}

func anyPeriod(periods map[string]*crashingPeriod, holds func(*crashingPeriod) bool) bool {
	for _, p := range periods {
		if holds(p) {
			return true
		}
	}
	return false
}

// undisturbed reports whether an attempt was the first of its request, ran its course
// and met no other fault at its gateway or any rank.
func (h *history) undisturbed(a *attempt) bool {
	_, revoked := h.keyRevokedAt[a.APIKey]
	if revoked || a.isRetry || !a.disconnectedAt.IsZero() || !h.gatewayInTouch(a.gateway, a.sentAt, a.endedAt) {
		return false
	}
	for target := range h.faultPeriods {
		if strings.HasPrefix(target, rankPrefix) && !h.unaffected(target, a.sentAt, a.endedAt) {
			return false
		}
	}
	return true
}

// unframedLost finds responses without length and chunks that a server has written
// whole and that did not arrive whole, or were asked for again.
func (h *history) unframedLost() []string {
	return h.eachAttempt(func(a *attempt) string {
		if a.wholeUnframedAt.IsZero() || len(a.arrivals) == 0 || h.unframedExcused(a) {
			return ""
		}
		last := a.arrivals[len(a.arrivals)-1]
		if last.At.After(a.wholeUnframedAt) {
			return fmt.Sprintf("reached %s after %s had written the whole response", last.Server, a.arrivals[0].Server)
		}
		if a.response.Status == http.StatusOK && a.response.Complete || len(a.arrivals) > 1 {
			return ""
		}
		return fmt.Sprintf("%s wrote it whole, status %d and %d bytes arrived in %v: %v",
			last.Server, a.response.Status, len(a.response.Body), a.endedAt.Sub(a.sentAt).Round(time.Millisecond), a.response.Err)
	})
}

// unframedExcused reports whether a response need not arrive whole: its caller left
// or its time ran out, or its gateway or one of its servers was affected.
func (h *history) unframedExcused(a *attempt) bool {
	for _, got := range a.arrivals {
		if !h.unaffected(got.Server, a.sentAt, a.endedAt) || !h.unaffected(crashOf(got.Server), a.sentAt, a.endedAt) {
			return true
		}
	}
	return !a.disconnectedAt.IsZero() || a.endedAt.Sub(a.sentAt) >= a.Timeout || a.startNumber == 0 || !h.gatewayUnaffected(a.gateway, a.sentAt, a.endedAt)
}
