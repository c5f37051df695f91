// Package carobconnection holds the row of an open connection.
package carobconnection

import (
	"github.com/carobknot/carobknot/pkg/carobconnectionid"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Connection describes a connection of a caller or a peer, with the memory that it holds.
type Connection struct {
	ID carobconnectionid.ID
	// Held is the number of bytes that are reserved for the connection.
	Held carobsize.Size
	// Receiving is true while a request is received of which the header or the body is
	// incomplete.
	Receiving bool
	// Received is the number of bytes of that request since ProgressAt.
	Received carobsize.Size
	// Pending is the number of complete requests whose calls are under way.
	Pending int
	// Unsent is the number of complete responses that are not sent yet.
	Unsent int
	// BlockedSince is the instant since when the client accepts no bytes of a response; Never if no
	// response is being written.
	BlockedSince carobinstant.Instant
	// BeganAt is when the request that is being received began, or when the connection
	// became idle.
	BeganAt carobinstant.Instant
	// ProgressAt is when the client last made progress with that request.
	ProgressAt carobinstant.Instant
	// WaitingSince is the instant since when the connection waits for memory; Never if it does not.
	WaitingSince carobinstant.Instant
	// Needed is the number of bytes that it waits for.
	Needed carobsize.Size
}
