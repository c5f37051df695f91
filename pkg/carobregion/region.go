// Package carobregion defines the names of regions.
package carobregion

import "github.com/carobknot/carobknot/pkg/carobname"

// Region is the name of a group of data centres. A network partition can separate a
// region from the others.
type Region string

// UnmarshalText decodes a name. It returns an Invalid error if the name is
// malformed.
func (r *Region) UnmarshalText(text []byte) error {
	if err := carobname.Name(text).Check("region"); err != nil {
		return err
	}
	*r = Region(text)
	return nil
}
