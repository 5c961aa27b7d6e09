package gateway

import (
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
// that it leaves, or that it wants none for a time.
func (g *Gateway) recordWithdrawal(choice *backends.Choice, metadata ResponseMetadata) {
	now := time.Now()
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
