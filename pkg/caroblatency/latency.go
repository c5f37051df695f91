// Package caroblatency holds the recent latencies of a service.
package caroblatency

import "github.com/carobknot/carobknot/pkg/carobhistogram"

// Latency holds how fast the targets of one service answer this node.
type Latency struct {
	// Histogram counts the latencies of the attempts, from sending to the head
	// of the response. A cancelled attempt counts with the time until it was
	// cancelled.
	Histogram carobhistogram.Histogram
}
