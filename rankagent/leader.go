package rankagent

import (
	"context"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
	"bluebellwind.example/mesh"
)

const (
	// initiatorRank is the rank whose agent plans maps and starts switches. Package
	// groupmap sends its holds to the same rank.
	initiatorRank = 0
	// minSilenceTimeout is the least time without a status of an agent after which
	// the agent counts as silent: the active leader reads its rank and sends it
	// orders directly. If the silent agent was the active leader, that of the next
	// candidate takes over.
	minSilenceTimeout = 700 * time.Millisecond
	// silentStatusPeriods is the same time in periods of the status messages, of
	// which single ones are lost.
	silentStatusPeriods = 3
	// remoteReadPeriod is the time between two direct reads of the rank of a
	// silent agent. Unlike reads of the local server they have a cost.
	remoteReadPeriod = 200 * time.Millisecond
	// planPeriod is the time between two plans if no switch is started.
	planPeriod = 150 * time.Millisecond
	// settlePeriod is the time after a switch in which no map is planned.
	settlePeriod = 50 * time.Millisecond
	// An order to prepare a map that a rank has received but not completed is sent again
	// after minPrepareResendInterval and prepareResendPerRank for each rank.
	minPrepareResendInterval = 350 * time.Millisecond
	prepareResendPerRank     = 8 * time.Millisecond
	// minSkewGain is the least reduction of the skew for which a switch is
	// started.
	minSkewGain = 0.15
)

// leader holds an agent's view of its group and sends orders to the ranks while
// the agent is the active leader. It is guarded by the mutex of the agent.
type leader struct {
	agent *Agent
	group backends.Group
	// These maps are indexed by rank: the rank's agent, the address of its server,
	// when its last status arrived, the sequence of its last status message and
	// when it was last read directly.
	peers        map[int]mesh.Peer
	servers      map[int]string
	heardAt      map[int]time.Time
	sequences    map[int]uint64
	remoteReadAt map[int]time.Time
	presence     presence
	// mapSwitch is nil until the group of the local rank is known.
	mapSwitch  *groupmap.Switch
	popularity popularity
	dropped    droppedPlans
	// switchTimes is about the last switch that this agent started.
	switchTimes switchTimes
	// shape and engineConfig are zero until readShape has read them.
	shape        groupmap.Shape
	engineConfig *ingress.Engine
	// passTimes is the relative pass time of each rank, see Report.
	passTimes map[int]float64
	// requestsByRank is the number of running and waiting requests of each rank.
	requestsByRank map[int]int
	// currentMap is the map in use at the last plan, or nil. startedMap is the map
	// of the last switch that was started.
	currentMap, startedMap *groupmap.Map
	// plannedAt is the time of the last plan. It lies in the future while the
	// configuration cannot be read.
	plannedAt time.Time
	// notReadyAt is when the group was last seen not ready for a switch.
	notReadyAt time.Time
	// readingShape is set while readShape reads the configuration, planning while
	// computePlan computes a map.
	readingShape, planning bool
	// silenceTimeout is the time without a status after which an agent is silent; it
	// is updated at each tick.
	silenceTimeout time.Duration
}

// maxRanks bounds the size of a group that is believed.
const maxRanks = maxDigestRanks

// isGroup reports whether a server that states g is a rank of a group. A server that has
// started again is none until the platform has formed its group.
func isGroup(g backends.Group) bool {
	return g.Name != "" && g.Size > 0 && g.Size <= maxRanks && g.Rank >= 0 && g.Rank < g.Size
}

// observeLocal takes in a report of the local server.
func (l *leader) observeLocal(report Report, now time.Time) {
	if !isGroup(report.Group) {
		l.leaveGroup()
		return
	}
	l.observe(report.Group, "", l.agent.options.Server, report.State, l.agent.sequence, now)
	l.requestsByRank[report.Group.Rank] = report.Running + report.Waiting
	l.passTimes[report.Group.Rank] = report.RelativePassTime
}

// leaveGroup forgets the group of the local rank.
func (l *leader) leaveGroup() {
	if l.mapSwitch == nil {
		return
	}
	l.joinGroup(backends.Group{})
	l.mapSwitch, l.switchTimes = nil, switchTimes{}
}

// observe updates the state of a rank. from is the ID of the agent that sent
// it, and empty for the local rank.
func (l *leader) observe(g backends.Group, from, server string, state groupmap.RankState, sequence uint64, now time.Time) {
	if from == "" && (l.mapSwitch == nil || l.group.Name != g.Name || l.group.Size != g.Size || l.group.Rank != g.Rank) {
		l.joinGroup(g)
	}
	if l.mapSwitch == nil || g.Rank >= l.group.Size {
		return
	}
	l.servers[g.Rank] = server
	if from != "" && sequence <= l.sequences[g.Rank] && now.Sub(l.heardAt[g.Rank]) < minSilenceTimeout {
		return // A delayed datagram; a newer one was processed before.
	}
	l.sequences[g.Rank] = sequence
	l.heardAt[g.Rank], l.presence.knownAt[g.Rank] = now, now
	l.mapSwitch.Observe(g.Rank, state)
}

func (l *leader) joinGroup(g backends.Group) {
	l.group = g
	l.peers = make(map[int]mesh.Peer)
	l.servers = make(map[int]string)
	l.heardAt = make(map[int]time.Time)
	l.sequences = make(map[int]uint64)
	l.remoteReadAt = make(map[int]time.Time)
	l.presence = newPresence()
	l.requestsByRank = make(map[int]int)
	l.passTimes = make(map[int]float64)
	l.startedMap = nil
	l.shape, l.engineConfig = groupmap.Shape{}, nil // They are read again.
	l.silenceTimeout = minSilenceTimeout
	l.mapSwitch = groupmap.NewSwitch(g.Size, g.Rank == initiatorRank, groupmap.SwitchTiming{
		PrepareResendInterval: minPrepareResendInterval + time.Duration(g.Size)*prepareResendPerRank,
	})
}

// statusPeers returns the agents that get the status of the local rank. A candidate
// sends it to the whole group, whose agents need to know it; the others send it to the
// candidates. Until the agents of those are known, all agents get it.
func (l *leader) statusPeers() []mesh.Peer {
	if l.mapSwitch == nil {
		return l.agent.mesh.Peers(mesh.RankAgent)
	}
	var out []mesh.Peer
	toAll := isCandidate(l.group.Rank, l.group.Size)
	for rank := range l.group.Size {
		if rank == l.group.Rank || !toAll && !isCandidate(rank, l.group.Size) {
			continue
		}
		p, known := l.peers[rank]
		if !known {
			return l.agent.mesh.Peers(mesh.RankAgent)
		}
		out = append(out, p)
	}
	return out
}

// candidatePeers returns the agents of the other candidates, as far as they are known.
func (l *leader) candidatePeers() []mesh.Peer {
	var out []mesh.Peer
	for rank := range l.group.Size {
		if p, known := l.peers[rank]; known && rank != l.group.Rank && isCandidate(rank, l.group.Size) {
			out = append(out, p)
		}
	}
	return out
}

// initiatorAgent returns the agent of initiatorRank. isInitiator is true if
// that is the local agent.
func (l *leader) initiatorAgent() (p mesh.Peer, isInitiator bool) {
	if l.group.Rank == initiatorRank {
		return mesh.Peer{}, true
	}
	return l.peers[initiatorRank], false
}

// isActive reports whether this agent is the active leader: the candidate of the
// lowest rank that is not silent. While the group is held for long, the next ones help.
func (l *leader) isActive(now time.Time) bool {
	if l.mapSwitch == nil || !isCandidate(l.group.Rank, l.group.Size) {
		return false
	}
	ahead := 0
	for rank := range l.group.Rank {
		if isCandidate(rank, l.group.Size) && !l.silent(rank, now) {
			ahead++
		}
	}
	return ahead == 0 || l.heldFor(now) >= time.Duration(ahead)*helpDelay
}

// tick plans a map if that is due, and sends the orders that are due.
func (l *leader) tick(ctx context.Context) {
	a := l.agent
	now := time.Now()
	a.mu.Lock()
	l.silenceTimeout = max(minSilenceTimeout, silentStatusPeriods*a.statusPeriod())
	l.noteHeld(now)
	if a.leaving || !l.isActive(now) || !a.up {
		a.mu.Unlock()
		return
	}
	l.plan(ctx, now)
	l.mapSwitch.BlockHold(!l.mayHold(now))
	minVersion := uint64(a.options.Uptime().Milliseconds())
	orders := l.mapSwitch.Tick(now, minVersion)
	l.noteSwitchOrders(orders)
	l.noteSwitchStage(now)
	sends := l.orderSenders(ctx, orders, now)
	silent := l.silentRanksToRead(now)
	a.mu.Unlock()
	for _, send := range sends {
		send()
	}
	for rank, server := range silent {
		go l.readRemote(ctx, rank, server)
	}
}

// silentRanksToRead returns the servers, by rank, whose agents are silent, or keep a
// hold waiting, and which are due for a direct read. There are none once the switch has settled.
// Until then, a rank may hold a pass without its silent agent having reported
// the hold.
func (l *leader) silentRanksToRead(now time.Time) map[int]string {
	if l.mapSwitch.Settled() {
		return nil
	}
	out := make(map[int]string)
	awaitsHold := l.mapSwitch.AwaitsHold()
	for rank, server := range l.servers {
		awaited := l.silent(rank, now) || awaitsHold && !l.reachable(rank, now)
		if rank == l.group.Rank || !awaited || now.Sub(l.remoteReadAt[rank]) < remoteReadPeriod {
			continue
		}
		l.remoteReadAt[rank] = now
		out[rank] = server
	}
	return out
}
