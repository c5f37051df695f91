// Package carobaddress holds the addresses that processes listen at.
package carobaddress

import (
	"net/netip"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Address is an IP number and a port, "127.0.0.1:7001".
type Address string

// Check tells whether the address is an IP number and a port.
func (a Address) Check() error {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		return carobkind.New(carobkind.Invalid, "address %q is not an IP number and a port", string(a))
	}
	return nil
}

// UnmarshalText decodes an address and checks it.
func (a *Address) UnmarshalText(text []byte) error {
	ad := Address(text)
	if err := ad.Check(); err != nil {
		return err
	}
	*a = ad
	return nil
}
