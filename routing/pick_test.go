package routing

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bluebellwind.example/verdict"
)

var testTime = time.Unix(1_800_000_000, 0)

// drawView draws a view in which about a fifth of the servers is draining or
// excluded.
func drawView(t *rapid.T) View {
	n := rapid.IntRange(0, 12).Draw(t, "servers")
	v := View{ReportPeriod: time.Second, MeanTokens: 200, StepTime: 40 * time.Millisecond, PrefillPerToken: time.Millisecond}
	for i := range n {
		v.Candidates = append(v.Candidates, Candidate{
			Server:      fmt.Sprint("s", i),
			Version:     rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
			Adapters:    rapid.SampledFrom([][]string{nil, {"a"}}).Draw(t, "adapters"),
			Draining:    rapid.IntRange(0, 9).Draw(t, "draining") == 0,
			Excluded:    rapid.IntRange(0, 9).Draw(t, "excluded") == 0,
			ZonePenalty: time.Duration(rapid.IntRange(0, 2).Draw(t, "distance")) * time.Second,
			Load: Load{
				MeasuredAt: testTime.Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond),
				Slots:      rapid.IntRange(0, 32).Draw(t, "slots"),
				Running:    rapid.IntRange(0, 32).Draw(t, "running"),
				Queued:     [Priorities]int{rapid.IntRange(0, 9).Draw(t, "queued"), 0, 3},
				StepTime:   time.Duration(rapid.IntRange(0, 99).Draw(t, "step")) * time.Millisecond,
			},
			EntryLoad: EntryLoad{InFlight: rapid.IntRange(0, 5).Draw(t, "inflight")},
		})
	}
	return v
}

func drawRequest(t *rapid.T) Request {
	r := Request{
		Priority:     Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Version:      rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "want"),
		Adapter:      rapid.SampledFrom([]string{"", "a"}).Draw(t, "adapter"),
		PromptTokens: 1000,
	}
	for range rapid.IntRange(0, 3).Draw(t, "excluded servers") {
		r.ExcludedServers = append(r.ExcludedServers, fmt.Sprint("s", rapid.IntRange(0, 11).Draw(t, "t")))
	}
	for range rapid.IntRange(0, 3).Draw(t, "hints") {
		r.Hints = append(r.Hints, Hint{Server: fmt.Sprint("s", rapid.IntRange(0, 14).Draw(t, "h")), Tokens: 900, Probability: 1})
	}
	return r
}

// eligibleServers returns the servers that may serve r. It is a straightforward
// reference for Picker's eligibility rules.
func eligibleServers(v *View, r *Request) []string {
	var names []string
	for _, c := range v.Candidates {
		fits := (r.Version == "" || c.Version == r.Version) && (r.Adapter == "" || len(c.Adapters) > 0)
		if fits && !c.Draining && !c.Excluded && !slices.Contains(r.ExcludedServers, c.Server) {
			names = append(names, c.Server)
		}
	}
	return names
}

// TestPickAgainstNaive checks that Pick returns only eligible servers, refuses
// with NotRun and a retry delay if there is none, and is deterministic.
func TestPickAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, r := drawView(t), drawRequest(t)
		seed := rapid.Uint64().Draw(t, "seed")
		want := eligibleServers(&v, &r)
		a, b := NewPicker(seed), NewPicker(seed)
		w := v
		w.Candidates = slices.Clone(v.Candidates)
		for range 20 {
			i, err := a.Pick(&v, &r, testTime)
			j, _ := b.Pick(&w, &r, testTime)
			assert.Equal(t, i, j, "pickers with the same seed chose different servers")
			if len(want) == 0 {
				e := verdict.AsError(err)
				assert.Equal(t, e.Verdict, verdict.NotRun)
				assert.Assert(t, e.RetryAfter > 0)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, slices.Contains(want, v.Candidates[i].Server))
		}
	})
}

// TestLevel compares the backlog level of waterFill with one found by
// bisection.
func TestLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, r := drawView(t), Request{}
		p := NewPicker(1)
		if !p.estimateAll(&v, &r, testTime) {
			return
		}
		work := rapid.Float64Range(0.5, 500).Draw(t, "work")
		level := p.waterFill(work)
		lower, upper := 0.0, 1e6
		for range 200 {
			middle, sum := (lower+upper)/2, 0.0
			for _, e := range p.estimates {
				sum += e.capacity * max(0, middle-e.backlog)
			}
			if sum < work {
				lower = middle
			} else {
				upper = middle
			}
		}
		assert.Assert(t, level-lower < 1e-6*(1+lower) && lower-level < 1e-6*(1+lower), "waterFill level %v, bisection level %v", level, lower)
	})
}

func TestTableCountsOwnSends(t *testing.T) {
	table := NewTable(7)
	v := testView(2, rand.New(rand.NewPCG(1, 1)))
	v.Candidates[1].Draining = true
	table.Update(v)
	c, err := table.Pick(Request{}, testTime)
	assert.NilError(t, err)
	entryLoad := func() EntryLoad {
		o := table.view.Candidates[0].EntryLoad
		o.Credit = 0
		return o
	}
	assert.Equal(t, entryLoad(), EntryLoad{InFlight: 1, SentSince: 1})
	v.Candidates[0].Load.MeasuredAt = testTime.Add(time.Second)
	table.Update(v)
	assert.Equal(t, entryLoad(), EntryLoad{InFlight: 1})
	c.Release()
	c.Release()
	assert.Equal(t, entryLoad(), EntryLoad{})
	table.Exclude(c.Server)
	_, err = table.Pick(Request{}, testTime)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

// TestNoHerd lets 330 entries choose once on the same report, in which one of
// 16 servers has 13 running requests and the others have 14. Without spreading,
// all entries would send to that server.
func TestNoHerd(t *testing.T) {
	sends := make([]int, 16)
	for seed := range uint64(330) {
		v := testView(16, rand.New(rand.NewPCG(1, 1)))
		for i := range v.Candidates {
			v.Candidates[i].Load.Running = 14
		}
		v.Candidates[5].Load.Running = 13
		p := NewPicker(seed)
		p.noSpreading = os.Getenv("BBW_WITHOUT") == "spreading"
		i, err := p.Pick(&v, &Request{}, testTime)
		assert.NilError(t, err)
		sends[i]++
	}
	fairShare := 330 / 16
	assert.Assert(t, slices.Max(sends) < 3*fairShare, "requests by server: %v", sends)
}

func TestHints(t *testing.T) {
	x := NewPrefixIndex(64, 1)
	prompt := []byte(strings.Repeat("certificate of planting ", 20))
	blocks := HashBlocks(nil, 1, prompt, 100)
	assert.Equal(t, len(blocks), 4)
	assert.Assert(t, blocks[0] != HashBlocks(nil, 2, prompt, 100)[0], "different salts gave the same block hash")
	x.RecordStored("short", blocks[:1], testTime)
	x.RecordStored("long", blocks, testTime)
	x.RecordGap("short", testTime.Add(time.Second))
	hints := x.Hints(nil, blocks, 25, testTime.Add(probabilityHalfLife))
	assert.DeepEqual(t, hints, []Hint{{"long", 100, 0.5}, {"short", 25, 0.25}})
	x.RecordEvicted("long", blocks)
	assert.Equal(t, len(x.Hints(nil, blocks, 25, testTime)), 1)
	for i := range 1000 {
		x.RecordStored("many", []BlockHash{BlockHash(i)}, testTime)
	}
	assert.Assert(t, len(x.newer)+len(x.older) <= 2*64)
}

func testView(n int, rng *rand.Rand) View {
	v := View{ReportPeriod: time.Second, MeanTokens: 200, PrefillPerToken: 100 * time.Microsecond}
	for i := range n {
		v.Candidates = append(v.Candidates, Candidate{
			Server: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			Load: Load{
				MeasuredAt: testTime.Add(-time.Second), Slots: 16, Running: rng.IntN(16),
				StepTime: 40 * time.Millisecond,
			},
		})
	}
	return v
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 760} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := testView(n, rand.New(rand.NewPCG(1, 1)))
			r := Request{PromptTokens: 1000, Hints: []Hint{{Server: v.Candidates[n/2].Server, Tokens: 800, Probability: 1}}}
			p := NewPicker(1)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Pick(&v, &r, testTime); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
