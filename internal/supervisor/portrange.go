package supervisor

import (
	"fmt"
	"net/netip"
)

// portCount is the number of ports of an address.
const portCount = 1 << 16

// portRange is a range of addresses with consecutive ports; key is the key of fleet.toml that sets it.
type portRange struct {
	key   string
	first netip.AddrPort
	count int
}

// reservePortRange returns the range of count ports that starts at first (HOST:PORT), and adds it to the
// reserved ranges. A range that overlaps a reserved one is an error.
func reservePortRange(key, first string, count int, reserved *[]portRange) (portRange, error) {
	address, err := netip.ParseAddrPort(first)
	if err != nil {
		return portRange{}, fmt.Errorf("%s: %w", key, err)
	}
	port := int(address.Port())
	if port == 0 || port+count > portCount {
		return portRange{}, fmt.Errorf("%s: the range of %d ports from %d on is invalid", key, count, port)
	}
	for _, other := range *reserved {
		otherPort := int(other.first.Port())
		overlap := max(otherPort, port) // the first common port, if there is one
		if other.first.Addr() == address.Addr() && overlap < min(otherPort+other.count, port+count) {
			return portRange{}, fmt.Errorf("%s: %s is already reserved by %s", key,
				netip.AddrPortFrom(address.Addr(), uint16(overlap)), other.key)
		}
	}
	r := portRange{key, address, count}
	*reserved = append(*reserved, r)
	return r, nil
}

// address returns the i-th address, HOST:PORT.
func (r portRange) address(i int) string {
	return netip.AddrPortFrom(r.first.Addr(), r.first.Port()+uint16(i)).String()
}
