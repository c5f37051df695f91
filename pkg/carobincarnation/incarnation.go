// Package carobincarnation defines the number that distinguishes the starts of a
// node.
package carobincarnation

// Incarnation increases each time a node starts. A message contains the incarnation
// of its receiver, so that a restarted node refuses messages that were sent to its
// predecessor.
type Incarnation uint64
