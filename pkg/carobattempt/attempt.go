// Package carobattempt defines the attempts of a call, as its entry node sees them.
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
	// Node is the target's node.
	Node carobnodeid.ID
	// Incarnation is the incarnation of the target's node when the attempt was sent.
	// Another incarnation of the node refuses the attempt.
	Incarnation carobincarnation.Incarnation
	// SentAt is when the attempt was sent.
	SentAt carobinstant.Instant
	// Ended is set once the attempt has ended: it has a reply, or it was withdrawn.
	Ended bool
	// Kind is why the attempt failed; None if it is open or was answered.
	Kind carobkind.Kind
	// State is the job state that the last fence found; Pending before that.
	State carobjobstate.JobState
	// FenceSentAt is when a fence for the attempt was last sent; Never if none was.
	FenceSentAt carobinstant.Instant
}

// NotRun reports whether it is certain that the attempt has not run and never will.
func (a *Attempt) NotRun() bool {
	return a.State == carobjobstate.Never || a.Ended && a.Kind.NotRun()
}
