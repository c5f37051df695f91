package carobadmitter

import (
	"context"
	"time"

	"github.com/carobknot/carobknot/pkg/carobcheck"
	"github.com/carobknot/carobknot/pkg/carobhealth"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobpressure"
)

const (
	// healthCheckTimeout is the time-out of a health check.
	healthCheckTimeout = 100 * time.Millisecond
	// maxHealthCheckBody is the largest body of a response to a health check that is
	// read, in bytes.
	maxHealthCheckBody = 4096
)

// checkHealth sends a health check to a target and posts the result.
func (a *Admitter) checkHealth(check carobcheck.Check) {
	result := carobhealth.Health{Target: check.Target, Pressure: a.fetchLoad(check)}
	a.config.Mailbox.Post(func(inbox *carobinbox.Inbox) { inbox.Healths = append(inbox.Healths, result) })
}

// fetchLoad returns the load that a target reports in its response to a health check.
// It returns nil if there is no response, and a zero load if the response reports none.
func (a *Admitter) fetchLoad(check carobcheck.Check) *carobpressure.Pressure {
	answer, err := a.requestHealth(context.Background(), check.Address, healthCheckTimeout)
	if err != nil {
		return nil
	}
	if _, pressure := a.config.Dialect.Judge(answer.Response); pressure != nil {
		return pressure
	}
	return &carobpressure.Pressure{}
}
