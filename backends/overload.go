package backends

import (
	"fmt"
	"time"

	"bluebellwind.example/admission"
)

// Rule names the rule of admission control that refused a request.
type Rule string

const (
	// RuleLoad means that the requests that wait for the slots, whatever their priority,
	// leave no time.
	RuleLoad Rule = "load"
	// RulePriority means that the slots are needed by more urgent requests.
	RulePriority Rule = "priority"
	// RuleShare means that the organisation asks for more than its share.
	RuleShare Rule = "share"
)

// Overload is why admission control refused a request. It is the cause of the refusal.
type Overload struct {
	Rule                      Rule
	ExpectedWait, AllowedWait time.Duration
	// Reserve is the number of slots reserved for more urgent requests.
	Reserve float64
	// Share is the share of the organisation; nil if it was not asked for.
	Share *admission.Share
	// pools describes the load.
	pools string
}

// Error returns the decision and the load that led to it.
func (o *Overload) Error() string {
	share := ""
	if o.Share != nil && o.Share.WaitFactor < 1 {
		share = fmt.Sprintf(", the organisation asks for %.1f/s of at most %.1f/s", o.Share.PerSecond, o.Share.MaxPerSecond)
	}
	return fmt.Sprintf("expected wait %d ms, limit %d ms by %s, reserve %.1f%s: %s",
		o.ExpectedWait.Milliseconds(), o.AllowedWait.Milliseconds(), o.Rule, o.Reserve, share, o.pools)
}

// newOverload returns why a request was refused with a decision.
func newOverload(r *PickRequest, d *decision, onTime, late *pool) *Overload {
	o := &Overload{Rule: RuleLoad, ExpectedWait: d.expectedWait, AllowedWait: d.maxWait, Reserve: d.reserve, Share: r.share}
	p := onTime
	if d.latePool {
		p = late
	}
	unshared := *r
	unshared.share = nil
	switch {
	case d.expectedWait <= unshared.maxWait(d.latePool):
		o.Rule = RuleShare
	case p.estimateWait(r, &admission.Demand{}).Wait <= d.maxWait:
		o.Rule = RulePriority
	}
	o.pools = fmt.Sprintf("%d and %d run and wait for %d slots with passes of %d ms, and %d for %d slots with passes of %d ms in late groups",
		onTime.running, onTime.waiting, onTime.slots, onTime.passTime.Milliseconds(),
		late.running+late.waiting, late.slots, late.passTime.Milliseconds())
	return o
}
