package core

import (
	"net"
	"strconv"
)

// hostOf returns the host of an address in the form HOST:PORT, or the address where it has another form.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// hostsOf returns the hosts of addresses.
func hostsOf(addresses []string) []string {
	var hosts []string
	for _, address := range addresses {
		hosts = append(hosts, hostOf(address))
	}
	return hosts
}

// peerAddress returns the internal address of the core on another host. All cores use the same port.
func (c *Core) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(c.settings.FirstInternalPort))
}
