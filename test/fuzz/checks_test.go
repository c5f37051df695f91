package fuzz

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobhealthcheck"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

const (
	// checks is how many health checks a second are allowed.
	checks = 40
	// ending is how long a node that stops has left.
	ending = 5 * time.Second
	// lostCheck and slowVM are the shares of checks that have no answer, and of VMs that
	// are slow.
	lostCheck, slowVM = 0.1, 0.3
)

// check asks a target how its VM is. The answer may be lost, which the node notices
// late or never.
func (n *node) check(ck carobhealthcheck.HealthCheck) {
	s := n.s
	tg := s.targetAt(ck.Address)
	hl := carobcheckresult.CheckResult{Target: ck.Target}
	wait := s.jitter(localTime)
	switch {
	case s.chance(lostCheck / 2):
		return
	case tg.down || s.chance(lostCheck):
		wait = s.jitter(retryPause)
	default:
		hl.TargetLoad = &carobtargetload.TargetLoad{Slots: 2, Slowness: 1}
		if s.chance(slowVM) {
			hl.TargetLoad.Slowness = 5
		}
	}
	n.do(wait, func() {
		n.post(func(in *carobinbox.Inbox) { in.CheckResults = append(in.CheckResults, hl) })
	})
}
