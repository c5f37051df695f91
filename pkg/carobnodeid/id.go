// Package carobnodeid defines the IDs of nodes.
package carobnodeid

import "github.com/carobknot/carobknot/pkg/carobname"

// ID is the name of a node, from its settings. It is stable over restarts: a node
// that restarts has the same ID and a higher incarnation.
type ID string

// Check returns an Invalid error if the name is malformed.
func (i ID) Check() error {
	return carobname.Name(i).Check("node")
}

// UnmarshalText decodes a name and checks it as Check does.
func (i *ID) UnmarshalText(text []byte) error {
	id := ID(text)
	if err := id.Check(); err != nil {
		return err
	}
	*i = id
	return nil
}
