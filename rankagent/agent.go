package rankagent

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/clock"
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

// paceUnit is the value of a relative pass time of 1 in messages.
const paceUnit = 1000

// Options configure an Agent.
type Options struct {
	// Server is the address of the local model server, IP:port.
	Server string
	// Service is the name of the service that the server belongs to.
	Service string
	// Dial returns the engine at an address.
	Dial func(address string) Engine
	// Config reads the operators' configuration. It returns nil without an error
	// if there is none that can be decoded.
	Config func(ctx context.Context) (*ingress.Config, error)
	Log    *log.Logger
	// LinkBytesPerSecond is the rate of the instance's link; zero if not known.
	LinkBytesPerSecond float64
	// Uptime returns the time since the machine started, which outlasts the
	// process.
	Uptime func() time.Duration
	// StopTimeout bounds how long Run goes on after its context has ended; zero means
	// defaultStopTimeout.
	StopTimeout time.Duration
}

// Agent manages the model server of one rank. It is safe for concurrent use.
type Agent struct {
	options Options
	engine  Engine
	log     *log.Logger
	mesh    *mesh.Node
	metrics *agentMetrics

	// reportMu is held from the read of a report until its status is sent, so that
	// a greater sequence always stands for a later read.
	reportMu sync.Mutex

	// leaderWake makes the leader run without waiting for leaderPeriod.
	leaderWake chan struct{}

	mu sync.Mutex
	// sequence is the number of the last status message.
	sequence     uint64
	report       Report
	up           bool // Whether the last read of the server succeeded.
	slow         bool // Whether the server was slow at the last read.
	passTimer    passTimer
	statusSentAt time.Time
	// reportReadAt is when the last periodic read of the server began. orderedAt
	// is when the server last got an order.
	reportReadAt, orderedAt time.Time
	// candidatesSentAt is when the group's candidates last got a status, heartbeatAt when
	// all gateways last got one directly, and unservedAt when those without digests did.
	candidatesSentAt, heartbeatAt, unservedAt time.Time
	// clock states when the server was read; lastReadMs is the last such time.
	clock      clock.Clock
	lastReadMs int64
	relay      statusRelay
	leader     leader
	// lastCounts and heldExperts are the counts and the experts of the local rank
	// at the last read.
	lastCounts  ExpertCounts
	heldExperts HeldExperts
	// countsSentAt is when the local counts were last sent.
	countsSentAt time.Time
	countsRelay  countsRelay
	// recentMaps are the maps of recent orders, to which later differences apply.
	recentMaps map[mapKey]*groupmap.Map
	// lastPrepare is about the latest order to prepare a map.
	lastPrepare prepareAttempt
	// stopping is set once the agent was told to stop, leaving once it has decided that
	// its group does not need it any more.
	stopping, leaving bool
}

// New returns an agent. It does nothing until Run is called. Its Handle must be
// the handler of the node that is passed to Run.
func New(o Options) *Agent {
	a := &Agent{options: o, engine: o.Dial(o.Server), log: o.Log, recentMaps: make(map[mapKey]*groupmap.Map), leaderWake: make(chan struct{}, 1)}
	a.clock, a.relay = clock.New(), newStatusRelay()
	a.leader.agent = a
	a.metrics = newAgentMetrics(a)
	return a
}

// Run joins the mesh through node, reads the server periodically and leads the
// group when required, until ctx ends. It then goes on until the group does not need
// the agent, for at most the StopTimeout of the options, and tells the others that it
// leaves.
func (a *Agent) Run(ctx context.Context, node *mesh.Node) {
	a.mesh = node
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go node.Run(work)
	a.log.Info().Str("event", "started").Str("server", a.options.Server).Msg("")
	go every(work, countsPeriod, a.reportCounts)
	go a.leaderLoop(work)
	go a.runRelay(work)
	go every(work, fastReportPeriod, a.readIfDue)
	<-ctx.Done()
	a.stop(work)
	a.log.Info().Str("event", "stopped").Msg("")
}

// leaderLoop runs the leader at each leaderPeriod, and at once when a rank has
// completed a stage of a switch.
func (a *Agent) leaderLoop(ctx context.Context) {
	ticker := time.NewTicker(leaderPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.leaderWake:
		}
		a.leader.tick(ctx)
	}
}

// every calls f at each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func(context.Context)) {
	clock.Every(ctx, period, func(time.Time) { f(ctx) })
}

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
		a.leader.observe(report.Group, "", a.options.Server, report.State, a.sequence, now)
		a.leader.requestsByRank[report.Group.Rank] = report.Running + report.Waiting
		a.leader.passTimes[report.Group.Rank] = report.RelativePassTime
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

// wakeLeader makes the leader run at once.
func (a *Agent) wakeLeader() {
	select {
	case a.leaderWake <- struct{}{}:
	default:
	}
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

// Handle processes a datagram of another process.
func (a *Agent) Handle(from mesh.Peer, packet *meshpb.Packet) {
	if s := packet.GetStatus(); s != nil {
		a.handleStatus(from, s)
	}
	if s := packet.GetStatusSubscription(); s != nil {
		a.handleSubscription(from, s)
	}
	if s := packet.GetServedGateways(); s != nil {
		a.handleServed(s)
	}
	if o := packet.GetOrder(); o != nil {
		a.handleOrder(o)
	}
	if r := packet.GetOrderReceipt(); r != nil {
		a.handleReceipt(r)
	}
	if p := packet.GetPopularity(); p != nil {
		a.handlePopularity(p)
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
