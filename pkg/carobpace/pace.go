// Package carobpace holds the rows of how fast services answer.
package carobpace

import "github.com/carobknot/carobknot/pkg/carobdistribution"

// Pace is how fast the targets of one service answer, as this node sees it.
type Pace struct {
	// Latency is that of attempts, from their sending to the head of the answer.
	// An attempt that was given up counts with the time until then.
	Latency carobdistribution.Distribution
}
