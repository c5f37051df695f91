// Package carobcentre names the data centres.
package carobcentre

import "github.com/carobknot/carobknot/pkg/carobword"

// Centre is the name of a data centre.
type Centre string

// UnmarshalText decodes a name and checks it.
func (c *Centre) UnmarshalText(text []byte) error {
	if err := carobword.Word(text).Check("centre"); err != nil {
		return err
	}
	*c = Centre(text)
	return nil
}
