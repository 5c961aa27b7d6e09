package gateway

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"syscall"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/internal/panics"
	"bluebellwind.example/quarantine"
	"bluebellwind.example/upstream"
)

const (
	// provenEvents is the number of events of a stream after which its answer is past its
	// beginning. A server that crashes later is less of a sign against the request: all
	// streams that it runs share the crash.
	provenEvents = 2
	// crashConfirmTimeout is how long after a connection broke it may turn out that the
	// server crashed, and crashPollInterval the interval at which that is checked.
	crashConfirmTimeout = 2 * time.Second
	crashPollInterval   = 20 * time.Millisecond
)

// brokenAttempt is an attempt whose server closed or reset the connection before the end of
// its answer.
type brokenAttempt struct {
	server backends.Server
	at     time.Time
	// begun says that the server had begun to answer, and was not past the beginning.
	begun  bool
	call   Call
	traits []quarantine.Trait
}

// closedByServer reports whether an attempt failed with err because the server closed or
// reset the connection.
func closedByServer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// watchBroken watches whether the server of an attempt that failed with err has crashed.
// begun says that the server had begun to answer.
func (x *exchange) watchBroken(choice *backends.Choice, err error, begun bool) {
	if !closedByServer(err) {
		return
	}
	pastBeginning := x.attemptEvents >= provenEvents
	known := x.watchedAhead
	now := time.Now()
	if known == nil {
		known = x.g.watchCrash(brokenAttempt{server: choice.Server, at: now, begun: begun && !pastBeginning, call: x.call, traits: x.traits})
	}
	if x.waitsForCrash(pastBeginning, now) {
		x.crashKnown = known
	}
}

// watchCrash watches in the background whether the server of a broken attempt has crashed. It
// returns a channel that is closed once that is known, or the request need not wait any longer.
func (g *Gateway) watchCrash(broken brokenAttempt) (known <-chan struct{}) {
	ctx, stopWaiting := context.WithCancel(context.Background())
	go func() {
		defer stopWaiting()
		if err := panics.Do("confirming a crash", func() { g.confirmCrash(&broken, stopWaiting) }); err != nil {
			g.logBackgroundPanic(err)
		}
	}()
	return ctx.Done()
}

// waitsForCrash reports whether the request, the answer to which broke off at now, must not be
// sent on before it is known whether the server crashed: if that would hold the request. Of
// requests that share parts, all of which are known from completed answers, and of those
// whose answer was past its beginning, the parts are not held for one crash.
func (x *exchange) waitsForCrash(pastBeginning bool, now time.Time) bool {
	if x.g.quarantine.NextCrashHolds(x.traits, now) {
		return true
	}
	return !pastBeginning && (x.isProbe || !x.sharesKnownParts())
}

// confirmCrash waits until it is known whether the server has crashed, and records what it
// has found. It calls known as soon as the request need not wait any longer.
func (g *Gateway) confirmCrash(broken *brokenAttempt, known func()) {
	defer known()
	ticker := time.NewTicker(crashPollInterval)
	defer ticker.Stop()
	probe := addressProbe{pool: g.pool, address: broken.server.Address}
	for now := range ticker.C {
		state := g.directory.CrashStateOf(&broken.server, broken.at)
		if state == backends.CrashUnreported {
			state = probe.check(now.Sub(broken.at))
			if probe.accepted > 0 {
				known()
			}
		}
		switch {
		case state == backends.CrashConfirmed:
			g.recordCrash(broken)
			return
		case state == backends.CrashRuledOut:
			g.recordNoCrash(broken, "ruled_out", now)
			return
		case now.Sub(broken.at) > crashConfirmTimeout:
			g.recordNoCrash(broken, "unknown", now)
			return
		}
	}
}

// crashProbeDelays are the times after a connection broke at which the address of a server
// without an agent is checked. A process that ends may accept connections for a moment.
var crashProbeDelays = []time.Duration{crashPollInterval, 150 * time.Millisecond, 500 * time.Millisecond}

// addressProbe finds out whether a server without an agent has crashed: its address then
// refuses connections. One that has only closed a connection accepts them.
type addressProbe struct {
	pool    *upstream.Pool
	address string
	// accepted is the number of checks in which a connection was accepted.
	accepted int
}

// check opens a connection if the next check is due at the given time after the connection
// to the server broke.
func (p *addressProbe) check(sinceBroken time.Duration) backends.CrashState {
	if sinceBroken < crashProbeDelays[p.accepted] {
		return backends.CrashUnknown
	}
	refused, err := p.pool.Refuses(context.Background(), p.address)
	if err != nil {
		return backends.CrashUnknown
	}
	if refused {
		return backends.CrashConfirmed
	}
	p.accepted++
	if p.accepted < len(crashProbeDelays) {
		return backends.CrashUnknown
	}
	return backends.CrashRuledOut
}

// recordCrash records that a server crashed before the end of the answer to a call.
func (g *Gateway) recordCrash(broken *brokenAttempt) {
	now := time.Now()
	strike := quarantine.Strike{Server: hashServer(&broken.server), At: broken.at, Begun: broken.begun}
	g.tellSuspicions(g.quarantine.RecordCrash(broken.traits, strike, now))
	g.attempts.cancelHeld(g.quarantine)
	g.metrics.countBrokenAttempt("crashed")
	g.metrics.countCrash(broken.begun)
	g.log.Warn().Str("event", "server_crashed").Str("request", broken.call.ID).Str("server", broken.server.ID).
		Bool("begun", broken.begun).Str("model", broken.call.Model).Str("parts", strings.Join(broken.call.SharedParts, ",")).
		Int64("confirmed_ms", now.Sub(broken.at).Milliseconds()).Int("strikes", g.quarantine.StrikeCount(broken.traits, now)).
		Int("held", g.quarantine.HeldCount(now)).Msg("")
}

// recordNoCrash records that no crash of the server was confirmed: it was ruled out, or
// nothing was heard of the server in time.
func (g *Gateway) recordNoCrash(broken *brokenAttempt, result string, now time.Time) {
	g.metrics.countBrokenAttempt(result)
	g.log.Info().Str("event", "server_not_crashed").Str("request", broken.call.ID).Str("server", broken.server.ID).
		Str("result", result).Int64("after_ms", now.Sub(broken.at).Milliseconds()).Msg("")
}

// hashServer identifies a server and its start.
func hashServer(s *backends.Server) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d", s.ID, s.Started) // Write of a hash never fails.
	return h.Sum64()
}
