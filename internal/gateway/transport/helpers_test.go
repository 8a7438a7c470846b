package transport

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
)

// listen opens a listener on loopback and gives its address.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener, netip.MustParseAddrPort(listener.Addr().String())
}

// isBareEOF tells whether an error is io.EOF itself, as readers give it, and no wrapped one.
func isBareEOF(err error) bool {
	return errors.Is(err, io.EOF) && errors.Unwrap(err) == nil && err.Error() == io.EOF.Error()
}
