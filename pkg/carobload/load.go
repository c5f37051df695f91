// Package carobload holds an entry node's record of the load of a target.
package carobload

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobreport"
)

// Load is the load and health of one target as one node sees it.
type Load struct {
	// Report is the newest report. It is already out of date by the network
	// delay when it is received.
	Report carobreport.Report
	// ReportedAt is when Report was received; Never before the first.
	ReportedAt carobinstant.Instant
	// LastCandidateAt is when the target was last a candidate for a call; Never if it
	// was not.
	LastCandidateAt carobinstant.Instant
	// ProbedAt is when the last probe was sent; Never if none was.
	ProbedAt carobinstant.Instant
	// SentSinceReport counts the attempts that this node sent since Report was received,
	// less those that got a reply without a report; at least 0.
	SentSinceReport int
	// OpenAttempts counts the attempts of this node that have no reply yet; at least 0.
	OpenAttempts int
	// LastSendNumber is the number of the newest attempt sent to the target, counted over
	// all targets.
	LastSendNumber uint64
	// Latency is the estimated time from sending to the reply, network included.
	Latency time.Duration
	// Successes and Failures decay with time; together they give the error rate.
	Successes, Failures float64
	// ConsecutiveFailures counts the failures since the last success.
	ConsecutiveFailures int
	// DecayedAt is the time up to which the decay of Successes and Failures is
	// applied.
	DecayedAt carobinstant.Instant
	// EjectionEnd is when the ejection of the target expires; Never if it is not
	// ejected.
	EjectionEnd carobinstant.Instant
	// OnTrial is true if the ejection has expired, and the target receives one
	// call at a time until a reply decides whether it is ejected again.
	OnTrial bool
}
