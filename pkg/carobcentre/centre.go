// Package carobcentre defines the names of data centres.
package carobcentre

import "github.com/carobknot/carobknot/pkg/carobname"

// Centre is the name of a data centre.
type Centre string

// UnmarshalText decodes a name. It returns an Invalid error if the name is
// malformed.
func (c *Centre) UnmarshalText(text []byte) error {
	if err := carobname.Name(text).Check("centre"); err != nil {
		return err
	}
	*c = Centre(text)
	return nil
}
