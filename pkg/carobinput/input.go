// Package carobinput holds what a decision went by.
package carobinput

// Input is one figure that a decision went by.
type Input struct {
	// Name is a short word; lengths of time end in "ms".
	Name  string
	Value float64
}
