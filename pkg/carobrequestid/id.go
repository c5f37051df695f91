// Package carobrequestid defines the IDs that callers give their requests.
package carobrequestid

// ID is the request ID that a caller sent, or empty. It is forwarded unchanged and
// logged, and does not affect any decision.
type ID string
