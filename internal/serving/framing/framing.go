// Package framing carries protobuf messages over TCP: each frame is a length of four bytes, then the message.
package framing

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
)

// MaxFrame bounds a frame, in bytes; longer ones end the connection.
const MaxFrame = 32 << 20

// unacknowledged is how long sent bytes may stay unacknowledged until the kernel gives a connection up.
const unacknowledged = 1500 * time.Millisecond

// Conn is a connection that carries frames. One goroutine may read while another writes.
type Conn struct {
	net.Conn
	reader       *bufio.Reader
	writeTimeout time.Duration
}

// NewConn wraps an accepted connection. A write that takes longer than writeTimeout fails.
func NewConn(connection net.Conn, writeTimeout time.Duration) *Conn {
	return &Conn{Conn: connection, reader: bufio.NewReaderSize(connection, 16<<10), writeTimeout: writeTimeout}
}

// Dial connects to address within timeout.
func Dial(ctx context.Context, address string, timeout, writeTimeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: GiveUpAfter(unacknowledged)}
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return NewConn(connection, writeTimeout), nil
}

// Listen listens at address for connections that are given up like dialled ones.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: GiveUpAfter(unacknowledged)}
	return config.Listen(context.Background(), "tcp4", address)
}

// GiveUpAfter sets TCP_USER_TIMEOUT, so that a peer without power or behind a cut does not hold a
// connection for ever.
func GiveUpAfter(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			milliseconds := int(timeout / time.Millisecond)
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// WriteMessage sends a message as one frame.
func (c *Conn) WriteMessage(message proto.Message) error {
	buffer := make([]byte, 4, 4+proto.Size(message))
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, message)
	if err != nil {
		return err
	}
	if len(buffer)-4 > MaxFrame {
		return errors.Errorf("frame of %d bytes is over %d", len(buffer)-4, MaxFrame)
	}
	binary.BigEndian.PutUint32(buffer, uint32(len(buffer)-4))
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return err
	}
	_, err = c.Conn.Write(buffer)
	return err
}

// ReadMessage reads one frame into message. It fails where nothing has come for silence.
func (c *Conn) ReadMessage(message proto.Message, silence time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return err
	}
	var header [4]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrame {
		return errors.Errorf("frame of %d bytes is over %d", length, MaxFrame)
	}
	buffer := make([]byte, length)
	if _, err := io.ReadFull(c.reader, buffer); err != nil {
		return err
	}
	return proto.Unmarshal(buffer, message)
}
