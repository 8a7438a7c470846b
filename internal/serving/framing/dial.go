package framing

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is the TCP user timeout of the connections that Dial opens and that listeners of
// Listen accept; see UserTimeout.
const unacknowledgedTimeout = 1500 * time.Millisecond

// Dial connects to an IPv4 address in the form HOST:PORT within timeout.
func Dial(ctx context.Context, address string, timeout, writeTimeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: UserTimeout(unacknowledgedTimeout)}
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return NewConn(connection, writeTimeout), nil
}

// Listen listens at an IPv4 address in the form HOST:PORT. Accepted connections have the same TCP user
// timeout as dialed ones.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: UserTimeout(unacknowledgedTimeout)}
	return config.Listen(context.Background(), "tcp4", address)
}

// UserTimeout returns a control function for net.Dialer and net.ListenConfig that sets TCP_USER_TIMEOUT: the
// kernel closes a connection whose sent data stays unacknowledged for timeout, for example because the
// peer has lost power or a network partition separates it.
func UserTimeout(timeout time.Duration) func(network, address string, connection syscall.RawConn) error {
	return func(_, _ string, connection syscall.RawConn) error {
		var optionErr error
		err := connection.Control(func(descriptor uintptr) {
			milliseconds := int(timeout / time.Millisecond)
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
