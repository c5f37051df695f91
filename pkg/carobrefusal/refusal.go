// Package carobrefusal holds the effect that refuses a job.
package carobrefusal

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Refusal orders the traffic goroutines to refuse a job. The job has not started and never
// will.
type Refusal struct {
	Job carobjobid.ID
	// Kind is the reason of the refusal. Its outcome is NotRun.
	Kind carobkind.Kind
}
