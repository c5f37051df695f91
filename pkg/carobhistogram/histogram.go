// Package carobhistogram estimates quantiles of recent durations with a
// histogram of exponential buckets.
package carobhistogram

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the number of buckets for each doubling of the
	// duration.
	bucketsPerDoubling = 8
	// doublings is the number of doublings above minDuration that the buckets
	// cover.
	doublings = 20
	// minDuration is the upper bound of the first bucket.
	minDuration = 50 * time.Microsecond
	// halvingWeight is the weight at which all counts are halved, so that older
	// durations lose weight.
	halvingWeight = 1000
)

// Histogram counts durations in buckets that grow by a constant factor, with
// less weight for older ones. The zero value is empty.
type Histogram struct {
	counts [bucketsPerDoubling * doublings]float64
	weight float64
}

// Add counts a duration.
func (h *Histogram) Add(t time.Duration) {
	if h.weight >= halvingWeight {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.weight /= 2
	}
	h.counts[bucketIndex(t)]++
	h.weight++
}

// Weight returns the number of durations, with the older ones counted for less.
func (h *Histogram) Weight() float64 {
	return h.weight
}

// Quantile returns the duration that the given share of the recent ones does not
// exceed, rounded up to the bound of its bucket, or 0 if there are none.
func (h *Histogram) Quantile(share float64) time.Duration {
	if h.weight == 0 {
		return 0
	}
	remaining := share * h.weight
	for i, count := range h.counts {
		remaining -= count
		if remaining <= 0 {
			return upperBound(i)
		}
	}
	return upperBound(len(h.counts) - 1)
}

// bucketIndex returns the bucket of a duration. Durations beyond the last
// bucket are counted in it.
func bucketIndex(t time.Duration) int {
	if t <= minDuration {
		return 0
	}
	index := math.Ceil(bucketsPerDoubling * math.Log2(float64(t)/float64(minDuration)))
	return min(int(index), bucketsPerDoubling*doublings-1)
}

// upperBound returns the longest duration of a bucket.
func upperBound(index int) time.Duration {
	return time.Duration(float64(minDuration) * math.Exp2(float64(index)/bucketsPerDoubling))
}
