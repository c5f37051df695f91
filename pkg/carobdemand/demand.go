// Package carobdemand counts the calls of an organisation or a route and how many of them were
// served, over about the last ten seconds.
package carobdemand

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Demand counts calls and served calls. Both decay with time, so that they stand for about the
// last ten seconds.
type Demand struct {
	Calls, Served float64
	// DecayedAt is the time up to which the decay is applied.
	DecayedAt carobinstant.Instant
}

const (
	// timeConstant is the time in which a count falls by a factor of e.
	timeConstant = 10 * time.Second
	// evidence is the number of calls with the overall share that are added to each count,
	// so that one or two refused calls do not show that an organisation is behind. An
	// entry has few calls of most organisations.
	evidence = 2
	// behindShare is the part of the overall share below which an organisation is far behind.
	// What callers are promised is half of that, so that there is time to catch up.
	behindShare = 0.5
	// negligible is the count below which a row may be removed.
	negligible = 0.05
)

// Add counts a call that has ended.
func (d *Demand) Add(now carobinstant.Instant, served bool) {
	d.decay(now)
	d.Calls++
	if served {
		d.Served++
	}
}

// Recent returns the number of calls, as of now.
func (d *Demand) Recent(now carobinstant.Instant) float64 {
	d.decay(now)
	return d.Calls
}

// Share returns the share of calls served, of 1 if there were none.
func (d *Demand) Share() float64 {
	if d.Calls == 0 {
		return 1
	}
	return d.Served / d.Calls
}

// IsBehind reports whether the share of calls served is far below the overall share.
func (d *Demand) IsBehind(now carobinstant.Instant, overall float64) bool {
	d.decay(now)
	return (d.Served+evidence*overall)/(d.Calls+evidence) < behindShare*overall
}

// Negligible reports whether so few calls are left that the row may be removed.
func (d *Demand) Negligible(now carobinstant.Instant) bool {
	d.decay(now)
	return d.Calls < negligible
}

func (d *Demand) decay(now carobinstant.Instant) {
	if d.DecayedAt != carobinstant.Never && now > d.DecayedAt {
		factor := math.Exp(-float64(now.Sub(d.DecayedAt)) / float64(timeConstant))
		d.Calls, d.Served = d.Calls*factor, d.Served*factor
	}
	d.DecayedAt = now
}
