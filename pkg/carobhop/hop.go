// Package carobhop holds the trace records of calls.
package carobhop

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobspan"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Hop is what one node saw of one call. The entry and the target's node each
// keep theirs, so that a node that is killed loses no call's trace.
type Hop struct {
	Node carobnodeid.ID `json:"node"`
	// Role is "entry" or "target".
	Role    string           `json:"role"`
	Call    carobcallid.ID   `json:"call"`
	Attempt int              `json:"attempt"`
	Target  carobtargetid.ID `json:"target,omitzero"`
	// Trace is the trace context, as W3C writes it.
	Trace string `json:"trace,omitempty"`
	// Parent is the span that the hop came from; empty if the trace began here.
	Parent string `json:"parent,omitempty"`
	// Start is when the node took the call or job in, on its own clock.
	Start time.Time `json:"start"`
	// Took is the time until it was over.
	Took carobspan.Span `json:"took"`
	Kind carobkind.Kind `json:"kind,omitempty"`
}
