// Package carobevacuationlist holds what the store has about evacuations of data centres.
package carobevacuationlist

import (
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
)

// EvacuationList is the state of all records of evacuations as of a position in the store.
type EvacuationList struct {
	// ReadAt is when the read began that found it.
	ReadAt carobinstant.Instant
	Era    carobstoreera.Era
	// End is the offset after the last record that was taken into account.
	End caroboffset.Offset
	// Active has the data centres whose record was read.
	Active []carobcentre.Centre
	// Removed has those whose record was removed by a record without a value.
	Removed []carobcentre.Centre
	// Unclear has those whose record cannot be read.
	Unclear []carobcentre.Centre
	// Complete is true if a data centre that is not listed has no record. It is false if the
	// store seems to have dropped records of the operator.
	Complete bool
}
