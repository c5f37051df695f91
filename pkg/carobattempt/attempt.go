// Package carobattempt holds the attempts that an entry node makes at a call.
package carobattempt

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Attempt is one sending of a call to a target's node.
type Attempt struct {
	Target carobtargetid.ID
	Node   carobnodeid.ID
	// Incarnation is the one that the attempt is meant for.
	Incarnation carobincarnation.Incarnation
	// Sent is when the attempt was sent.
	Sent carobinstant.Instant
	// Over says that the attempt has its reply.
	Over bool
	// Kind is how the attempt ended; None for an answer.
	Kind carobkind.Kind
	// State is what the target's node last told of the attempt.
	State carobjobstate.JobState
	// Asked is when the target's node was last asked; Never if it was not.
	Asked carobinstant.Instant
}

// NotRun reports whether the attempt has certainly not run and never will.
func (a *Attempt) NotRun() bool {
	return a.State == carobjobstate.Never || a.Over && a.Kind.NotRun()
}
