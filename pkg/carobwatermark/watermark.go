// Package carobwatermark holds the rows that stand in for what a target's node
// has forgotten about the jobs of an entry node.
package carobwatermark

import "github.com/carobknot/carobknot/pkg/carobincarnation"

// Watermark bounds the call sequences of one incarnation of an entry node whose
// jobs were forgotten. Calls above the bounds were not.
type Watermark struct {
	// Incarnation is the newest one of the entry node that jobs were forgotten
	// of. Nothing is known of jobs of older ones.
	Incarnation carobincarnation.Incarnation
	// Ended is the highest sequence of a call with a forgotten ended job; a
	// fence of a job up to it may find nothing though the job has run.
	Ended uint64
	// Fenced is the highest sequence of a call with a forgotten tombstone; jobs
	// up to it are refused, since one of them was promised never to run.
	Fenced uint64
}
