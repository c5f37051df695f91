// Package carobcapacity defines the processor capacity of a node.
package carobcapacity

import (
	"math"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Capacity is the processor time that a node may use, in thousandths of a core; 0 if it is not
// known.
type Capacity int

// Max is the largest capacity, a thousand cores.
const Max Capacity = 1_000_000

// OfCores returns the capacity of a number of cores.
func OfCores(cores int) Capacity {
	const perCore = 1000
	return min(Max, Capacity(cores)*perCore)
}

// OfShare returns the capacity of a share of each of a number of cores.
func OfShare(share, cores float64) Capacity {
	const perCore = 1000
	return Capacity(max(0, min(float64(Max), math.Round(share*cores*perCore))))
}

// Check returns an error of kind Invalid if the capacity is out of bounds.
func (c Capacity) Check() error {
	if c < 0 || c > Max {
		return carobkind.New(carobkind.Invalid, "capacity: %d is not between 0 and %d", int(c), int(Max))
	}
	return nil
}
