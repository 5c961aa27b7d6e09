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
	node.Flush(leaveFlushTimeout)
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

// wakeLeader makes the leader run at once.
func (a *Agent) wakeLeader() {
	select {
	case a.leaderWake <- struct{}{}:
	default:
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
