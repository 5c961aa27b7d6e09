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

func printOf(t *testing.T, text string) suspects.Print {
	t.Helper()
	f, err := NewFingerprinter([]byte("a secret of the fleet of 32 bytes"))
	assert.NilError(t, err)
	body := fmt.Sprintf(`{"messages":[{"role":"system","content":"shared"},{"role":"user","content":%q}]}`, text)
	return f.Print("oakville", Text([]byte(body)))
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
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			process, err, reports := "1", error(nil), 0
			probe := func(context.Context) (string, error) { return process, err }
			w := NewWatch("draft-1", "ga-1", suspects.ServerCrashed, probe, func(suspects.Report) { reports++ })
			first, _ := w.Begin(ctx, printOf(t, "first"), false)
			second, _ := w.Begin(ctx, printOf(t, "second"), true)
			_, ok := w.Begin(ctx, printOf(t, "third"), true)
			assert.Assert(t, !ok, "two probation runs share a server")
			process, err = c.after, c.err
			report, crashed := first.Broke(ctx)
			assert.Equal(t, crashed, c.crashed)
			later, _ := w.Begin(ctx, printOf(t, "later"), false) // On the next process.
			again, _ := second.Broke(ctx)
			if !c.crashed {
				assert.Equal(t, reports, 0)
				return
			}
			assert.Equal(t, reports, 1)
			assert.Equal(t, len(report.Requests), 2)
			assert.DeepEqual(t, report, again)
			err = nil
			_, crashed = later.Broke(ctx)
			assert.Assert(t, !crashed, "the next process answers for the one before")
		})
	}
}

func TestBoardsLearnFromEachOther(t *testing.T) {
	now, ctx := time.Now(), context.Background()
	learned := 0
	a, b := NewBoard(func(suspects.Report) {}), NewBoard(func(suspects.Report) { learned++ })
	p := printOf(t, "a crasher")
	for i := range 3 {
		r := suspects.NewReport(uint64(i), now.Add(-time.Duration(i)*12*time.Hour), "ga-1", suspects.ServerCrashed, []suspects.InFlightRequest{{Print: p, Probation: true}})
		data, err := r.Encode()
		assert.NilError(t, err)
		_, isNew, err := a.Take(data, now)
		assert.NilError(t, err)
		assert.Equal(t, isNew, i < 2, "a report of a day ago counts")
	}
	for range 2 {
		reply, err := a.Ask(ctx, &wire.KnownReports{Hashes: b.hashes()})
		assert.NilError(t, err)
		_, err = b.Tell(ctx, reply)
		assert.NilError(t, err)
	}
	assert.Equal(t, learned, 2)
	assert.Equal(t, b.Book.Judge(p, now).Verdict, suspects.Quarantined)
	_, err := b.Tell(ctx, &wire.SuspectReports{Reports: [][]byte{[]byte("no report")}})
	assert.Assert(t, err != nil)
}

func TestTwoRelaysTellEachEntry(t *testing.T) {
	relays := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
	for i := range 50 {
		n := 0
		for _, self := range append(relays, "stranger") {
			if relaysTo(self, relays, fmt.Sprint(i)) {
				n++
			}
		}
		assert.Equal(t, n, relaysEach)
	}
	assert.Assert(t, relaysTo("stranger", nil, "any"), "nobody tells while no relay is known")
}
