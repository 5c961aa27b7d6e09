package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
)

// newColdRequest returns a request for model servers, whose slots complete 10 requests a
// second, or for plain ones.
func newColdRequest(model bool) PickRequest {
	r := newPickRequest()
	r.ServiceName = "plain"
	r.Service = &ingress.Service{Name: "plain", ColdPerSecond: 26, ColdStart: 3 * time.Second}
	if model {
		r.Service.Engine = &ingress.Engine{Slots: 10, Step: 9 * time.Millisecond, PerSequence: 100 * time.Microsecond, AnswerTokens: 100}
	}
	r.StartObjective = 10 * time.Second
	return r
}

func newColdDirectory(ids ...string) *Directory {
	d := NewDirectory("z", 1)
	d.SetSelf("g0")
	d.EnableColdStart(ColdBound{Overshoot: 1.5, Slack: 5}, start.Add(-time.Hour))
	for _, id := range ids {
		d.Put(plainServer(id, 10))
	}
	return d
}

// sendUntilRefused sends requests at once, up to a number, and returns how many were sent.
func sendUntilRefused(t *testing.T, d *Directory, r PickRequest, most int, now time.Time) (sent int, choices []*Choice) {
	t.Helper()
	for range most {
		c, err := d.Pick(r, now)
		if err != nil {
			assert.ErrorContains(t, err, "the backend servers limit their requests")
			return sent, choices
		}
		assert.Assert(t, d.ClaimSend(c, now))
		sent, choices = sent+1, append(choices, c)
	}
	return sent, choices
}

// A server that is cold without notice crashed under the requests that arrived until it was
// known.
func TestBudgetAppliesBeforeAServerIsKnownToBeCold(t *testing.T) {
	d := newColdDirectory("a")
	sent, choices := sendUntilRefused(t, d, newColdRequest(true), 100, start)
	assert.Equal(t, sent, 40)
	for _, c := range choices {
		d.RecordAnswer(c, 0, true, start.Add(100*time.Millisecond))
		c.Release()
	}
	sent, _ = sendUntilRefused(t, d, newColdRequest(true), 100, start.Add(time.Second))
	assert.Equal(t, sent, 0)
	sent, _ = sendUntilRefused(t, d, newColdRequest(true), 100, start.Add(1200*time.Millisecond))
	assert.Equal(t, sent, 40)
	known, budgeted := d.ColdServers(start)
	assert.Assert(t, known == 0 && budgeted == 1)
}

// Servers that complete more requests than the budget lets through are budgeted only while
// they are cold.
func TestFastServersAreBudgetedWhileCold(t *testing.T) {
	d := newColdDirectory("a")
	sent, choices := sendUntilRefused(t, d, newColdRequest(false), 100, start)
	assert.Equal(t, sent, 100)
	assert.Assert(t, d.RecordAnswer(choices[0], 2*time.Second, true, start.Add(time.Second)))
	sent, _ = sendUntilRefused(t, d, newColdRequest(false), 100, start.Add(time.Second))
	assert.Equal(t, sent, 0, "those sent before count")
	sent, _ = sendUntilRefused(t, d, newColdRequest(false), 100, start.Add(4100*time.Millisecond))
	assert.Equal(t, sent, 100)
}

func TestServiceWithoutColdServersHasNoBudget(t *testing.T) {
	d := newColdDirectory("a")
	r := newColdRequest(true)
	r.Service.ColdPerSecond = 0
	d.servers["a"].ColdRemaining = time.Second
	sent, choices := sendUntilRefused(t, d, r, 100, start)
	assert.Equal(t, sent, 100)
	assert.Assert(t, choices[0].permit == nil)
}

// Budgets stayed in force after the configuration had dropped the rate.
func TestBudgetEndsWithTheRateInTheConfiguration(t *testing.T) {
	d := newColdDirectory("a")
	_, _ = sendUntilRefused(t, d, newColdRequest(false), 1, start)
	d.cold.note("a", time.Hour, start)
	d.markOutdated("plain")
	sent, _ := sendUntilRefused(t, d, newColdRequest(false), 100, start)
	assert.Equal(t, sent, 39)
	r := newColdRequest(false)
	r.Service.ColdPerSecond = 0
	d.markOutdated("plain")
	sent, _ = sendUntilRefused(t, d, r, 100, start)
	assert.Equal(t, sent, 100)
	_, budgeted := d.ColdServers(start)
	assert.Equal(t, budgeted, 0)
}

// A server may start again without notice and keep its ID; requests for its earlier start
// arrive at the new one.
func TestServerThatStartedAgainIsCold(t *testing.T) {
	d := newColdDirectory("a")
	_, _ = sendUntilRefused(t, d, newColdRequest(true), 100, start)
	restarted := plainServer("a", 20)
	d.mu.Lock()
	d.put(restarted, start)
	d.mu.Unlock()
	assert.Assert(t, !d.cold.budgets.Open("a", start))
	service := newColdRequest(true).Service
	assert.Equal(t, d.cold.remaining("a", service, start.Add(time.Second)), 2*time.Second)
	assert.Equal(t, d.cold.remaining("a", service, start.Add(3*time.Second)), time.Duration(0))
}

// An entry that is read again would keep a server cold for ever.
func TestColdTimeOfAnEntryCountsOnce(t *testing.T) {
	d := newColdDirectory()
	s := plainServer("a", 10)
	s.ColdRemaining = 2 * time.Hour
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(s, start)
	assert.Equal(t, d.cold.remaining("a", nil, start), time.Hour)
	d.put(s, start.Add(time.Minute))
	assert.Equal(t, d.cold.remaining("a", nil, start.Add(time.Minute)), 59*time.Minute)
}

// An answer that says nothing of a cold start may be older than what says so.
func TestLateAnswerDoesNotEndAColdStart(t *testing.T) {
	d := newColdDirectory("a")
	early, err := d.Pick(newColdRequest(true), start)
	assert.NilError(t, err)
	cold, err := d.Pick(newColdRequest(true), start)
	assert.NilError(t, err)
	assert.Assert(t, d.RecordAnswer(cold, 2*time.Second, true, start.Add(100*time.Millisecond)))
	d.RecordAnswer(early, 0, true, start.Add(200*time.Millisecond))
	known, _ := d.ColdServers(start.Add(300 * time.Millisecond))
	assert.Equal(t, known, 1)
	late, err := d.Pick(newColdRequest(true), start.Add(300*time.Millisecond))
	assert.NilError(t, err)
	d.RecordAnswer(late, 0, false, start.Add(400*time.Millisecond))
	known, _ = d.ColdServers(start.Add(400 * time.Millisecond))
	assert.Equal(t, known, 1, "the header was unreadable")
	d.RecordAnswer(late, 0, true, start.Add(400*time.Millisecond))
	known, _ = d.ColdServers(start.Add(400 * time.Millisecond))
	assert.Equal(t, known, 0)
}

// Requests that get status 421 do not count, and neither do those that were not sent.
func TestOnlyRequestsThatReachTheServerCount(t *testing.T) {
	d := newColdDirectory("a")
	d.cold.note("a", time.Hour, start)
	_, choices := sendUntilRefused(t, d, newColdRequest(false), 100, start)
	d.RecordMisdirected(choices[0])
	sent, _ := sendUntilRefused(t, d, newColdRequest(false), 100, start)
	assert.Equal(t, sent, 1)
	d.RecordMisdirected(choices[1])
	c, err := d.Pick(newColdRequest(false), start)
	assert.NilError(t, err)
	c.Release()
	sent, _ = sendUntilRefused(t, d, newColdRequest(false), 100, start)
	assert.Equal(t, sent, 1)
}

// Cold servers are slow, and urgent requests get what they can do first.
func TestColdServersGetFewerRequests(t *testing.T) {
	counts := make(map[int]int)
	for _, priority := range []int{0, 2} {
		d := newColdDirectory("cold", "warm")
		c, err := d.Pick(newColdRequest(true), start)
		assert.NilError(t, err)
		d.mu.Lock()
		d.cold.note("cold", 3*time.Second, start)
		d.mu.Unlock()
		d.markOutdated("plain")
		c.Release()
		r := newColdRequest(true)
		r.Priority = priority
		for range 16 {
			c, err := d.Pick(r, start)
			assert.NilError(t, err)
			if c.ID == "cold" {
				counts[priority]++
			}
		}
	}
	assert.Assert(t, counts[0] > 0 && counts[0] < 8, "%v", counts)
	assert.Assert(t, counts[2] < counts[0], "%v", counts)
}

// Choices of a gateway that was frozen are not sent when it wakes up.
func TestFrozenGatewayChoosesAgain(t *testing.T) {
	d := newColdDirectory("a")
	c, err := d.Pick(newColdRequest(true), start)
	assert.NilError(t, err)
	assert.Assert(t, !d.ClaimSend(c, start.Add(5*time.Second)))
	c.Release()
	again, err := d.Pick(newColdRequest(true), start.Add(5*time.Second))
	assert.NilError(t, err)
	assert.Assert(t, d.ClaimSend(again, start.Add(5*time.Second)))
}

// A gateway that has just started does not know what it sent before, and is not known to the
// others.
func TestStartedGatewayIsNotReadyAtOnce(t *testing.T) {
	d := newColdDirectory("a")
	d.EnableColdStart(ColdBound{Overshoot: 1.5, Slack: 5}, start)
	assert.Assert(t, d.Joining(start.Add(time.Second)))
	sent, _ := sendUntilRefused(t, d, newColdRequest(true), 10, start.Add(time.Second))
	assert.Equal(t, sent, 0)
	assert.Assert(t, !d.Joining(start.Add(2*time.Second)))
}

// Requests that are not of the most urgent priority were refused while cold servers had room:
// the warm server for whose free slots they avoided the cold ones was one that they could not
// use, as it was elsewhere, tried before, without a budget or in a group to be avoided.
func TestColdServersAreUsedIfNoOtherServerIsUsable(t *testing.T) {
	for name, restrict := range map[string]func(*Directory, *PickRequest){
		"elsewhere": func(d *Directory, r *PickRequest) {
			d.SetRegions(map[string]string{"z": "east", "y": "west"})
			r.HomeRegions = []string{"east"}
		},
		"tried":  func(_ *Directory, r *PickRequest) { r.TriedServers = []string{"warm"} },
		"budget": func(d *Directory, r *PickRequest) { useBudget(t, d, r) },
		"group":  func(_ *Directory, r *PickRequest) { r.AvoidGroups = []string{"g"} },
	} {
		t.Run(name, func(t *testing.T) {
			d := newColdDirectory()
			warm, cold := plainServer("warm", 10), plainServer("cold", 10)
			warm.Zone, warm.Group, warm.Open = "y", Group{Name: "g", Epoch: 1, Size: 1}, true
			cold.Zone, cold.ColdRemaining = "z", 3*time.Second
			d.put(warm, start)
			d.put(cold, start)
			r := newColdRequest(name == "budget")
			r.Priority = 1
			restrict(d, &r)
			c, err := d.Pick(r, start)
			assert.NilError(t, err)
			assert.Equal(t, c.ID, "cold")
		})
	}
}

// useBudget uses up the budget of the server with the ID warm.
func useBudget(t *testing.T, d *Directory, r *PickRequest) {
	t.Helper()
	others := *r
	others.TriedServers = []string{"cold"}
	sendUntilRefused(t, d, others, 100, start)
}
