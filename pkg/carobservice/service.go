// Package carobservice defines the names of services.
package carobservice

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
)

// Service is the name of a group of targets that answer the same calls. Callers send
// it in the Host header.
type Service string

// Check returns an Invalid error if the name is malformed. Each name can be used as
// a host name.
func (s Service) Check() error {
	return carobname.Name(s).Check("service")
}

// UnmarshalText decodes a name and checks it as Check does.
func (s *Service) UnmarshalText(text []byte) error {
	service := Service(text)
	if err := service.Check(); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode service")
	}
	*s = service
	return nil
}
