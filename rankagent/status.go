package rankagent

import (
	"context"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// reportPeriod is the time between two reads of the local server. Such reads
	// cost nothing.
	reportPeriod = 100 * time.Millisecond
	// fastReportPeriod replaces reportPeriod for fastReportSpan after an order,
	// because at each stage of a switch the group waits for its slowest rank.
	fastReportPeriod = 35 * time.Millisecond
	fastReportSpan   = 600 * time.Millisecond
	// statusPeriod is the time between two status messages if nothing changes.
	statusPeriod = 200 * time.Millisecond
	// statusPeriodPerGateway times the number of gateways is the least status
	// period, so that the traffic of status messages stays bounded.
	statusPeriodPerGateway = 5 * time.Millisecond
	// countsPeriod is the time between two reads of the expert counts.
	countsPeriod = 180 * time.Millisecond
	// leaderPeriod is the time between two runs of the leader.
	leaderPeriod = 30 * time.Millisecond
	// readTimeout and orderTimeout bound one call to a server. The outcome of an
	// order without an answer shows in the next report of the rank.
	readTimeout  = 250 * time.Millisecond
	orderTimeout = 200 * time.Millisecond
)

// readIfDue reads the server if its report period is over.
func (a *Agent) readIfDue(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	fast := now.Sub(a.orderedAt) < fastReportSpan
	// The tolerance of half a tick keeps an early tick from delaying the read to
	// the next tick.
	due := fast || now.Sub(a.reportReadAt) >= reportPeriod-fastReportPeriod/2
	if due {
		a.reportReadAt = now
	}
	a.mu.Unlock()
	if due {
		a.reportStatus(ctx, false)
	}
}

// reportStatus reads the server and sends its status. The group's agents get it
// after a change, after a stage of a switch, when the status period is over or
// if force is set; the gateways after a change or when the status period is
// over. A change is one of the server's availability, its group or whether the
// group is open. While gateways get digests of a large group, its candidates get
// the status more often and those gateways only at each HeartbeatPeriod.
func (a *Agent) reportStatus(ctx context.Context, force bool) {
	a.reportMu.Lock()
	defer a.reportMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	readAt := time.Now()
	report, err := a.engine.Report(ctx)
	now := time.Now()
	a.mu.Lock()
	up := err == nil
	if !isGroup(report.Group) {
		report.Group = backends.Group{}
	}
	if !up {
		readAt = now // The server did not answer until now.
	}
	a.stampRead(readAt)
	changed := up != a.up || up && (report.Group != a.report.Group || report.State.Open != a.report.State.Open)
	if changed {
		a.logServerChange(up, report, err)
	}
	// The leader waits for each stage of a switch, so such a change is sent
	// without delay.
	switchProgressed := up && !equalExceptPass(report.State, a.report.State)
	if up {
		a.passTimer.observe(report, now)
		a.recordSlowness(report)
		a.report = report
		a.leader.observeLocal(report, now)
	}
	a.up = up
	toGroup, peers, gateways := a.statusReceivers(changed, force || switchProgressed, now)
	if len(peers) == 0 && len(gateways) == 0 && !toGroup {
		a.mu.Unlock()
		return
	}
	a.sequence++
	status := a.statusMessage()
	a.noteRelayed(mesh.Peer{}, status, now)
	packet := &meshpb.Packet{Status: status}
	if toGroup {
		packet.ServedGateways = a.servedMessage(now)
	}
	a.mu.Unlock()
	a.mesh.Send(packet, peers...)
	if switchProgressed {
		a.wakeLeader()
	}
	if len(gateways) > 0 {
		a.mesh.Send(&meshpb.Packet{Status: status}, gateways...)
	}
}

// statusReceivers returns the agents and the gateways that get the status at now, and
// whether the agents are those of the whole group that need it. changed says that the
// status is to go to everyone, forced that it is to go to the group. The caller holds a.mu.
func (a *Agent) statusReceivers(changed, forced bool, now time.Time) (toGroup bool, peers, gateways []mesh.Peer) {
	toAll := changed || a.statusSentAt.IsZero() // Also when the agent has just decided to leave.
	due := now.Sub(a.statusSentAt) >= a.statusPeriod()
	relayed := a.anyServed(now)
	heartbeat := relayed && now.Sub(a.heartbeatAt) >= max(HeartbeatPeriod, a.statusPeriod())
	candidatesDue := relayed && now.Sub(a.candidatesSentAt) >= a.relayedPeriod()
	switch {
	case changed || forced || due && (!relayed || candidatesDue): // Candidates get no datagram in between for it.
		toGroup = true
		a.statusSentAt, a.candidatesSentAt = now, now
		peers = a.leader.statusPeers()
	case candidatesDue:
		a.candidatesSentAt = now
		peers = a.leader.candidatePeers()
	}
	switch {
	case toAll || heartbeat || due && !relayed:
		a.heartbeatAt, a.unservedAt = now, now
		gateways = a.mesh.Peers(mesh.Gateway)
	case relayed && now.Sub(a.unservedAt) >= a.statusPeriod():
		a.unservedAt = now
		gateways = a.withoutServed(a.mesh.Peers(mesh.Gateway), now)
	}
	return toGroup, peers, gateways
}

// stampRead sets the time that the next status states. It rises with each read. The caller
// holds a.mu.
func (a *Agent) stampRead(readAt time.Time) {
	a.lastReadMs = max(a.lastReadMs+1, a.clock.Now().Add(-time.Since(readAt)).UnixMilli())
}

// relayedPeriod returns the time between two statuses to the candidates of a large group
// while gateways get digests. With the period of the digests it gives statuses the same
// mean age at gateways as one each statusPeriod, or a lower one. Reads come at ticks of
// fastReportPeriod, some of them early. The caller holds a.mu.
func (a *Agent) relayedPeriod() time.Duration {
	period := a.statusPeriod()
	relayed := max(reportPeriod, min(period-digestPeriod, max(2*reportPeriod, period/2)))
	return max(relayed, relayedStatusPerRank*time.Duration(a.report.Group.Size)) - fastReportPeriod/2
}

// equalExceptPass reports whether two states of a rank are equal except for the
// last pass.
func equalExceptPass(a, b groupmap.RankState) bool {
	a.Step, b.Step = 0, 0
	return a == b
}

// statusPeriod returns the time between two status messages if nothing changes.
// The caller holds a.mu.
func (a *Agent) statusPeriod() time.Duration {
	return max(statusPeriod, time.Duration(a.mesh.Count(mesh.Gateway))*statusPeriodPerGateway)
}

func (a *Agent) logServerChange(up bool, r Report, err error) {
	entry := a.log.Info().Str("event", "server").Bool("up", up)
	if err != nil {
		entry = entry.Str("cause", err.Error())
	}
	entry.Str("group", r.Group.Name).Uint64("epoch", r.Group.Epoch).Int("rank", r.Group.Rank).Bool("open", r.State.Open).Msg("")
}

// recordSlowness records how slow the server is, and logs when it becomes slow and when
// it is no longer. The caller holds a.mu.
func (a *Agent) recordSlowness(r Report) {
	a.metrics.relativePassTime.Store(int64(r.RelativePassTime * paceUnit))
	slow := r.RelativePassTime > minSlowPassTime
	if slow == a.slow {
		return
	}
	a.slow = slow
	a.log.Info().Str("event", "server_slow").Bool("slow", slow).Str("group", r.Group.Name).Int("rank", r.Group.Rank).
		Float64("relative_pass_time", r.RelativePassTime).Int("running", r.Running).Msg("")
}

// statusMessage returns the last report as a message. The caller holds a.mu.
func (a *Agent) statusMessage() *meshpb.RankStatus {
	r := a.report
	var readMs int64
	if RelaysStatuses(r.Group.Size) {
		readMs = a.lastReadMs
	}
	return &meshpb.RankStatus{
		ReadMs:       readMs,
		Server:       a.options.Server,
		Up:           a.up,
		Group:        r.Group.Name,
		Epoch:        r.Group.Epoch,
		Rank:         uint32(r.Group.Rank),
		Size:         uint32(r.Group.Size),
		Open:         r.State.Open,
		Step:         r.State.Step,
		Map:          r.State.MapVersion,
		Prepared:     r.State.PreparedVersion,
		ArmedVersion: r.State.ArmedVersion,
		ArmedStep:    r.State.ArmedStep,
		Held:         r.State.HeldStep,
		Running:      uint32(r.Running),
		Waiting:      uint32(r.Waiting),
		PaceMilli:    uint32(r.RelativePassTime * paceUnit),
		Sequence:     a.sequence,
		PassUs:       uint32(a.passTimer.meanDuration.Microseconds()),
		Leaving:      a.leaving,
		MapKnown:     a.knowsMapInUse(),
		SumsCounts:   a.relaying(),
	}
}

func (a *Agent) handleStatus(from mesh.Peer, s *meshpb.RankStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteRelayed(from, s, time.Now())
	if !s.Up {
		return
	}
	if s.Group == "" || s.Group != a.report.Group.Name || int(s.Rank) >= a.report.Group.Size {
		return
	}
	if a.report.Group.Rank == initiatorRank && (s.Prepared != 0 || s.ArmedVersion != 0) {
		a.wakeLeader()
	}
	now := time.Now()
	if !a.leader.noteAgent(from, int(s.Rank), s.Leaving) {
		return
	}
	a.leader.noteMap(int(s.Rank), mapKey{s.Epoch, s.Map}, s.MapKnown)
	a.leader.presence.noteSumsCounts(int(s.Rank), s.SumsCounts)
	a.leader.requestsByRank[int(s.Rank)] = int(s.Running + s.Waiting)
	a.leader.passTimes[int(s.Rank)] = float64(s.PaceMilli) / paceUnit
	group := a.report.Group
	group.Rank, group.Epoch = int(s.Rank), s.Epoch
	a.leader.observe(group, from.ID, s.Server, groupmap.RankState{
		Epoch: s.Epoch, Open: s.Open, Step: s.Step, MapVersion: s.Map, PreparedVersion: s.Prepared,
		ArmedVersion: s.ArmedVersion, ArmedStep: s.ArmedStep, HeldStep: s.Held,
	}, s.Sequence, now)
	if s.Leaving {
		a.wakeLeader()
	}
}
