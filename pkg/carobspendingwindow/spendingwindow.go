// Package carobspendingwindow limits what is spent within each second.
//
// A token bucket limits the mean over time. Amounts that differ let it exceed the rate
// within one second by their difference, which a hard limit does not allow.
package carobspendingwindow

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Length is the length of the window.
const Length = time.Second

// SpendingWindow has what was spent within the last Length. The zero value holds nothing.
type SpendingWindow struct {
	// spent is in the order of time, and has no entry older than Length at the last call.
	spent []expense
	// sum is the total of spent.
	sum float64
}

// expense is an amount that was spent at an instant.
type expense struct {
	at     carobinstant.Instant
	amount float64
}

// Fits reports whether an amount can be spent now so that no window of Length, however
// placed, has more than limit.
func (w *SpendingWindow) Fits(now carobinstant.Instant, amount, limit float64) bool {
	w.expire(now)
	return w.sum+amount <= limit
}

// FitsAt returns the earliest instant, not before now, at which an amount can be spent as by
// Fits if nothing else is spent before. The amount must be at most limit.
func (w *SpendingWindow) FitsAt(now carobinstant.Instant, amount, limit float64) carobinstant.Instant {
	w.expire(now)
	sum := w.sum
	for i := range w.spent {
		if sum+amount <= limit {
			break
		}
		sum -= w.spent[i].amount
		now = w.spent[i].at.Add(Length + 1)
	}
	return now
}

// Add records that an amount is spent now.
func (w *SpendingWindow) Add(now carobinstant.Instant, amount float64) {
	w.expire(now)
	w.spent = append(w.spent, expense{now, amount})
	w.sum += amount
}

// expire removes the expenses that are older than the window.
func (w *SpendingWindow) expire(now carobinstant.Instant) {
	old := 0
	for old < len(w.spent) && now.Sub(w.spent[old].at) > Length {
		w.sum -= w.spent[old].amount
		old++
	}
	w.spent = append(w.spent[:0], w.spent[old:]...)
	if len(w.spent) == 0 {
		w.sum = 0
	}
}
