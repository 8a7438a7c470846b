package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// ephemeralRangeFile holds the first and the last port of the system's ephemeral range, as text.
const ephemeralRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

var listenTCP = net.Listen // replaced in tests

// maxListenAttempts bounds the ports at which Open tries to listen.
const maxListenAttempts = 5

// ErrNoFreePorts is returned where no run of ports of the requested length is free.
var ErrNoFreePorts = errors.New("no run of ports is free")

// processPool is this process's pool. It claims blocks by datagram sockets at a loopback host where nothing
// else is bound, so no port of the pool's own host is lost to them.
var processPool = sync.OnceValues(func() (*pool, error) {
	text, err := os.ReadFile(ephemeralRangeFile)
	if err != nil {
		return nil, err
	}
	blocks, err := blocksOutside(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", ephemeralRangeFile, err)
	}
	return newPool("127.0.0.1", "127.87.68.1", blocks), nil
})

// Take allocates n consecutive ports of 127.0.0.1 at which nobody takes connections or datagrams, and returns
// the first. They are the caller's alone on this machine until it calls release, which it does once nothing
// that it started listens or calls there, or until its process ends. Calling release again does nothing. The
// error wraps ErrNoFreePorts where no such run is free.
func Take(n int) (first int, release func(), err error) {
	p, err := processPool()
	if err != nil {
		return 0, nil, err
	}
	return p.take(n)
}

// T is the part of testing.TB that the package uses.
type T interface {
	Helper()
	Cleanup(func())
	Fatalf(format string, args ...any)
}

// Span allocates n consecutive ports as Take does until the test's clean-up, and returns the first. Clean-up
// functions run last in, first out: start what uses the ports after the call.
func Span(t T, n int) (first int) {
	t.Helper()
	first, release, err := Take(n)
	if err != nil {
		t.Fatalf("ports: %v", err)
		return 0
	}
	t.Cleanup(release)
	return first
}

// Address allocates one port until the test's clean-up, and returns it as host:port.
func Address(t T) string {
	t.Helper()
	return address(Span(t, 1))
}

// Listen listens at an allocated port until the test's clean-up; the port stays the test's if the listener is
// closed before.
func Listen(t T) net.Listener {
	t.Helper()
	l, release, err := Open()
	if err != nil {
		t.Fatalf("ports: %v", err)
		return nil
	}
	t.Cleanup(release)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Open listens at an allocated port on behalf of a caller that is no test. The port stays the caller's until
// it calls release; the listener is the caller's to close.
func Open() (l net.Listener, release func(), err error) {
	for range maxListenAttempts {
		var first int
		if first, release, err = Take(1); err != nil {
			return nil, nil, err
		}
		if l, err = listenTCP("tcp", address(first)); err == nil {
			return l, release, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			release()
			return nil, nil, err
		}
		// Another program listens there since the check: the port stays allocated, so that nobody is given it.
	}
	return nil, nil, fmt.Errorf("%w: %w", ErrNoFreePorts, err)
}

// address returns a port of the process's pool as host:port.
func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
