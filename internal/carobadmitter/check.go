package carobadmitter

import (
	"context"
	"time"

	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobhealthcheck"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

const (
	// checkPatience is how long a target may take to answer a health check.
	checkPatience = 100 * time.Millisecond
	// checkBody is the longest body of such an answer.
	checkBody = 4096
)

// check asks a target how it is, and tells what came of it.
func (a *Admitter) check(ck carobhealthcheck.HealthCheck) {
	hl := carobcheckresult.CheckResult{Target: ck.Target, TargetLoad: a.ask(ck)}
	a.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.CheckResults = append(in.CheckResults, hl) })
}

// ask returns what the target tells of its load, or nil if it does not answer.
func (a *Admitter) ask(ck carobhealthcheck.HealthCheck) *carobtargetload.TargetLoad {
	an, err := a.health(context.Background(), ck.Address, checkPatience)
	if err != nil {
		return nil
	}
	if _, pressure := a.config.Dialect.Judge(an.Response); pressure != nil {
		return pressure
	}
	return &carobtargetload.TargetLoad{}
}
