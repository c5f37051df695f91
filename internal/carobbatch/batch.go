// Package carobbatch holds the control messages that go to one node together.
package carobbatch

import "github.com/carobknot/carobknot/pkg/carobmessage"

// Batch is what one request between nodes carries.
type Batch struct {
	// Messages are in the order in which they were sent. None gets an answer
	// in the same request.
	Messages []carobmessage.Message `json:"messages"`
}
