// Package carobrouteversion holds the versions of an operator's route table.
package carobrouteversion

// Version is the version of a route table. The higher one is newer; versions need not be
// consecutive. None is lower than all others.
type Version uint64

// None is the version that stands for no table.
const None Version = 0
