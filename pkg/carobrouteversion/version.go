// Package carobrouteversion orders the route tables of an operator.
package carobrouteversion

// Version is that of a route table. The higher one is newer; steps are uneven.
// None is before all.
type Version uint64

// None is the version of no table.
const None Version = 0
