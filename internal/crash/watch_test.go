package crash

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/suspects"
	"bluebellwind.example/wire"
)

func printOf(t *testing.T, text string) suspects.Fingerprint {
	t.Helper()
	f, err := NewFingerprinter([]byte("a secret of the fleet of 32 bytes"))
	assert.NilError(t, err)
	body := fmt.Sprintf(`{"messages":[{"role":"system","content":"shared"},{"role":"user","content":%q}]}`, text)
	return f.Fingerprint("oakville", ComparableText([]byte(body)))
}

func TestWatchTellsACrashFromABrokenConnection(t *testing.T) {
	refused := errors.New("connection refused")
	for _, c := range []struct {
		name    string
		after   string
		err     error
		crashed bool
	}{
		{"the same process answers", "1", nil, false},
		{"another process answers", "2", nil, true},
		{"nobody answers", "", refused, true},
		{"the answer names no process", "", nil, false}, // It was taken for another process.
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			process, err, reports := "1", error(nil), 0
			probe := func(context.Context) (string, error) { return process, err }
			w := NewServerMonitor("draft-1", "ga-1", suspects.ServerCrashed, probe, func(suspects.Report) { reports++ })
			first, _ := w.Begin(ctx, printOf(t, "first"), false)
			second, _ := w.Begin(ctx, printOf(t, "second"), true)
			_, ok := w.Begin(ctx, printOf(t, "third"), true)
			assert.Assert(t, !ok, "a second probation run was admitted to the server")
			process, err = c.after, c.err
			report, crashed := first.ConnectionBroke(ctx)
			assert.Equal(t, crashed, c.crashed)
			later, _ := w.Begin(ctx, printOf(t, "later"), false) // Runs on the next process.
			sharedReport, _ := second.ConnectionBroke(ctx)
			if !c.crashed {
				assert.Equal(t, reports, 0)
				return
			}
			assert.Equal(t, reports, 1)
			assert.Equal(t, len(report.Requests), 2)
			assert.DeepEqual(t, report, sharedReport)
			err = nil
			_, crashed = later.ConnectionBroke(ctx)
			assert.Assert(t, !crashed, "the next process was taken for the crashed one")
		})
	}
}

func TestBoardsLearnFromEachOther(t *testing.T) {
	now, ctx := time.Now(), context.Background()
	newReports := 0
	a, b := NewReportStore(func(suspects.Report) {}), NewReportStore(func(suspects.Report) { newReports++ })
	p := printOf(t, "a crasher")
	for i := range 3 {
		r := suspects.NewReport(uint64(i), now.Add(-time.Duration(i)*12*time.Hour), "ga-1", suspects.ServerCrashed, []suspects.InFlightRequest{{Fingerprint: p, Probation: true}})
		data, err := r.Encode()
		assert.NilError(t, err)
		_, isNew, err := a.Add(data, now)
		assert.NilError(t, err)
		assert.Equal(t, isNew, i < 2, "a report of 24 hours ago was taken, or a newer one was not")
	}
	for range 2 {
		reply, err := a.Ask(ctx, &wire.KnownReports{Hashes: b.hashes()})
		assert.NilError(t, err)
		_, err = b.Tell(ctx, reply)
		assert.NilError(t, err)
	}
	assert.Equal(t, newReports, 2)
	assert.Equal(t, b.Registry.Decide(p, now).Verdict, suspects.Quarantined)
	_, err := b.Tell(ctx, &wire.SuspectReports{Reports: [][]byte{[]byte("no report")}})
	assert.Assert(t, err != nil)
}

func TestTwoRelaysTellEachEntry(t *testing.T) {
	relays := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
	for i := range 50 {
		senders := 0
		for _, self := range append(relays, "stranger") {
			if isRelayFor(self, relays, fmt.Sprint(i)) {
				senders++
			}
		}
		assert.Equal(t, senders, relaysPerEntry)
	}
	assert.Assert(t, isRelayFor("stranger", nil, "any"), "no entry sends the report while no relay is known")
}
