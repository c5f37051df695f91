// Package carobverdict holds the message that answers a fence.
package carobverdict

import (
	"github.com/carobknot/carobknot/pkg/carobfate"
	"github.com/carobknot/carobknot/pkg/carobjobid"
)

// Verdict tells a job's entry node what became of the job.
type Verdict struct {
	Job  carobjobid.ID  `json:"job"`
	Fate carobfate.Fate `json:"fate"`
}
