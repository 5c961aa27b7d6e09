package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/membership"
	"bluebellwind.example/routing"
	"bluebellwind.example/routing/admission"
	"bluebellwind.example/wire"
)

const (
	loadPublishInterval = 250 * time.Millisecond
	// loadReportTTL is how long a published load report is valid unless a newer
	// one replaces it.
	loadReportTTL = 10 * time.Second
	classBatch    = "batch"
)

// acquireSlot waits for one of the backend server's slots. Every error is a
// refusal with the verdict NotRun. The caller must call release when the request
// ends.
func (a *Agent) acquireSlot(ctx context.Context, s *wire.Start) (release func(), err error) {
	_, slotTime := a.serviceTimes.means()
	queuedAt := time.Now()
	deadline, _ := ctx.Deadline()
	releaseSlot, err := a.gate.Acquire(ctx, admission.Request{
		Organisation: s.GetOrganisation(),
		Weight:       float64(max(1, s.GetShare())),
		Priority:     routing.PriorityOf(s.GetClass() == classBatch, int(s.GetPriority())),
		ServiceTime:  slotTime,
		Deadline:     deadline,
	})
	a.recordQueueTime(s, time.Since(queuedAt))
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	return func() {
		a.serviceTimes.observeSlotTime(time.Since(startedAt))
		releaseSlot()
	}, nil
}

func (a *Agent) currentLoad() *wire.Load {
	running, queued := a.gate.Load()
	step, _ := a.serviceTimes.means()
	load := &wire.Load{
		Running:     uint32(running),
		Slots:       uint32(a.settings.Agent.Slots),
		StepUs:      uint32(step.Microseconds()),
		Leaving:     a.isDraining(),
		Incarnation: a.incarnation,
		AwakeMs:     a.attempts.awake.Total().Milliseconds(),
	}
	for _, count := range queued {
		load.Queued += uint32(count)
		load.Waiting = append(load.Waiting, uint32(count))
	}
	return load
}

func (a *Agent) currentReport() *wire.Report {
	return &wire.Report{Load: a.currentLoad(), Group: a.settings.Agent.Group, Service: a.settings.Agent.Service}
}

// publishLoads publishes the load to the other instances every
// loadPublishInterval until ctx ends.
func (a *Agent) publishLoads(ctx context.Context) {
	ticker := time.NewTicker(loadPublishInterval)
	defer ticker.Stop()
	for {
		a.publishLoad()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) publishLoad() {
	payload, err := proto.Marshal(a.currentReport())
	if err == nil {
		err = a.peering.Node.Publish(membership.KindLoad, payload, loadReportTTL)
	}
	if err != nil {
		a.log.Error().Str("event", "load_unpublished").Str("cause", err.Error()).Msg("")
	}
}
