package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bluebellwind.example/platform/platformtest"
)

const (
	// Prompts of sound requests consist of one of firstPartCount shared first parts,
	// one of middlePartCount shared parts, and a part of their own.
	firstPartCount, middlePartCount = 4, 3
	sharedPartTokens, ownPartTokens = 40, 20
	modelName                       = "soak-model"
	// Requests with a crashing part are sent at intervals of at least
	// minCrashingInterval and less than minCrashingInterval+crashingIntervalSpread.
	minCrashingInterval    = 50 * time.Millisecond
	crashingIntervalSpread = 100 * time.Millisecond
	// crashDownTime is the time from the crash of a rank on a part until it restarts.
	crashDownTime = 400 * time.Millisecond
	// minCrashingPeriod is the minimum time for which requests with a crashing part
	// come.
	minCrashingPeriod = 7500 * time.Millisecond
)

func firstPart(i int) string { return fmt.Sprintf("f1%02x", i) }

func ownPart(rng *rand.Rand) platformtest.PromptPart {
	return platformtest.PromptPart{ID: fmt.Sprintf("%016x", rng.Uint64()), Tokens: ownPartTokens}
}

func sharedPart(id string) platformtest.PromptPart {
	return platformtest.PromptPart{ID: id, Tokens: sharedPartTokens}
}

// drawPrompt draws the prompt of a sound request.
func drawPrompt(rng *rand.Rand) []platformtest.PromptPart {
	middle := fmt.Sprintf("a2%02x", rng.IntN(middlePartCount))
	return []platformtest.PromptPart{sharedPart(firstPart(rng.IntN(firstPartCount))), sharedPart(middle), ownPart(rng)}
}

// crashingCaller sends requests whose prompts have a part that crashes ranks. They
// share their API key and first part with sound requests.
type crashingCaller struct {
	part, firstPart string
	rng             *rand.Rand
	caller          *platformtest.Caller
}

// sendCrashingPart makes a part of prompts crash ranks, and sends requests with it at
// any gateway until the end of the fault. The part still crashes ranks after that.
func (r *testbed) sendCrashingPart(rng *rand.Rand) func() func() {
	c := &crashingCaller{
		part: fmt.Sprintf("%016x", rng.Uint64()), firstPart: firstPart(rng.IntN(firstPartCount)),
		rng: rand.New(rand.NewPCG(rng.Uint64(), 2)), caller: platformtest.NewCaller(),
	}
	return func() func() {
		for _, g := range r.groups {
			g.SetCrashingPart(c.part, func(rank *platformtest.Rank) { r.crashOnPart(rank, c.part) })
		}
		ctx, cancel := context.WithCancel(context.Background())
		var sending sync.WaitGroup
		sending.Go(func() { r.runCrashingCaller(ctx, c) })
		return func() { cancel(); sending.Wait(); c.caller.Close() }
	}
}

// runCrashingCaller sends requests until ctx ends, without waiting for responses in
// between. Those that have none by then are abandoned.
func (r *testbed) runCrashingCaller(ctx context.Context, c *crashingCaller) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		a, g := c.drawRequest(), r.drawGateway(c.rng)
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, a.Timeout+lateResponseWait)
			defer cancel()
			r.sendTo(ctx, c.caller, g, a)
		})
		sleep(ctx, minCrashingInterval+time.Duration(c.rng.Int64N(int64(crashingIntervalSpread))))
	}
}

// drawRequest draws a request with the crashing part, as the second part of its
// prompt or at times as the first.
func (c *crashingCaller) drawRequest() *attempt {
	a := &attempt{organisation: permanentOrg, crashingPart: c.part}
	a.AttemptID, a.Host, a.APIKey, a.Timeout = newAttemptID(c.rng), host, sharedKey, streamCallerTimeout
	a.Path, a.RouteType, a.Model = streamPath, platformtest.Stream, modelName
	a.Prompt = []platformtest.PromptPart{sharedPart(c.firstPart), sharedPart(c.part), ownPart(c.rng)}
	if c.rng.IntN(4) == 0 {
		a.Prompt[0], a.Prompt[1] = a.Prompt[1], a.Prompt[0]
	}
	return a
}

// crashOnPart crashes a rank that has begun to write on a crashing part. Unlike
// crashRank it excuses no gateway.
func (r *testbed) crashOnPart(rank *platformtest.Rank, part string) {
	r.history.recordPartCrash(part)
	endCrash := r.history.beginFault(crashOf(rank.ID))
	rank.Crash()
	link := r.linkOf(rank)
	link.setMode(linkReset)
	time.AfterFunc(crashDownTime, func() { link.setMode(linkOpen); rank.Restart(); endCrash() })
}

func (r *testbed) linkOf(rank *platformtest.Rank) *proxy {
	for _, s := range r.ranks {
		if s.Rank == rank {
			return s.link
		}
	}
	return nil
}
