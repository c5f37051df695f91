package carobadmitter

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobhealthcheck"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

const (
	// healthCheckTimeout is the time-out of a health check.
	healthCheckTimeout = 100 * time.Millisecond
	// maxHealthCheckBody is the largest body of a response to a health check that is
	// read, in bytes.
	maxHealthCheckBody = 4096
)

// checkHealth sends a health check to a target and posts the result.
func (a *Admitter) checkHealth(check carobhealthcheck.HealthCheck) {
	result := a.fetchLoad(check)
	a.config.Mailbox.Post(func(inbox *carobinbox.Inbox) { inbox.CheckResults = append(inbox.CheckResults, result) })
}

// fetchLoad returns the result of a health check. Its load is nil if there is no response,
// and zero if the response reports none.
func (a *Admitter) fetchLoad(check carobhealthcheck.HealthCheck) carobcheckresult.CheckResult {
	result := carobcheckresult.CheckResult{Target: check.Target, OrderedAt: check.OrderedAt}
	answer, err := a.requestHealth(context.Background(), check.Address, healthCheckTimeout)
	if err != nil {
		return result
	}
	name, _ := a.config.Dialect.ParseIdentity(answer.Response)
	result.Available = answer.Response.StatusCode() == fasthttp.StatusOK && name == check.Target.Name
	result.Directive = a.config.Dialect.ParseDirective(answer.Response)
	if _, result.TargetLoad = a.config.Dialect.Classify(answer.Response); result.TargetLoad == nil {
		result.TargetLoad = &carobtargetload.TargetLoad{}
	}
	return result
}
