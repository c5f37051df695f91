// Package carobrefusal holds the order to refuse a job.
package carobrefusal

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Refusal orders that a job is refused. The job did not start and never will.
type Refusal struct {
	Job carobjobid.ID
	// Kind says why. Its outcome is NotRun.
	Kind carobkind.Kind
}
