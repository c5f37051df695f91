// Package caroborganisation holds the organisations whose calls a route table admits.
package caroborganisation

import (
	"math"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
)

// Organisation is one organisation, as the operator published it.
type Organisation struct {
	ID caroborganisationid.ID `json:"name"`
	// Keys are the digests of the API keys that identify the organisation's calls. No two
	// organisations of a table share a key. An organisation without keys can make no calls.
	Keys []carobkeydigest.Digest `json:"keys,omitempty"`
	// Priority precedes the priority of routes; 0 is the highest.
	Priority int `json:"rank"`
	// Rate is the quota in calls a second, over all nodes together; 0 if there is none.
	Rate carobcallrate.CallRate `json:"rate,omitempty"`
	// Burst is how many calls beyond Rate may accumulate, at least 0.
	Burst float64 `json:"burst,omitempty"`
}

// Limited reports whether the organisation has a quota.
func (o *Organisation) Limited() bool {
	return o.Rate > 0
}

// Check returns an error of kind Invalid if a field is out of bounds.
func (o *Organisation) Check() error {
	if err := o.ID.Check(); err != nil {
		return err
	}
	if !isQuantity(float64(o.Rate)) {
		return carobkind.New(carobkind.Invalid, "organisation %s: rate: %g is not a number of at least 0", o.ID, float64(o.Rate))
	}
	if !isQuantity(o.Burst) {
		return carobkind.New(carobkind.Invalid, "organisation %s: burst: %g is not a number of at least 0", o.ID, o.Burst)
	}
	return nil
}

func isQuantity(number float64) bool {
	return number >= 0 && !math.IsInf(number, 0)
}
