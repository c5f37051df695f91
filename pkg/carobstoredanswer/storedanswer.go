// Package carobstoredanswer defines the answers that are stored for later calls
// with the same idempotency key.
package carobstoredanswer

// MaxBody is the maximum length of a stored body, in bytes.
const MaxBody = 4 << 10

// StoredAnswer is a complete answer of a target.
type StoredAnswer struct {
	// Status is the HTTP status of the answer.
	Status int `json:"status"`
	// Type is the content type; empty if the answer had none.
	Type string `json:"type,omitempty"`
	// Body is the body, of at most MaxBody bytes.
	Body []byte `json:"body,omitempty"`
}
