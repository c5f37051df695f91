// Package carobstoreera holds the eras of a store that may be restored from an earlier copy.
package carobstoreera

// Era identifies the time between two restores of a store. A higher one is later. In each, the
// store may have lost writes that it acknowledged in the one before, and gives their offsets out
// again. Offsets of different eras cannot be compared.
type Era uint64

// None stands for no known era: the store has not been heard of, or names none.
const None Era = 0

// FromNumber returns the era that the store calls by a number from 0 on.
func FromNumber(number uint64) Era {
	return Era(number) + 1
}

// Number returns the store's number of an era; -1 for None.
func (e Era) Number() int64 {
	return int64(e) - 1 //nolint:gosec // rises by one at each restore
}
