// Package carobstream names the streams that the system keeps in the log.
package carobstream

// Stream is the name of a stream in the platform's log.
type Stream string

// The streams.
const (
	// Profiles has the changes of profiles.
	Profiles Stream = "profiles"
	// Nodes has a record for each start of a node.
	Nodes Stream = "nodes"
	// Claims has the claims of idempotency keys.
	Claims Stream = "claims"
	// Traces has the hops of calls.
	Traces Stream = "traces"
	// Audit has who changed what.
	Audit Stream = "audit"
)
