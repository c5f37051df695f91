// Package carobcheck holds the order to ask an own target how its VM is.
package carobcheck

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Check orders a health check.
type Check struct {
	Target  carobtargetid.ID
	Address carobaddress.Address
}
