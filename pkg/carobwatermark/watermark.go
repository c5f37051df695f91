// Package carobwatermark holds the bounds that replace evicted records of jobs, in one row
// for each entry node.
package carobwatermark

import "github.com/carobknot/carobknot/pkg/carobincarnation"

// Watermark bounds the call sequences of an entry node's incarnation whose job records
// were evicted from EndedJobs or Tombstones. No record of a call above the bounds was
// evicted.
type Watermark struct {
	// Incarnation is the newest incarnation of the entry node with evicted records. Jobs
	// of older incarnations count as below the bounds.
	Incarnation carobincarnation.Incarnation
	// EndedSequence is the highest sequence of a call with an evicted record of an ended job. A
	// job up to it may have run although there is no record of it.
	EndedSequence uint64
	// FencedSequence is the highest sequence of a call with an evicted tombstone. Jobs up to it
	// are refused, because any of them may have been fenced.
	FencedSequence uint64
}
