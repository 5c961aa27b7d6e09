package gateway

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"bluebellwind.example/backends"
)

const (
	// provenEvents is the number of events of a stream after which its request is no
	// suspect if the server crashes: the server had survived the beginning of the answer.
	provenEvents = 2
	// crashConfirmTimeout is how long after a connection broke it may turn out that the
	// server crashed, and crashPollInterval the interval at which that is checked.
	crashConfirmTimeout = 2 * time.Second
	crashPollInterval   = 20 * time.Millisecond
)

// brokenAttempt is an attempt whose server closed or reset the connection at the
// beginning of its answer.
type brokenAttempt struct {
	server backends.Server
	at     time.Time
	// begun says that the server had begun to answer.
	begun bool
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

// watchBroken watches whether the server of an attempt that failed with err has crashed,
// unless the answer was past its beginning.
func (x *exchange) watchBroken(choice *backends.Choice, err error, begun bool) {
	if x.attemptEvents >= provenEvents || !closedByServer(err) {
		return
	}
	broken := brokenAttempt{server: choice.Server, at: time.Now(), begun: begun}
	call := x.call
	go x.g.confirmCrash(broken, call)
}

// confirmCrash waits until it is known that the server has crashed, and records that.
func (g *Gateway) confirmCrash(broken brokenAttempt, call Call) {
	ticker := time.NewTicker(crashPollInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if g.directory.Crashed(&broken.server, broken.at) {
			g.recordCrash(broken, call)
			return
		}
		if now.Sub(broken.at) > crashConfirmTimeout {
			return
		}
	}
}

// recordCrash records that a server crashed at the beginning of the answer to a call.
func (g *Gateway) recordCrash(broken brokenAttempt, call Call) {
	g.metrics.countCrash(broken.begun)
	g.log.Warn().Str("event", "server_crashed").Str("request", call.ID).Str("server", broken.server.ID).
		Bool("begun", broken.begun).Str("model", call.Model).Str("parts", strings.Join(call.SharedParts, ",")).
		Int64("confirmed_ms", time.Since(broken.at).Milliseconds()).Msg("")
}
