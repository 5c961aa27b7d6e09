package rankagent

import (
	"context"
	"time"
)

const (
	// defaultStopTimeout is used if the options of an agent set no StopTimeout.
	defaultStopTimeout = 4 * time.Second
	// ownSwitchPatience is how long a stopping agent goes on with a switch of its own
	// for which it has not held the group yet.
	ownSwitchPatience = time.Second
	// leaveMessages is how many times an agent says that it leaves. It carries out
	// the orders that are on their way to it meanwhile.
	leaveMessages = 3
	// leaveFlushTimeout bounds how long the last of these messages may wait for the link.
	leaveFlushTimeout = 200 * time.Millisecond
)

// stop waits until the group does not need the agent, and tells the others that it
// leaves.
func (a *Agent) stop(ctx context.Context) {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	began := time.Now()
	ticker := time.NewTicker(fastReportPeriod)
	defer ticker.Stop()
	for !a.leaveIfAllowed(time.Since(began)) {
		<-ticker.C
	}
	a.log.Info().Str("event", "leaving").Int64("stayed_ms", time.Since(began).Milliseconds()).Msg("")
	for range leaveMessages {
		a.reportStatus(ctx, true)
		<-ticker.C
	}
}

// leaveIfAllowed makes the agent leave if its group does not need it any more. From then
// on it does not lead. elapsed is the time since it was told to stop.
func (a *Agent) leaveIfAllowed(elapsed time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	timeout := a.options.StopTimeout
	if timeout == 0 {
		timeout = defaultStopTimeout
	}
	if a.up && a.leader.needsAgent(elapsed, timeout) {
		return false
	}
	a.leaving = true
	a.statusSentAt = time.Time{} // The gateways get the next status too.
	return true
}

// needsAgent reports whether a stopping agent has to stay, elapsed after it was told to
// stop: its group is held or on its way to a switch. It gives up a switch of its own
// that does not get to its hold in time.
func (l *leader) needsAgent(elapsed, timeout time.Duration) bool {
	if l.mapSwitch == nil || elapsed >= timeout {
		return false
	}
	if elapsed >= min(ownSwitchPatience, timeout/2) {
		l.mapSwitch.Abandon()
	}
	return l.mapSwitch.Unfinished()
}
