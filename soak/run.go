package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// quiet is the log of stand-ins, which break off connections on purpose.
var quiet = log.New(io.Discard, "", 0)

// Report is what came of a run.
type Report struct {
	Seed uint64
	// Broken has a line for each promise that was broken.
	Broken []string
	// Faults are those that struck, with their times.
	Faults []string
	// Requests and Served count those of all callers, and Switches the maps that
	// came into use.
	Requests, Served, Switches int
}

const (
	// readyTimeout bounds the start of the gateways.
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	// heldTime is how long a group that is asked for may be held at the end.
	heldTime = time.Second
)

// Run plays the faults of a seed against processes of the daemon, which leave
// their logs in dir. run tells runs apart that go on at the same time. The error
// is one of the run itself.
func Run(ctx context.Context, daemon, dir string, seed uint64, run int, size Size) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := newRig(ctx, daemon, dir, run, size)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.changeConfig()
	ready := &rotation{misses: make(map[string]int)}
	go ready.watch(ctx, r.gateways)
	if err := r.awaitReady(ctx, ready); err != nil {
		return nil, err
	}
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range size.Callers {
		callers.Go(func() { r.call(calling, seed<<16+uint64(i), ready) })
	}
	report := &Report{Seed: seed}
	report.Faults = r.play(ctx, schedule(r, rand.New(rand.NewPCG(seed, 0))))
	r.ledger.calm()
	pause(ctx, size.Calm-heldTime)
	r.watchHeld(ctx)
	stop()
	callers.Wait()
	r.noteMaps()
	report.Broken = r.ledger.verify()
	report.Requests, report.Served = r.ledger.counts()
	report.Switches = r.ledger.switches
	return report, r.failure()
}

func (r *rig) awaitReady(ctx context.Context, t *rotation) error {
	deadline := time.Now().Add(readyTimeout)
	for _, g := range r.gateways {
		for !t.takes(g.settings.Name) {
			if time.Now().After(deadline) {
				return fmt.Errorf("soak: %s did not get ready", g.settings.Name)
			}
			pause(ctx, readyPoll)
		}
	}
	return ctx.Err()
}

// play lets the faults strike and end, and returns them with their times. Only
// its own goroutine touches the rig's servers and its operator.
func (r *rig) play(ctx context.Context, faults []fault) []string {
	start := time.Now()
	var struck []string
	var ends sync.WaitGroup
	for _, f := range faults {
		pause(ctx, f.at-time.Since(start))
		end := f.begin()
		struck = append(struck, fmt.Sprintf("%s at %v for %v", f.name, f.at.Round(time.Millisecond), f.lasts.Round(time.Millisecond)))
		ends.Go(func() {
			pause(ctx, f.at+f.lasts-time.Since(start))
			end()
		})
	}
	ends.Wait()
	pause(ctx, r.size.Trouble-time.Since(start))
	return struck
}

// watchHeld notes the groups that stay held for all of heldTime.
func (r *rig) watchHeld(ctx context.Context) {
	held := make(map[string]bool)
	for _, g := range r.groups {
		held[g.Name] = true
	}
	until := time.Now().Add(heldTime)
	for time.Now().Before(until) {
		for _, g := range r.groups {
			held[g.Name] = held[g.Name] && g.StoppedByHold()
		}
		pause(ctx, readyPoll)
	}
	for name, is := range held {
		if is {
			r.ledger.held = append(r.ledger.held, name)
		}
	}
}

func (r *rig) noteMaps() {
	for _, g := range r.groups {
		violations, switches := g.MapViolations()
		r.ledger.maps = append(r.ledger.maps, violations...)
		r.ledger.switches += switches
	}
}

func (l *ledger) calm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calmFrom = time.Now()
}

func (l *ledger) stored(v version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, v)
}

func (l *ledger) counts() (requests, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		requests++
		if a.answer.Status == http.StatusOK && a.answer.Complete {
			served++
		}
	}
	return requests, served
}

// fail notes an error of the run itself.
func (r *rig) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}

func (r *rig) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.failures...)
}
