// Package carobservice names the services that callers ask for.
package carobservice

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Service is the name of a group of targets that answer the same calls. A
// caller names it in the Host header.
type Service string

// Check tells whether the name is a word that may stand in a host name.
func (s Service) Check() error {
	return carobword.Word(s).Check("service")
}

// UnmarshalText decodes a name and checks it.
func (s *Service) UnmarshalText(text []byte) error {
	sv := Service(text)
	if err := sv.Check(); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode service")
	}
	*s = sv
	return nil
}
