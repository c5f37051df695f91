// Package carobpage holds what a read of the platform's log gives.
package carobpage

import (
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
)

// Page is the records of a stream from an offset on.
type Page struct {
	// Records are in the order of their offsets, without gaps.
	Records []carobrecord.Record `json:"records"`
	// First is the first offset that the log still keeps.
	First caroboffset.Offset `json:"first"`
	// Next is the offset after the last of Records, or the one asked for, or
	// First if that is later.
	Next caroboffset.Offset `json:"next"`
}
