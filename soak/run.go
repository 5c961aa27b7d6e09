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

// discardLog drops the log of the simulated servers, which abort connections on
// purpose.
var discardLog = log.New(io.Discard, "", 0)

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Violations has a line for each violation of a guarantee.
	Violations []string
	// Faults describes the injected faults with their times and durations.
	Faults []string
	// Requests is the number of requests of all callers, Served the number of
	// those that got a complete response with status 200. MapSwitches is the
	// number of times that a group changed the map in use.
	Requests, Served, MapSwitches int
	// PartCrashes is the number of crashes on parts of prompts, RequestCrashes that of
	// plain servers under requests, Unframed the number of whole responses without length
	// and chunks.
	PartCrashes, RequestCrashes, Unframed int
	// LastSentToEvacuated is the longest time after the acknowledgement of an evacuation at
	// which a request reached a server of the zone.
	LastSentToEvacuated time.Duration
}

const (
	// readyTimeout limits the time until all gateways are ready.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// holdObservationTime is the time at the end of a run for which a group must
	// be stopped by a hold without a break to count as held.
	holdObservationTime = time.Second
)

// Run injects the faults of a seed into processes of the daemon, which write
// their logs to dir. runIndex distinguishes runs that take place at the same
// time. An error means that the run itself failed.
func Run(ctx context.Context, daemon, dir string, seed uint64, runIndex int, size Size) (*Report, error) {
	return runPlan(ctx, daemon, dir, seed, runIndex, size, schedule)
}

// runPlan is like Run with the faults that plan returns for the testbed and a source
// of random numbers.
func runPlan(ctx context.Context, daemon, dir string, seed uint64, runIndex int, size Size, plan func(*testbed, *rand.Rand) []fault) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := newTestbed(ctx, daemon, dir, runIndex, size)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.changeConfig()
	health := &gatewayHealth{failedProbes: make(map[string]int)}
	go health.monitor(ctx, r.gateways)
	if err := r.awaitReady(ctx, health); err != nil {
		return nil, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for i := range size.Callers {
		callers.Go(func() { r.runCaller(callersCtx, seed<<16+uint64(i), health) })
	}
	report := &Report{Seed: seed}
	report.Faults = r.injectFaults(ctx, plan(r, rand.New(rand.NewPCG(seed, 0))))
	r.history.recordFaultsEnded()
	sleep(ctx, size.RecoveryPeriod-holdObservationTime)
	r.recordHeldGroups(ctx)
	stopCallers()
	callers.Wait()
	r.recordMapSwitches()
	report.Violations = r.history.verify()
	report.Requests, report.Served = r.history.counts()
	report.PartCrashes, report.RequestCrashes, report.Unframed = r.history.countPartCrashes(), r.history.countRequestCrashes(), r.history.countUnframed()
	report.MapSwitches = r.history.mapSwitches
	report.LastSentToEvacuated = r.history.lastSentToEvacuated()
	return report, r.failureError()
}

func (r *testbed) awaitReady(ctx context.Context, health *gatewayHealth) error {
	deadline := time.Now().Add(readyTimeout)
	for _, g := range r.gateways {
		for !health.healthy(g.settings.Name) {
			if time.Now().After(deadline) {
				return fmt.Errorf("soak: %s did not become ready", g.settings.Name)
			}
			sleep(ctx, readyPollInterval)
		}
	}
	return ctx.Err()
}

// injectFaults injects the faults, ends them, and returns their descriptions.
// Only its goroutine accesses plainServers and operator of the testbed.
func (r *testbed) injectFaults(ctx context.Context, faults []fault) []string {
	start := time.Now()
	var injected []string
	var ends sync.WaitGroup
	for _, f := range faults {
		sleep(ctx, f.at-time.Since(start))
		end := f.inject()
		injected = append(injected, fmt.Sprintf("%s at %v for %v", f.name, f.at.Round(time.Millisecond), f.duration.Round(time.Millisecond)))
		ends.Go(func() {
			sleep(ctx, f.at+f.duration-time.Since(start))
			end()
		})
	}
	ends.Wait()
	sleep(ctx, r.size.FaultPeriod-time.Since(start))
	return injected
}

// recordHeldGroups records the groups that a hold stops for all of
// holdObservationTime.
func (r *testbed) recordHeldGroups(ctx context.Context) {
	held := make(map[string]bool)
	for _, g := range r.groups {
		held[g.Name] = true
	}
	until := time.Now().Add(holdObservationTime)
	for time.Now().Before(until) {
		for _, g := range r.groups {
			held[g.Name] = held[g.Name] && g.StoppedByHold()
		}
		sleep(ctx, readyPollInterval)
	}
	for name, stillHeld := range held {
		if stillHeld {
			r.history.heldGroups = append(r.history.heldGroups, name)
		}
	}
}

func (r *testbed) recordMapSwitches() {
	for _, g := range r.groups {
		violations, switches := g.MapViolations()
		r.history.mapViolations = append(r.history.mapViolations, violations...)
		r.history.mapSwitches += switches
	}
}

func (h *history) recordFaultsEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultsEndedAt = time.Now()
}

func (h *history) recordConfig(c configChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, c)
}

func (h *history) counts() (requests, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if a.crashingPart != "" || a.crashing {
			continue
		}
		requests++
		if a.response.Status == http.StatusOK && a.response.Complete {
			served++
		}
	}
	return requests, served
}

func (h *history) countPartCrashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, crashes := range h.partCrashes {
		n += len(crashes)
	}
	return n
}

func (h *history) countRequestCrashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.attempts {
		if a.crashing {
			n += len(a.ranOn)
		}
	}
	return n
}

func (h *history) countUnframed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.attempts {
		if !a.wholeUnframedAt.IsZero() {
			n++
		}
	}
	return n
}

// recordFailure records an error of the run itself.
func (r *testbed) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}

func (r *testbed) failureError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.failures...)
}
