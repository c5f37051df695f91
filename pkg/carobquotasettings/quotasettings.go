// Package carobquotasettings defines the settings of the quotas of organisations.
package carobquotasettings

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// QuotaSettings bounds by how much the calls of an organisation may exceed its quota. In any
// window, over all nodes, they number at most (rate x window + burst) x (1 + overage) + slack.
// The zero value stands for the defaults.
type QuotaSettings struct {
	// Window is the length of the windows in which calls are counted.
	Window carobduration.Duration `json:"window"`
	// Overage is the share of the quota of a window by which it may be exceeded.
	Overage float64 `json:"overage"`
	// Slack is the number of calls beyond that.
	Slack float64 `json:"slack"`
}

// NewQuotaSettings returns the default settings.
func NewQuotaSettings() QuotaSettings {
	return QuotaSettings{Window: carobduration.Duration(5 * time.Second), Overage: 0.1, Slack: 20}
}

// allocatedSlack is the share of the slack that allocators may use. The rest is for tokens that
// are still with nodes when an allocator loses the leases that these tokens came from.
const allocatedSlack = 0.5

// MaxTokens returns how many tokens of an organisation may exist at once, at nodes and in
// buckets. Together with the tokens that are added in a window, they do not exceed MaxCalls.
func (q QuotaSettings) MaxTokens(rate carobcallrate.CallRate, burst float64) float64 {
	return burst + q.Overage*(float64(rate)*q.Window.Duration().Seconds()+burst) + allocatedSlack*q.Slack
}

// MaxCalls returns how many calls of an organisation may start in a window.
func (q QuotaSettings) MaxCalls(rate carobcallrate.CallRate, burst float64) float64 {
	return (float64(rate)*q.Window.Duration().Seconds()+burst)*(1+q.Overage) + q.Slack
}

// Check returns an error of kind Invalid if a setting is out of bounds.
func (q QuotaSettings) Check() error {
	if q.Window <= 0 {
		return carobkind.New(carobkind.Invalid, "quota.window: must be above 0")
	}
	if !isQuantity(q.Overage) || !isQuantity(q.Slack) {
		return carobkind.New(carobkind.Invalid, "quota: overage and slack must be numbers of at least 0")
	}
	return nil
}

func isQuantity(number float64) bool {
	return number >= 0 && !math.IsInf(number, 0)
}
