// Package carobkept holds small answers that are kept for resubmissions.
package carobkept

// MaxBody is the longest body that is kept.
const MaxBody = 4 << 10

// Kept is a whole answer of a target.
type Kept struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Type is the content type.
	Type string `json:"type,omitempty"`
	// Body has at most MaxBody bytes.
	Body []byte `json:"body,omitempty"`
}
