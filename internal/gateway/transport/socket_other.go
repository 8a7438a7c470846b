//go:build !linux

package transport

import "net"

// hasten leaves a connection as it is where the kernel is not Linux.
func hasten(c net.Conn) net.Conn { return c }
