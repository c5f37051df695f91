// Package carobstream holds the names of the log streams that the system uses.
package carobstream

// Stream is the name of a stream in the platform's log.
type Stream string

// The streams.
const (
	// Profiles holds the changes of profiles.
	Profiles Stream = "profiles"
	// Nodes holds a record for each start of a node.
	Nodes Stream = "nodes"
	// Claims holds the claims of idempotency keys.
	Claims Stream = "claims"
	// Traces holds the hops of calls.
	Traces Stream = "traces"
	// Audit holds the audit records of changes.
	Audit Stream = "audit"
)
