package carobrouting

import (
	"math"
	"time"
)

// latencyDecay is the time constant of the exponential decay of a latency
// towards the lowest latency of all candidates. The latency of a target that
// receives no calls does not change, so without the decay a target that was
// slow once would never be picked again.
const latencyDecay = 1500 * time.Millisecond

// estimateLoads sets inFlight of all candidates, and lowers high latencies that
// are old.
//
// A report of the calls in flight is out of date once those calls have ended,
// so its weight decays with the target's own latency as time constant. The rest
// of the estimate is the mean of all reports, plus this node's open attempts at
// the target less their mean. If all nodes relied on the same old report, they
// would all send to the target that was the least loaded then and overload it;
// their own open attempts differ from node to node and do not have this effect.
func estimateLoads(candidates []candidate) {
	var meanReported, meanOpen float64
	lowest := lowestLatency(candidates)
	for i := range candidates {
		cd := &candidates[i]
		meanReported += cd.reportedCalls / float64(len(candidates))
		meanOpen += float64(cd.load.OpenAttempts) / float64(len(candidates))
	}
	for i := range candidates {
		cd := &candidates[i]
		reportWeight := 0.0
		if cd.latency > 0 {
			reportWeight = math.Exp(-float64(cd.reportAge) / float64(cd.latency))
		}
		fallback := meanReported + float64(cd.load.OpenAttempts) - meanOpen
		cd.inFlight = max(0, reportWeight*cd.reportedCalls+(1-reportWeight)*fallback)
		if cd.latency > lowest {
			cd.latency = lowest + time.Duration(float64(cd.latency-lowest)*math.Exp(-float64(cd.latencyAge)/float64(latencyDecay)))
		}
	}
}

// lowestLatency returns the lowest latency of the candidates whose latency is
// known, or math.MaxInt64 if none is.
func lowestLatency(candidates []candidate) time.Duration {
	lowest := time.Duration(math.MaxInt64)
	for i := range candidates {
		if cd := &candidates[i]; cd.latency > 0 {
			lowest = min(lowest, cd.latency)
		}
	}
	return lowest
}
