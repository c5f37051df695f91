// Package carobinput holds the values that decisions are based on.
package carobinput

// Input is one value that a decision was based on.
type Input struct {
	// Name is a short word; names of durations end in "ms".
	Name  string
	Value float64
}
