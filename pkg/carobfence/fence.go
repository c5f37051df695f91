// Package carobfence holds the message that fences a job.
package carobfence

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
)

// Fence requests the state of a job from its target's node. A job that has not started
// when the fence arrives is never started. A repeated fence gets the same state or a
// later one.
type Fence struct {
	// Job is the job to fence.
	Job carobjobid.ID `json:"job"`
	// Incarnation is the incarnation of the target's node that the job was sent to.
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
}
