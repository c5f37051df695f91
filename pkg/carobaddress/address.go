// Package carobaddress defines the network addresses that processes listen on.
package carobaddress

import (
	"net/netip"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Address is an IP address and a port, such as "127.0.0.1:7001". Host names are not
// allowed.
type Address string

// Check returns an Invalid error if the address is not an IP address and a port.
func (a Address) Check() error {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		return carobkind.New(carobkind.Invalid, "address %q is not an IP number and a port", string(a))
	}
	return nil
}

// UnmarshalText decodes an address and checks it as Check does.
func (a *Address) UnmarshalText(text []byte) error {
	address := Address(text)
	if err := address.Check(); err != nil {
		return err
	}
	*a = address
	return nil
}
