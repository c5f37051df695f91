// Package carobjudgment holds the message that answers a fence.
package carobjudgment

import (
	"github.com/carobknot/carobknot/pkg/carobfate"
	"github.com/carobknot/carobknot/pkg/carobjobid"
)

// Judgment tells a job's entry node what became of the job.
type Judgment struct {
	Job  carobjobid.ID  `json:"job"`
	Fate carobfate.Fate `json:"fate"`
}
