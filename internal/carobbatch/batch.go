// Package carobbatch holds the control messages that one request carries to a node.
package carobbatch

import "github.com/carobknot/carobknot/pkg/carobmessage"

// Batch is the body of a request between nodes.
type Batch struct {
	// Messages are in the order in which they were sent. The response to the request is
	// empty; replies come as messages in a request of the receiver.
	Messages []carobmessage.Message `json:"messages"`
}
