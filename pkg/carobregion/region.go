// Package carobregion names the regions.
package carobregion

import "github.com/carobknot/carobknot/pkg/carobword"

// Region is the name of a group of data centres that can lose touch with the
// other groups.
type Region string

// UnmarshalText decodes a name and checks it.
func (r *Region) UnmarshalText(text []byte) error {
	if err := carobword.Word(text).Check("region"); err != nil {
		return err
	}
	*r = Region(text)
	return nil
}
