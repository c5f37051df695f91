// Package carobdistribution keeps the distribution of recent times.
package carobdistribution

import (
	"math"
	"time"
)

const (
	// steps is the number of buckets for each doubling.
	steps = 8
	// doublings above the shortest time that is told apart.
	doublings = 20
	shortest  = 50 * time.Microsecond
	// forget is the weight at which all that was seen counts for half from then on.
	forget = 1000
)

// Distribution counts times in buckets that grow by a constant factor. Older
// times count for less. The zero value has seen nothing.
type Distribution struct {
	counts [steps * doublings]float64
	total  float64
}

// Add takes in a time.
func (d *Distribution) Add(t time.Duration) {
	if d.total >= forget {
		for i := range d.counts {
			d.counts[i] /= 2
		}
		d.total /= 2
	}
	d.counts[bucket(t)]++
	d.total++
}

// Weight returns how many recent times there are.
func (d *Distribution) Weight() float64 {
	return d.total
}

// Quantile returns the time that a share of the recent ones do not exceed, or 0
// if there are none.
func (d *Distribution) Quantile(share float64) time.Duration {
	if d.total == 0 {
		return 0
	}
	left := share * d.total
	for i, count := range d.counts {
		left -= count
		if left <= 0 {
			return upper(i)
		}
	}
	return upper(len(d.counts) - 1)
}

func bucket(t time.Duration) int {
	if t <= shortest {
		return 0
	}
	place := math.Ceil(steps * math.Log2(float64(t)/float64(shortest)))
	return min(int(place), steps*doublings-1)
}

// upper returns the longest time of a bucket.
func upper(place int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(place)/steps))
}
