// Package carobtargetid defines the IDs of targets.
package carobtargetid

import (
	"strings"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

// ID identifies a target by its service and its name within the service.
type ID struct {
	Service carobservice.Service
	// Name is unique within the service.
	Name carobname.Name
}

// String returns the ID as "service/name".
func (i ID) String() string {
	return string(i.Service) + "/" + string(i.Name)
}

// MarshalText encodes the ID as "service/name".
func (i ID) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText decodes "service/name". It returns an Invalid error if the slash is
// missing or a part is malformed.
func (i *ID) UnmarshalText(text []byte) error {
	service, name, ok := strings.Cut(string(text), "/")
	if !ok {
		return carobkind.New(carobkind.Invalid, "target %q is not of the form service/name", text)
	}
	id := ID{Service: carobservice.Service(service), Name: carobname.Name(name)}
	if err := id.Service.Check(); err != nil {
		return err
	}
	if err := id.Name.Check("target"); err != nil {
		return err
	}
	*i = id
	return nil
}
