package backends

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
)

// subsetModel describes a fleet of gateways before servers in two groups whose streams last
// two seconds.
type subsetModel struct {
	gateways, servers int
	perSecond         float64
	seed              uint64
	// noSubsets hides the gateways from each other, so that they have no subsets;
	// noConnections hides the idle connections from the choice.
	noSubsets, noConnections bool
	// idleLimit is how long idle connections are kept.
	idleLimit time.Duration
	// swing is the share by which gateways in zone z0 get more requests, and those in z1
	// fewer.
	swing float64
	// plain says that the servers are those of a plain service, whose calls take 40 ms and
	// which report their load in responses only.
	plain bool
	// slowdown is how many times as long as usual the streams of every modelSlowStep-th server
	// last; zero if none is slow.
	slowdown float64
}

// subsetResult is what a run of the model has shown, without the warm-up.
type subsetResult struct {
	requests, opened, refused, queued int
	// busiest is the mean over time of the requests at the busiest server over the mean.
	busiest float64
	// slowShare is the share of the requests that went to the servers that may be slow, over
	// their even share.
	slowShare float64
}

func (r subsetResult) openedPerRequest() float64 { return float64(r.opened) / float64(r.requests) }

const (
	modelSlots      = 10
	modelEvents     = 23
	modelPassTime   = 87 * time.Millisecond // 23 events in two seconds.
	modelTick       = time.Millisecond
	modelWarmUp     = 6 * time.Second
	modelDuration   = 12 * time.Second
	modelSamples    = 100 * time.Millisecond
	modelStatusLate = 2 * time.Millisecond
	modelSlowStep   = 16
	modelCallTime   = 40 * time.Millisecond
)

// modelServer is a server of the model, modelGateway a gateway.
type modelServer struct {
	Server
	// ends has the ends of the running streams; waiting the streams that wait for a slot.
	ends         []modelStream
	waiting      []modelStream
	slow         bool
	nextStatusAt time.Time
}

type modelGateway struct {
	*Directory
	perSecond     float64
	nextArrivalAt time.Time
	// idle has the times since when connections are idle, by address.
	idle map[string][]time.Time
}

type modelStream struct {
	gateway  *modelGateway
	choice   *Choice
	duration time.Duration
	endsAt   time.Time
}

func modelID(kind string, i int) string { return fmt.Sprintf("%s-%02d", kind, i) }

// run runs the model.
func (m subsetModel) run(t *testing.T) subsetResult {
	t.Helper()
	rng := rand.New(rand.NewPCG(m.seed, 1))
	var servers []*modelServer
	byID := make(map[string]*modelServer)
	for i := range m.servers {
		s := &modelServer{Server: Server{
			ID: modelID("server", i), Address: modelID("server", i) + ":1", Service: "llm", Zone: fmt.Sprint("z", i/2%2), Slots: modelSlots, Open: true,
			Group: Group{Name: fmt.Sprint("g", i%2), Epoch: 1, Rank: i / 2, Size: m.servers / 2},
		}}
		if m.plain {
			s.Group = Group{}
		}
		s.slow = i%modelSlowStep == 0
		s.nextStatusAt = start.Add(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
		servers = append(servers, s)
		byID[s.ID] = s
	}
	var gateways []*modelGateway
	for i := range m.gateways {
		g := &modelGateway{Directory: NewDirectory(fmt.Sprint("z", i%2), rng.Uint64()), idle: make(map[string][]time.Time)}
		g.SetSelf(modelID("gateway", i))
		for j := range m.gateways {
			if j != i && !m.noSubsets {
				g.SetGatewayAlive(modelID("gateway", j), fmt.Sprint("z", j%2), true, start)
			}
		}
		for _, s := range servers {
			g.Put(s.Server)
		}
		g.perSecond = m.perSecond * (1 + m.swing*float64(1-2*(i%2)))
		g.nextArrivalAt = start.Add(time.Duration(rng.ExpFloat64() / g.perSecond * float64(time.Second)))
		gateways = append(gateways, g)
	}
	request := PickRequest{
		ServiceName: "llm", StartObjective: time.Second, UntilDeadline: 8 * time.Second, GatewayCount: m.gateways,
		Service: &ingress.Service{Name: "llm", Engine: &ingress.Engine{Slots: modelSlots, Step: modelPassTime, AnswerTokens: modelEvents, Stride: 1}},
	}
	if m.plain {
		request.Service = nil
	}
	var result subsetResult
	var samples, atSlow int
	statusPeriod := max(200*time.Millisecond, time.Duration(m.gateways)*5*time.Millisecond)
	for now := start; now.Before(start.Add(modelWarmUp + modelDuration)); now = now.Add(modelTick) {
		measured := now.Sub(start) >= modelWarmUp
		for _, s := range servers {
			s.step(now, m)
			if !m.plain && !now.Before(s.nextStatusAt) {
				s.nextStatusAt = now.Add(statusPeriod)
				s.report(gateways, now)
			}
		}
		for _, g := range gateways {
			for !now.Before(g.nextArrivalAt) {
				g.nextArrivalAt = g.nextArrivalAt.Add(time.Duration(rng.ExpFloat64() / g.perSecond * float64(time.Second)))
				stream, opened, err := g.send(request, m, now)
				if measured {
					result.requests++
				}
				if err != nil {
					if measured {
						result.refused++
					}
					continue
				}
				s := byID[stream.choice.ID]
				stream.duration = time.Duration(modelEvents/2+rng.IntN(modelEvents)) * modelPassTime
				if m.plain {
					stream.duration = modelCallTime
				}
				if s.slow && m.slowdown > 0 {
					stream.duration = time.Duration(m.slowdown * float64(stream.duration))
				}
				s.waiting = append(s.waiting, stream)
				if measured && opened {
					result.opened++
				}
				if measured && len(s.ends) == modelSlots {
					result.queued++
				}
				if measured && s.slow {
					atSlow++
				}
			}
		}
		if measured && now.Sub(start)%modelSamples == 0 {
			most, total := 0, 0
			for _, s := range servers {
				n := len(s.ends) + len(s.waiting)
				most, total = max(most, n), total+n
			}
			if total > 0 {
				result.busiest += float64(most*len(servers)) / float64(total)
				samples++
			}
		}
	}
	result.busiest /= float64(samples)
	result.slowShare = float64(atSlow*modelSlowStep) / float64(result.requests)
	return result
}

// step ends streams and starts waiting ones.
func (s *modelServer) step(now time.Time, m subsetModel) {
	s.ends = slices.DeleteFunc(s.ends, func(stream modelStream) bool {
		if now.Before(stream.endsAt) {
			return false
		}
		stream.choice.Release()
		if m.plain {
			stream.gateway.RecordSuccess(s.ID, &Load{Running: len(s.ends), Waiting: len(s.waiting), Slots: modelSlots}, now)
		}
		stream.gateway.idle[s.Address] = append(stream.gateway.idle[s.Address], now)
		return true
	})
	for len(s.waiting) > 0 && len(s.ends) < modelSlots {
		stream := s.waiting[0]
		s.waiting = s.waiting[1:]
		stream.endsAt = now.Add(stream.duration)
		s.ends = append(s.ends, stream)
	}
}

// report sends the status of the server to all gateways.
func (s *modelServer) report(gateways []*modelGateway, now time.Time) {
	for _, g := range gateways {
		g.UpdateStatus(s.Address, Status{
			Up: true, Open: true, Group: s.Group, Running: len(s.ends), Waiting: len(s.waiting), LastPass: uint64(now.Sub(start) / modelPassTime),
			PassTime: modelPassTime, RelativePassTime: 1, ReceivedAt: now.Add(modelStatusLate),
		})
	}
}

// send chooses a server for a request, and reports whether a connection to it had to be
// opened.
func (g *modelGateway) send(request PickRequest, m subsetModel, now time.Time) (stream modelStream, opened bool, err error) {
	if !m.noConnections {
		request.ConnectedAddresses = make(map[string]bool)
	}
	for address, idle := range g.idle {
		idle = slices.DeleteFunc(idle, func(since time.Time) bool { return now.Sub(since) >= m.idleLimit })
		g.idle[address] = idle
		if len(idle) > 0 && !m.noConnections {
			request.ConnectedAddresses[address] = true
		}
	}
	choice, err := g.Pick(request, now)
	if err != nil {
		return modelStream{}, false, err
	}
	idle := g.idle[choice.Address]
	if len(idle) > 0 {
		g.idle[choice.Address] = idle[:len(idle)-1]
	}
	return modelStream{gateway: g, choice: choice}, len(idle) == 0, nil
}

const statedKeepAlive, defaultIdle = 14500 * time.Millisecond, 4 * time.Second

// modelBefore and modelAfter are the model without and with subsets and the preference of
// idle connections.
func modelBefore(gateways, servers int) subsetModel {
	return subsetModel{gateways: gateways, servers: servers, perSecond: 4.4, seed: 1, noSubsets: true, noConnections: true, idleLimit: defaultIdle}
}

func modelAfter(gateways, servers int) subsetModel {
	return subsetModel{
		gateways: gateways, servers: servers, perSecond: 4.4, seed: 1, idleLimit: defaultIdle, noSubsets: os.Getenv("BBW_WITHOUT") == "subsets",
	}
}

func (r subsetResult) log(t *testing.T, name string, m subsetModel) {
	t.Helper()
	t.Logf("%d gateways, %d servers, %s: %.2f connections opened a request, busiest server %.2f of the mean, %.3f queued, %.3f refused, slow servers %.2f",
		m.gateways, m.servers, name, r.openedPerRequest(), r.busiest, float64(r.queued)/float64(r.requests), float64(r.refused)/float64(r.requests), r.slowShare)
}

// Connections were opened for nine of ten requests, because each gateway spread its few
// requests over all servers.
func TestConnectionsAreReusedWithoutLessEvenLoad(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{46, 60} {
		before := modelBefore(gateways, 64).run(t)
		before.log(t, "before", modelBefore(gateways, 64))
		for _, idleLimit := range []time.Duration{defaultIdle, statedKeepAlive} {
			model := modelAfter(gateways, 64)
			model.idleLimit = idleLimit
			after := model.run(t)
			after.log(t, fmt.Sprintf("with subsets, idle for %s", idleLimit), model)
			assert.Assert(t, after.openedPerRequest() < 0.33, "%.2f", after.openedPerRequest())
			assert.Assert(t, after.busiest < 1.05*before.busiest, "%.2f", after.busiest)
		}
	}
}

// Guards against subsets that follow the zones, so that a zone with more callers would fill
// its servers.
func TestSubsetsAreEvenWhenDemandIsNot(t *testing.T) {
	t.Parallel()
	before, after := modelBefore(60, 64), modelAfter(60, 64)
	before.swing, after.swing = 0.55, 0.55
	was, is := before.run(t), after.run(t)
	was.log(t, "uneven demand, before", before)
	is.log(t, "uneven demand, with subsets", after)
	assert.Assert(t, is.busiest < 1.05*was.busiest, "%.2f, %.2f before", is.busiest, was.busiest)
}

// Guards against idle connections that draw the calls of a plain service to few of its servers.
func TestIdleConnectionsDoNotConcentratePlainCalls(t *testing.T) {
	t.Parallel()
	for _, servers := range []int{3, 7} {
		before, after := modelBefore(60, servers), modelAfter(60, servers)
		before.plain, after.plain = true, true
		before.perSecond, after.perSecond = float64(servers)*2, float64(servers)*2 // Half of the slots are in use.
		was, is := before.run(t), after.run(t)
		was.log(t, "plain service, before", before)
		is.log(t, "plain service, with idle connections preferred", after)
		assert.Assert(t, is.busiest < 1.05*was.busiest, "%.2f, %.2f before", is.busiest, was.busiest)
	}
}

// Each server must be in equally many subsets, and each subset must have its share of each
// group and zone. A gateway that comes or goes must not change all subsets.
func TestSubsetsAreEven(t *testing.T) {
	newServers := func(n, groups int) []*Server {
		var servers []*Server
		for i := range n {
			servers = append(servers, &Server{ID: modelID("server", i), Zone: fmt.Sprint("z", i/groups%3), Group: Group{Name: fmt.Sprint("g", i%groups)}})
		}
		return servers
	}
	for _, test := range []struct{ servers, groups, gateways int }{{64, 2, 60}, {64, 2, 46}, {63, 2, 59}, {96, 3, 24}, {100, 1, 300}, {32, 1, 16}} {
		subsets := make(map[string]int)
		for position := range test.gateways {
			ids := subsetOf(newServers(test.servers, test.groups), position, test.gateways)
			assert.Assert(t, len(ids) >= minSubset && len(ids) < test.servers)
			groups := make(map[string]int)
			for _, s := range newServers(test.servers, test.groups) {
				if ids[s.ID] {
					subsets[s.ID]++
					groups[s.Group.Name]++
				}
			}
			for name, n := range groups {
				share := float64(len(ids)) / float64(test.groups)
				assert.Assert(t, float64(n) > share-2 && float64(n) < share+2, "%v: %d of %s", test, n, name)
			}
			next := subsetOf(newServers(test.servers, test.groups), position, test.gateways+1)
			kept := 0
			for id := range ids {
				if next[id] {
					kept++
				}
			}
			assert.Assert(t, kept >= len(ids)-1-test.servers/test.gateways, "%v: %d of %d kept", test, kept, len(ids))
		}
		least, most := test.gateways, 0
		for _, s := range newServers(test.servers, test.groups) {
			least, most = min(least, subsets[s.ID]), max(most, subsets[s.ID])
		}
		assert.Assert(t, least >= minSubsetsPerServer-1 && most-least <= 1, "%v: in %d to %d subsets", test, least, most)
	}
	assert.Assert(t, subsetOf(newServers(64, 2), 1, 3) == nil, "each of three gateways depends on few callers")
	assert.Assert(t, subsetOf(newServers(16, 2), 1, 60) == nil, "there are as many servers as a subset has")
	assert.Assert(t, subsetOf(newServers(64, 2), -1, 60) == nil, "the own position is not known")
}

// Guards against a gateway that stays in its subset although servers there are slow.
func TestSubsetsAreLeftWhenTheyAreFuller(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{12, 60} {
		before, after := modelBefore(gateways, 64), modelAfter(gateways, 64)
		before.perSecond, after.perSecond = 264/float64(gateways), 264/float64(gateways)
		before.slowdown, after.slowdown = 5, 5
		was, is := before.run(t), after.run(t)
		was.log(t, "before", before)
		is.log(t, "with subsets", after)
		// Some 200 requests are an even share, so that both shares vary by 0.03.
		assert.Assert(t, is.slowShare < was.slowShare+0.15, "%.2f, %.2f before", is.slowShare, was.slowShare)
		assert.Assert(t, is.busiest < 1.1*was.busiest, "%.2f, %.2f before", is.busiest, was.busiest)
	}
}
