package fuzz

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobhealthcheck"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

const (
	// checksPerSecond is the maximum of health checks per second for each target.
	checksPerSecond = 40
	// shutdownTime is the time from a stop request to the shutdown deadline.
	shutdownTime = 5 * time.Second
	// lostCheckRate is the probability that a health check fails, and slowVMRate the
	// probability that an answer reports a slow VM.
	lostCheckRate, slowVMRate = 0.1, 0.3
)

// runHealthCheck sends a health check to a target. The check may fail, which the node
// learns after a delay or never.
func (n *node) runHealthCheck(check carobhealthcheck.HealthCheck) {
	sim := n.sim
	target := sim.targetAt(check.Address)
	result := carobcheckresult.CheckResult{Target: check.Target, OrderedAt: check.OrderedAt}
	delay := sim.jitter(localDelay)
	switch {
	case sim.chance(lostCheckRate / 2):
		return
	case target.down || sim.chance(lostCheckRate):
		delay = sim.jitter(retryDelay)
	default:
		result.TargetLoad = &carobtargetload.TargetLoad{Slots: 2, Slowness: 1}
		if sim.chance(slowVMRate) {
			result.TargetLoad.Slowness = 5
		}
		if sim.plan.coldTargets {
			result.Available, result.Directive = true, &carobtargetdirective.TargetDirective{WarmupLeft: target.coldLeft()}
		}
	}
	n.after(delay, func() {
		n.enqueue(func(in *carobinbox.Inbox) { in.CheckResults = append(in.CheckResults, result) })
	})
}
