// Package carobtargetid names the targets.
package carobtargetid

import (
	"strings"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// ID names a target: its service, and its name within the service.
type ID struct {
	// Service is the service that the target serves.
	Service carobservice.Service
	// Name is unique within the service.
	Name carobword.Word
}

// String writes the ID as "service/name".
func (i ID) String() string {
	return string(i.Service) + "/" + string(i.Name)
}

// MarshalText writes the ID as "service/name".
func (i ID) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText reads "service/name" and checks both.
func (i *ID) UnmarshalText(text []byte) error {
	service, name, ok := strings.Cut(string(text), "/")
	if !ok {
		return carobkind.New(carobkind.Invalid, "target %q is not of the form service/name", text)
	}
	id := ID{Service: carobservice.Service(service), Name: carobword.Word(name)}
	if err := id.Service.Check(); err != nil {
		return err
	}
	if err := id.Name.Check("target"); err != nil {
		return err
	}
	*i = id
	return nil
}
