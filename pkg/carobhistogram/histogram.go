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
	// doublings is the number of doublings above minTime that the buckets
	// cover.
	doublings = 20
	// minTime is the upper bound of the first bucket.
	minTime = 50 * time.Microsecond
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
func (d *Histogram) Add(t time.Duration) {
	if d.weight >= halvingWeight {
		for i := range d.counts {
			d.counts[i] /= 2
		}
		d.weight /= 2
	}
	d.counts[bucketIndex(t)]++
	d.weight++
}

// Weight returns the number of durations, with the older ones counted for less.
func (d *Histogram) Weight() float64 {
	return d.weight
}

// Quantile returns the duration that the given share of the recent ones does not
// exceed, rounded up to the bound of its bucket, or 0 if there are none.
func (d *Histogram) Quantile(share float64) time.Duration {
	if d.weight == 0 {
		return 0
	}
	remaining := share * d.weight
	for i, count := range d.counts {
		remaining -= count
		if remaining <= 0 {
			return upperBound(i)
		}
	}
	return upperBound(len(d.counts) - 1)
}

// bucketIndex returns the bucket of a duration. Durations beyond the last
// bucket are counted in it.
func bucketIndex(t time.Duration) int {
	if t <= minTime {
		return 0
	}
	index := math.Ceil(bucketsPerDoubling * math.Log2(float64(t)/float64(minTime)))
	return min(int(index), bucketsPerDoubling*doublings-1)
}

// upperBound returns the longest duration of a bucket.
func upperBound(index int) time.Duration {
	return time.Duration(float64(minTime) * math.Exp2(float64(index)/bucketsPerDoubling))
}
