// Package carobconnectionid defines the IDs of open connections.
package carobconnectionid

// ID is the number of a connection that a process has accepted. No number is used twice
// in the lifetime of a process; None is no connection.
type ID uint64

// None is the ID of no connection.
const None ID = 0
