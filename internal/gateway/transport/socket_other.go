//go:build !linux

package transport

import "net"

// bypassScheduler leaves a connection as it is on kernels other than Linux.
func bypassScheduler(conn net.Conn) net.Conn { return conn }
