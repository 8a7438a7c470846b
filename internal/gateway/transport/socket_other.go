//go:build !linux

package transport

import "net"

// bypassScheduler leaves a connection as it is where the kernel is not Linux.
func bypassScheduler(c net.Conn) net.Conn { return c }
