// Package carobsubscription holds the effect that starts or stops the reading of a log stream.
package carobsubscription

import "github.com/carobknot/carobknot/pkg/carobstream"

// Subscription starts reading a stream from its first retained record, or stops reading it.
type Subscription struct {
	Stream carobstream.Stream
	// Active is true to start reading, and false to stop.
	Active bool
}
