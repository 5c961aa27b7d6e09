package suspects

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of the generated schedules unless the
// command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261203")
	}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set("40")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

// crashBound is the largest number of servers that a request can crash if every
// entry that runs it has received all reports of its earlier crashes.
const crashBound = 2

// runScenario simulates one crasher among 600 harmless requests. Reports are
// delayed by up to maxDelayTicks; partition delays all reports to one entry much
// longer; loseRack loses ten instances of one availability zone in tick 100.
func runScenario(seed uint64, maxDelayTicks int, partition, loseRack bool) *fakeFleet {
	f := newFakeFleet(seed, 7, 40)
	f.maxDelayTicks = maxDelayTicks
	if partition {
		f.partitionedEntry = f.rng.IntN(len(f.registries))
	}
	template := f.randomWords(40)
	for i := range 600 {
		req := &clientRequest{org: "org" + string(rune('a'+i%5)), text: f.randomWords(5 + f.rng.IntN(60)), nextTry: 1 + f.rng.IntN(200)}
		if i%5 == 4 {
			req.org, req.text = "template", template+f.randomWords(4)
		}
		f.requests = append(f.requests, req)
	}
	f.requests = append(f.requests, &clientRequest{org: "crash", text: f.randomWords(40), crasher: true, nextTry: 60})
	for _, req := range f.requests {
		req.fingerprint = f.fingerprinter.Fingerprint(req.org, []byte(req.text))
	}
	// Requests that are only similar are isolated for similarIsolationTTL. All
	// requests must have ended 600 ticks after that.
	const maxTicks = int(similarIsolationTTL/(100*time.Millisecond)) + 600
	for f.tickCount < maxTicks && f.completed+len(f.refused) < len(f.requests) && f.crashes < 200 {
		f.tick()
		if loseRack && f.tickCount == 100 {
			for i := 0; i < 30; i += 3 {
				f.crashServer(i, InstanceLost)
			}
		}
	}
	return f
}

// refusedHarmless returns the number of harmless requests that were refused.
func (f *fakeFleet) refusedHarmless() (n int) {
	for _, crasher := range f.refused {
		if !crasher {
			n++
		}
	}
	return n
}

// TestCrasherIsBounded checks that the crasher crashes at most crashBound servers,
// plus one for each run started by an entry that lacked an earlier crash report,
// that it is refused in the end, and that the harmless requests complete. No
// harmless request may be refused while every entry that runs the crasher has
// all reports. Otherwise the crasher may run on a server where a harmless request
// is on probation, and at most one in a hundred harmless requests may be refused.
func TestCrasherIsBounded(t *testing.T) {
	runs, crashes, uninformedCrashes, refused, harmless := 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		maxDelayTicks := rapid.SampledFrom([]int{0, 0, 20, 100}).Draw(t, "maxDelayTicks")
		partition := rapid.Bool().Draw(t, "partition")
		loseRack := rapid.Bool().Draw(t, "loseRack")
		f := runScenario(rapid.Uint64().Draw(t, "seed"), maxDelayTicks, partition, loseRack)
		assert.Assert(t, f.crashes <= crashBound+f.uninformedCrashes, "%d crashes, %d of them in runs whose entry lacked a report", f.crashes, f.uninformedCrashes)
		if maxDelayTicks == 0 && !partition {
			assert.Equal(t, f.uninformedCrashes, 0)
		}
		assert.Equal(t, f.requests[len(f.requests)-1].nextTry, -1, "the crasher has not been refused")
		refusedHarmless := f.refusedHarmless()
		assert.Equal(t, f.completed+refusedHarmless, len(f.requests)-1, "a harmless request was neither completed nor refused")
		if f.uninformedCrashes > 0 {
			refused += refusedHarmless
			harmless += f.completed + refusedHarmless
		} else {
			assert.Equal(t, refusedHarmless, 0)
			assert.Assert(t, f.tickCount < 4000, "harmless requests ended only in tick %d", f.tickCount)
		}
		runs++
		crashes += f.crashes
		uninformedCrashes += f.uninformedCrashes
	})
	t.Logf("%d schedules: %d crashes, %d of them in runs whose entry lacked a report; in schedules with such runs, %d of %d harmless requests refused", runs, crashes, uninformedCrashes, refused, harmless)
	assert.Assert(t, refused*100 <= harmless, "%d of %d harmless requests refused", refused, harmless)
}

func TestSketchTellsTextsApart(t *testing.T) {
	f := newFakeFleet(1, 1, 1)
	similarChanged, similarUnrelated := 0, 0
	const trials = 2000
	for i := range trials {
		text := f.randomWords(10 + i%200)
		p := f.fingerprinter.Fingerprint("org", []byte(text))
		if p.SimilarTo(f.fingerprinter.Fingerprint("org", []byte(f.mutate(text)))) {
			similarChanged++
		}
		if p.SimilarTo(f.fingerprinter.Fingerprint("org", []byte(f.randomWords(10+i%200)))) {
			similarUnrelated++
		}
		assert.Assert(t, !p.SimilarTo(f.fingerprinter.Fingerprint("other", []byte(text))))
	}
	t.Logf("similar: %d of %d slightly changed texts, %d unrelated texts", similarChanged, trials, similarUnrelated)
	assert.Assert(t, similarChanged > trials*95/100)
	assert.Assert(t, similarUnrelated == 0)
}

func TestReportsAreBounded(t *testing.T) {
	tracker := NewRunTracker(^uint64(0), strings.Repeat("z", 500))
	f := NewFingerprinter("salt")
	for i := range 2 * MaxReportRequests {
		id, ok := tracker.Start(f.Fingerprint("org", []byte{byte(i), byte(i >> 8)}), i == 0)
		assert.Assert(t, ok)
		tracker.AddTokens(id, i)
	}
	report := tracker.ReportCrash(ServerCrashed, time.Unix(1e9, 0))
	data, err := report.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= MaxReportBytes, "encoded report has %d bytes", len(data))
	t.Logf("%d requests: %d bytes", MaxReportRequests, len(data))
	got, err := Decode(data)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Requests), MaxReportRequests)
	assert.Equal(t, got.Requests[0].Fingerprint, report.Requests[0].Fingerprint)
	_, err = Decode(make([]byte, MaxReportBytes+1))
	assert.ErrorContains(t, err, "too large")
}

func BenchmarkPrint2KB(b *testing.B)  { benchmarkPrint(b, 2<<10) }
func BenchmarkPrint64KB(b *testing.B) { benchmarkPrint(b, 64<<10) }

func benchmarkPrint(b *testing.B, size int) {
	f := newFakeFleet(1, 1, 1)
	text := []byte(f.randomWords(size / 5))[:size]
	b.SetBytes(int64(size))
	for b.Loop() {
		f.fingerprinter.Fingerprint("org", text)
	}
}

// BenchmarkJudge measures Decide on a full registry whose suspects all belong to
// one organisation.
func BenchmarkJudge(b *testing.B) {
	f := newFakeFleet(1, 1, 1)
	registry := NewRegistry()
	now := time.Unix(1e9, 0)
	for s := range maxSuspects / MaxReportRequests {
		var all []InFlightRequest
		for range MaxReportRequests {
			all = append(all, InFlightRequest{Fingerprint: f.fingerprinter.Fingerprint("org", []byte(f.randomWords(20)))})
		}
		registry.Merge(NewReport(uint64(s+1), now, "z", ServerCrashed, all), now)
	}
	p := f.fingerprinter.Fingerprint("org", []byte(f.randomWords(20)))
	for b.Loop() {
		registry.Decide(p, now)
	}
}
