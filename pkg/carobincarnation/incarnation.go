// Package carobincarnation tells the lives of a node apart.
package carobincarnation

// Incarnation is a number that grows each time a node starts. Messages name the
// incarnation that they are meant for, so that a replaced node refuses what was
// sent to its predecessor.
type Incarnation uint64
