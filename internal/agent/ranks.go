package agent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/peering"
	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/rankctl"
	"bluebellwind.example/internal/rpc"
	"bluebellwind.example/mapswitch"
)

// Durations as fractions or multiples of the stall time of the settings, which is
// how long a rank may make no progress during a switch before it is repaired. The
// candidate for leadership of a switch ticks ticksPerStall times in a stall time.
const (
	ticksPerStall = 8
	// switchTimeoutStalls bounds an attempt to switch the map, maxBackoffStalls the
	// wait after a failed switch attempt, both in stall times.
	switchTimeoutStalls = 2
	maxBackoffStalls    = 4
)

// rankManager manages the hosted ranks, which are the ranks of a group that run in
// this agent's backend server. It carries out orders for them and may lead a
// switch of the group's expert map. It is safe for concurrent use.
type rankManager struct {
	settings    *config.RankGroup
	name        string
	group       string
	log         *log.Logger
	pool        *rpc.Pool
	clients     map[mapswitch.Rank]*rankctl.Client
	switchAgent *mapswitch.Agent
	mapLoads    mapLoadTracker
	draining    func() bool
	metrics     rankMetrics
	replies     chan mapswitch.Reply
	// peering is set by register, which must be called before run.
	peering   *peering.Peering
	instances atomic.Pointer[platform.InstanceList]

	mu     sync.Mutex
	target targetMap
}

// targetMap is a map that all ranks have loaded and that the group should switch
// to. It expires, so that a process that was suspended does not switch the group
// to an outdated map.
type targetMap struct {
	id      mapswitch.MapID
	expires time.Time
}

// newRankManager returns nil if the backend server hosts no ranks. The methods
// register, setInstanceList, run and serveAdmin do nothing on a nil rankManager.
func newRankManager(settings *config.Settings, logger *log.Logger, pool *rpc.Pool, draining func() bool) *rankManager {
	groupSettings := settings.Agent.Ranks
	if groupSettings == nil {
		return nil
	}
	r := &rankManager{
		settings: groupSettings,
		name:     settings.Name,
		group:    settings.Agent.Group,
		log:      logger,
		pool:     pool,
		draining: draining,
		clients:  map[mapswitch.Rank]*rankctl.Client{},
		mapLoads: mapLoadTracker{inProgress: map[mapLoad]bool{}},
		metrics:  newRankMetrics(settings.Agent.Group),
		replies:  make(chan mapswitch.Reply, groupSettings.Total),
	}
	engines := map[mapswitch.Rank]mapswitch.RankEngine{}
	for _, hosted := range groupSettings.Hosted {
		rank := mapswitch.Rank(hosted.Rank)
		r.clients[rank] = rankctl.New(hosted.URL)
		engines[rank] = &rankEngine{Client: r.clients[rank], rank: rank, manager: r}
	}
	r.switchAgent = mapswitch.NewAgent(r.group, engines)
	return r
}

// lowestRank returns the lowest hosted rank.
func (r *rankManager) lowestRank() mapswitch.Rank {
	lowest := mapswitch.Rank(r.settings.Hosted[0].Rank)
	for rank := range r.clients {
		lowest = min(lowest, rank)
	}
	return lowest
}

// setInstanceList replaces the instance list.
func (r *rankManager) setInstanceList(list platform.InstanceList) {
	if r != nil {
		r.instances.Store(&list)
	}
}

// run starts the planner and the candidate for leadership, which run until ctx
// ends.
func (r *rankManager) run(ctx context.Context) {
	if r == nil {
		return
	}
	go newRankPlanner(r).run(ctx)
	go r.newCandidate().run(ctx)
}

func (r *rankManager) newCandidate() *rankCandidate {
	stall := r.settings.Stall.Std()
	candidateConfig := mapswitch.CandidateConfig{
		OwnRank: r.lowestRank(),
		Leader: mapswitch.LeaderConfig{
			Group:          r.group,
			Ranks:          r.settings.Total,
			LeadSteps:      r.settings.LeadSteps,
			ResendInterval: stall / ticksPerStall,
			Timeout:        switchTimeoutStalls * stall,
		},
		StallTimeout: stall,
		BackoffMin:   stall / ticksPerStall,
		BackoffMax:   maxBackoffStalls * stall,
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &rankCandidate{rankManager: r, candidate: mapswitch.NewCandidate(candidateConfig, rand.Uint64(), rng)}
}

func (r *rankManager) targetMapID(now time.Time) mapswitch.MapID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.After(r.target.expires) {
		r.target = targetMap{}
	}
	return r.target.id
}

func (r *rankManager) setTargetMap(target targetMap) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// groupEvent adds the event name, the group and this agent's name to a log line.
func (r *rankManager) groupEvent(entry *log.Entry, name string) *log.Entry {
	return entry.Str("event", name).Str("group", r.group).Str("leader", r.name)
}

// rankOwner is the agent that hosts a rank.
type rankOwner struct {
	name    string
	address string
	alive   bool
}

// rankOwners returns the agents of the group by rank. The instance list determines
// which agent hosts which rank; the membership determines its current address and
// whether it is alive. An owner without an address is this agent.
func (r *rankManager) rankOwners() map[mapswitch.Rank]rankOwner {
	owners := make(map[mapswitch.Rank]rankOwner, r.settings.Total)
	for rank := range r.clients {
		owners[rank] = rankOwner{alive: true}
	}
	list := r.instances.Load()
	if list == nil {
		return owners
	}
	liveAddresses := map[string]string{}
	for _, instance := range r.peering.Node.Alive() {
		liveAddresses[instance.ID] = string(instance.Addr)
	}
	for _, instance := range list.Instances {
		if instance.Group != r.group {
			continue
		}
		address, ok := liveAddresses[instance.Name]
		owner := rankOwner{name: instance.Name, address: cmp.Or(address, instance.Address), alive: ok}
		for _, number := range instance.Ranks {
			rank := mapswitch.Rank(number)
			if _, hosted := r.clients[rank]; !hosted {
				owners[rank] = owner
			}
		}
	}
	return owners
}

// hasLowestLiveRank reports whether this agent hosts the lowest live rank. It is
// false while the agent drains.
func (r *rankManager) hasLowestLiveRank() bool {
	if r.draining() {
		return false
	}
	self := r.lowestRank()
	for rank, owner := range r.rankOwners() {
		if owner.alive && rank < self {
			return false
		}
	}
	return true
}
