package gateway

import (
	"context"
	"slices"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/verdict"
)

// maxSelections is the maximum number of servers selected for one request,
// including those that could not be reached.
const maxSelections = 4

// attempts is what is known of the attempts to send one request to backend servers.
type attempts struct {
	// sendCount is the number of servers that may have received the request.
	sendCount int
	// selectionCount is the number of servers selected, including those that
	// could not be reached.
	selectionCount int
	// triedServers holds the IDs of the servers at which an attempt failed, and
	// avoidGroups the names of their groups.
	triedServers []string
	avoidGroups  []string
	// mayHaveRun is set before the first byte is sent to a server. It is reset to
	// its previous value only if that server states that it did not run the
	// request.
	mayHaveRun bool
	// isProbe is set if the request was admitted although it has held traits.
	isProbe bool

	// choice is the server of the current attempt, and current that attempt until its
	// first event; nil if it must not be ended. currentCtx is the context of the attempt.
	choice     *backends.Choice
	current    *attempt
	currentCtx context.Context
	// reusedConnection is set if the latest response came on a connection that had
	// carried another request before.
	reusedConnection bool
	// attemptEvents is the number of events received in the current attempt.
	attemptEvents int
	// failureCause is why the latest attempt failed, for the log.
	failureCause string
	// serverGivenUp is set if the latest attempt ended because the server was silent,
	// although it had not failed.
	serverGivenUp bool
	// crashKnown is closed once it is known whether the server of the last attempt
	// crashed; nil if the request need not wait for that.
	crashKnown <-chan struct{}
	// watchedAhead is closed like crashKnown. It is set while a response is handled that broke
	// off as it was read ahead: whether its server crashed is being watched since then.
	watchedAhead <-chan struct{}

	// standby is the attempt that is made beside the current one; nil if there is
	// none. None is started before standbyNotBefore.
	standby          *standby
	standbyNotBefore time.Time
	// standbyMayHaveRun is set if the request may have run at a standby that failed.
	standbyMayHaveRun bool
}

// attemptOutcome is the result of sending the request to one server.
type attemptOutcome uint8

const (
	// outcomeAnswered means that the caller has been sent the whole response.
	outcomeAnswered attemptOutcome = iota
	// outcomeNotRun means that the server did not run the request, or that no
	// connection to it could be used.
	outcomeNotRun
	// outcomeFailed means that the response was an error, was incomplete or never
	// came.
	outcomeFailed
	// outcomeCanceled means that the caller disconnected or the deadline passed.
	outcomeCanceled
	// outcomeConfigStale means that nothing was sent because beforeSend returned
	// errConfigStale.
	outcomeConfigStale
	// outcomeQuarantined means that the attempt was ended because its request is held.
	outcomeQuarantined
	// outcomeSlowCaller means that the response was ended because the caller reads it too
	// slowly.
	outcomeSlowCaller
)

// markTried excludes a server, and its group if possible, from further selections.
func (a *attempts) markTried(choice *backends.Choice) {
	if slices.Contains(a.triedServers, choice.ID) {
		return
	}
	a.triedServers = append(a.triedServers, choice.ID)
	if choice.Group.Name != "" {
		a.avoidGroups = append(a.avoidGroups, choice.Group.Name)
	}
}

// verdict returns whether the request may have run.
func (a *attempts) verdict() verdict.Verdict {
	if a.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
