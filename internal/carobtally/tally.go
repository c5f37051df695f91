// Package carobtally counts what the callers of one kind and organisation get.
package carobtally

import "time"

// Tally counts requests by how they end for their callers.
type Tally struct {
	// InSLO counts the requests that are answered within the SLO, and Late those that are
	// answered later. Answers with an error of the target are not counted as answers.
	InSLO, Late int
	// RefusedAtOnce counts the requests that end without an answer within an eighth of the SLO
	// after the newest call, and RefusedLate all others without an answer.
	RefusedAtOnce, RefusedLate int
}

// onceDivisor is the part of the SLO, as a divisor, within which a refusal counts as at once.
// Entries let a call wait for that long.
const onceDivisor = 8

// Add counts a request. total is the time since the request began, and last the time since its
// newest call.
func (t *Tally) Add(total, last, slo time.Duration, answered bool) {
	switch {
	case answered && total <= slo:
		t.InSLO++
	case answered:
		t.Late++
	case last <= slo/onceDivisor+slo/10:
		t.RefusedAtOnce++
	default:
		t.RefusedLate++
	}
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(other Tally) Tally {
	return Tally{
		InSLO: t.InSLO + other.InSLO, Late: t.Late + other.Late,
		RefusedAtOnce: t.RefusedAtOnce + other.RefusedAtOnce, RefusedLate: t.RefusedLate + other.RefusedLate,
	}
}

// Requests returns the number of requests.
func (t Tally) Requests() int {
	return t.InSLO + t.Late + t.RefusedAtOnce + t.RefusedLate
}

// ServedShare returns the share of requests that were answered within the SLO; 1 without requests.
func (t Tally) ServedShare() float64 {
	if t.Requests() == 0 {
		return 1
	}
	return float64(t.InSLO) / float64(t.Requests())
}
