// Package carobnodeid names the nodes.
package carobnodeid

import "github.com/carobknot/carobknot/pkg/carobword"

// ID is the name of a node, from its settings. It outlives the process: a node
// that starts again under its name has the same ID and a higher incarnation.
type ID string

// Check tells whether the name is a word.
func (i ID) Check() error {
	return carobword.Word(i).Check("node")
}

// UnmarshalText decodes a name and checks it.
func (i *ID) UnmarshalText(text []byte) error {
	id := ID(text)
	if err := id.Check(); err != nil {
		return err
	}
	*i = id
	return nil
}
