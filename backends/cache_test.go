package backends

import (
	"errors"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
	"bluebellwind.example/verdict"
)

// newCacheDirectory returns a directory with one group of servers whose caches are bounded.
func newCacheDirectory() *Directory {
	d := NewDirectory("z", 1)
	for rank := range 4 {
		d.Put(rankServer(0, rank, 1, true))
	}
	d.noCacheBound = os.Getenv("BBW_WITHOUT") == "cache-bound"
	return d
}

func newCacheRequest(kvTokens, prompt int) PickRequest {
	r := newPickRequest()
	r.Service = &ingress.Service{Name: "llm", Engine: &ingress.Engine{
		Slots: 100, Step: 10 * time.Millisecond, PromptTokens: 200, AnswerTokens: 100, KVTokens: kvTokens,
	}}
	r.PromptTokens = prompt
	return r
}

// Servers crashed when the prompts of the requests that they held exceeded their memory.
// Random requests come and go, also from others, as the servers report.
func TestTokensAtAServerStayWithinItsCache(t *testing.T) {
	const kvTokens = 2000
	rng := rand.New(rand.NewPCG(3, 4))
	d := newCacheDirectory()
	own := map[string]map[*Choice]int{}
	others := map[string]int{}
	refused, chosen := 0, 0
	now := start
	for i := range 20_000 {
		now = now.Add(5 * time.Millisecond)
		if i%20 == 0 {
			for rank := range 4 {
				id := rankServer(0, rank, 1, true).ID
				others[id] = rng.IntN(4)
				s := rankStatus(0, rank, 1, true, true, now)
				s.Running = others[id] + len(own[id])
				d.UpdateStatus(id+":1", s)
				if len(own[id]) == 0 && others[id] == 0 {
					continue
				}
			}
		}
		r := newCacheRequest(kvTokens, 1+rng.IntN(600))
		tokens := r.requestTokens()
		choice, err := d.Pick(r, now)
		if err != nil {
			var refusal *verdict.Error
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Verdict, verdict.NotRun)
			refused++
		} else {
			if own[choice.ID] == nil {
				own[choice.ID] = map[*Choice]int{}
			}
			own[choice.ID][choice] = tokens
			held := 300 * others[choice.ID]
			for _, tokens := range own[choice.ID] {
				held += tokens
			}
			assert.Assert(t, held <= kvTokens, "%d tokens at %s", held, choice.ID)
			chosen++
		}
		for _, choices := range own {
			for c := range choices {
				if rng.IntN(30) == 0 {
					delete(choices, c)
					c.Release()
				}
			}
		}
	}
	assert.Assert(t, refused > 100 && chosen > 1000, "%d refused, %d chosen", refused, chosen)
	for _, choices := range own {
		for c := range choices {
			c.Release()
		}
	}
	assert.Equal(t, d.HeldTokens(), 0)
}

// A request that exceeds the memory of every server would crash each that it is sent to.
func TestRequestBeyondEveryCacheIsTooLarge(t *testing.T) {
	d := newCacheDirectory()
	for _, prompt := range []int{2000, math.MaxInt} {
		_, err := d.Pick(newCacheRequest(2000, prompt), start)
		var refusal *verdict.Error
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Code, verdict.TooLarge)
		assert.Equal(t, refusal.RetryAfter, time.Duration(0))
	}
	choice, err := d.Pick(newCacheRequest(2000, 1900), start)
	assert.NilError(t, err, "an empty server takes what its cache can hold")
	choice.Release()
}

// A prompt whose length is not stated is estimated by the body.
func TestPromptWithoutALengthCountsByItsBody(t *testing.T) {
	r := newCacheRequest(2000, 0)
	r.BodyBytes = 800
	assert.Equal(t, r.requestTokens(), 300)
}

// Without a stated cache nothing may change.
func TestCacheThatIsNotStatedBoundsNothing(t *testing.T) {
	d := newCacheDirectory()
	for range 50 {
		_, err := d.Pick(newCacheRequest(0, 1_000_000), start)
		assert.NilError(t, err)
	}
	assert.Equal(t, d.HeldTokens(), 0)
}

// Requests were refused for full memory while groups with slower passes had room, because
// admission had chosen the other pool of groups.
func TestFullCachesOfOnePoolLeaveTheOther(t *testing.T) {
	for _, sentBefore := range []bool{false, true} {
		d := NewDirectory("z", 1)
		for group := range 2 {
			d.put(rankServer(group, 0, 1, true), start)
			s := rankStatus(group, 0, 1, true, true, start)
			s.PassTime = time.Duration(1+499*group) * time.Millisecond
			s.Running = 0
			d.UpdateStatus(rankServer(group, 0, 1, true).ID+":1", s)
		}
		r := newCacheRequest(2000, 1500)
		r.MaxPause, r.SentBefore = 50*time.Millisecond, sentBefore
		first, err := d.Pick(r, start)
		assert.NilError(t, err)
		second, err := d.Pick(r, start)
		assert.NilError(t, err)
		assert.Assert(t, first.Group.Name != second.Group.Name)
		_, err = d.Pick(r, start)
		assert.ErrorContains(t, err, "the memory of the backend servers is full")
	}
}
