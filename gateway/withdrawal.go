package gateway

import (
	"net/http"
	"sync"
	"time"

	"bluebellwind.example/backends"
)

// maxMalformedLogged bounds the number of servers for which a malformed header is
// logged.
const maxMalformedLogged = 256

// malformedLog remembers the servers for which a malformed header was logged. It is
// safe for concurrent use; the zero value remembers none.
type malformedLog struct {
	mu     sync.Mutex
	logged map[string]bool
}

// first reports whether nothing was logged for the server yet, and remembers it. It
// returns false once maxMalformedLogged servers are remembered.
func (l *malformedLog) first(server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged[server] || len(l.logged) >= maxMalformedLogged {
		return false
	}
	if l.logged == nil {
		l.logged = make(map[string]bool)
	}
	l.logged[server] = true
	return true
}

// recordWithdrawal records what a server says in a response about further requests:
// that it leaves, that it wants none for a time, or only so many.
func (g *Gateway) recordWithdrawal(choice *backends.Choice, status int, metadata ResponseMetadata) {
	now := time.Now()
	g.recordCold(choice, status, metadata, now)
	g.recordLimit(choice, status, metadata, now)
	if metadata.Malformed != "" && g.malformed.first(choice.ID) {
		g.log.Warn().Str("event", "header_unreadable").Str("server", choice.ID).Str("header", metadata.Malformed).Msg("")
	}
	if metadata.Leaving && g.directory.MarkLeaving(choice.ID, now) {
		g.metrics.countWithdrawal("leaving")
		g.log.Info().Str("event", "server").Str("server", choice.ID).Str("change", "says that it leaves").Msg("")
		if g.options.OnLeaving != nil {
			g.options.OnLeaving(choice.Server)
		}
	}
	if metadata.Backoff > 0 {
		g.metrics.countWithdrawal("backoff")
		g.directory.BackOff(choice.ID, metadata.Backoff, now)
		g.log.Info().Str("event", "server").Str("server", choice.ID).Str("change", "wants no requests").
			Int64("for_ms", metadata.Backoff.Milliseconds()).Msg("")
	}
}

// recordCold records that the server has answered, and for how long it stays cold.
func (g *Gateway) recordCold(choice *backends.Choice, status int, metadata ResponseMetadata, now time.Time) {
	if status == http.StatusMisdirectedRequest {
		g.directory.RecordMisdirected(choice)
		return
	}
	if metadata.MalformedCold != "" && g.malformedCold.first(choice.ID) {
		g.log.Warn().Str("event", "header_unreadable").Str("server", choice.ID).Str("header", metadata.MalformedCold).Msg("")
	}
	known := metadata.MalformedCold == "" && (status < http.StatusInternalServerError || metadata.ColdRemaining > 0)
	if g.directory.RecordAnswer(choice, metadata.ColdRemaining, known, now) {
		g.metrics.countWithdrawal("cold")
		g.log.Info().Str("event", "server").Str("server", choice.ID).Str("change", "is cold").
			Int64("for_ms", metadata.ColdRemaining.Milliseconds()).Msg("")
	}
}

// recordLimit records how many requests a server takes, as it says in a response.
func (g *Gateway) recordLimit(choice *backends.Choice, status int, metadata ResponseMetadata, now time.Time) {
	limit := metadata.RequestLimit
	if status == http.StatusMisdirectedRequest {
		return // Another server has the address now.
	}
	if limit == nil && (status >= http.StatusInternalServerError || metadata.Malformed != "") {
		return // The response may lack a limit that still applies.
	}
	changed := g.directory.RecordLimit(choice, limit, now)
	for i := range changed {
		g.metrics.countWithdrawal("limit")
		g.log.Info().Str("event", "server").Str("server", choice.ID).Str("change", "limits its requests").
			Bool("lifted", changed[i].Lifted).Float64("per_second", changed[i].PerSecond).Msg("")
	}
	if len(changed) > 0 && g.options.OnLimits != nil {
		g.options.OnLimits(changed)
	}
}
