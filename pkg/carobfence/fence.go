// Package carobfence holds the message that fences a job.
package carobfence

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
)

// Fence asks a target's node what became of a job. A job that has not started
// by then is never started. Fencing twice has the same answer or a later one.
type Fence struct {
	Job carobjobid.ID `json:"job"`
	// Incarnation is the life of the target's node that the job was sent to.
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
}
