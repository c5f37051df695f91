// Package carobfencereply holds the message that answers a fence.
package carobfencereply

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
)

// FenceReply tells a job's entry node what became of the job.
type FenceReply struct {
	Job   carobjobid.ID          `json:"job"`
	State carobjobstate.JobState `json:"state"`
}
