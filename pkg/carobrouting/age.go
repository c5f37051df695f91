package carobrouting

import (
	"math"
	"time"
)

// slownessMemory is the time after which an old report of high latency counts
// for less by a factor of e. A target that gets no calls reports nothing new:
// without an end to its bad name, one that was slow once would stay out for good.
const slownessMemory = 1500 * time.Millisecond

// age makes estimates of reports.
//
// A report of the calls in flight is out of date as soon as those calls have
// ended and others have come, so it ages at the pace of the target's latency.
// What takes its place is the mean of all targets, set right by how the own
// attempts are spread. Nodes that all trust the same old report crowd the target
// that was the least busy; nodes that trust their own attempts do not.
func age(candidates []candidate) {
	var flight, open float64
	lowest := lowestLatency(candidates)
	for i := range candidates {
		cd := &candidates[i]
		flight += cd.reported / float64(len(candidates))
		open += float64(cd.load.Open) / float64(len(candidates))
	}
	for i := range candidates {
		cd := &candidates[i]
		fresh := 0.0
		if cd.latency > 0 {
			fresh = math.Exp(-float64(cd.age) / float64(cd.latency))
		}
		guess := flight + float64(cd.load.Open) - open
		cd.flight = max(0, fresh*cd.reported+(1-fresh)*guess)
		if cd.latency > lowest {
			cd.latency = lowest + time.Duration(float64(cd.latency-lowest)*math.Exp(-float64(cd.age)/float64(slownessMemory)))
		}
	}
}

// lowestLatency returns the lowest that is known.
func lowestLatency(candidates []candidate) time.Duration {
	lowest := time.Duration(math.MaxInt64)
	for i := range candidates {
		if cd := &candidates[i]; cd.latency > 0 {
			lowest = min(lowest, cd.latency)
		}
	}
	return lowest
}
