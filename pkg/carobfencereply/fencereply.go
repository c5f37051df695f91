// Package carobfencereply holds the message that answers a fence.
package carobfencereply

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
)

// FenceReply reports the state of a job to its entry node.
type FenceReply struct {
	Job   carobjobid.ID          `json:"job"`
	State carobjobstate.JobState `json:"state"`
}
