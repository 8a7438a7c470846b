package framing

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	lengthBytes     = 4        // length of a frame's header
	maxFrameBytes   = 32 << 20 // without the header; a longer frame is an error
	readBufferBytes = 16 << 10
	firstReadBytes  = 64 << 10 // of a long frame, before more memory is taken
)

// Conn is a connection that carries frames. One goroutine may read while another one writes.
type Conn struct {
	net.Conn
	reader       *bufio.Reader
	writeTimeout time.Duration
}

// NewConn returns a Conn on an accepted connection. A write that takes longer than writeTimeout fails.
func NewConn(connection net.Conn, writeTimeout time.Duration) *Conn {
	return &Conn{
		Conn: connection, reader: bufio.NewReaderSize(connection, readBufferBytes), writeTimeout: writeTimeout,
	}
}

// WriteMessage writes a message as one frame. After an error the connection must be closed.
func (c *Conn) WriteMessage(message proto.Message) error {
	buffer := make([]byte, lengthBytes, lengthBytes+proto.Size(message))
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, message)
	if err != nil {
		return err
	}
	if len(buffer)-lengthBytes > maxFrameBytes {
		return errors.Errorf("frame of %d bytes exceeds the limit of %d", len(buffer)-lengthBytes, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(buffer, uint32(len(buffer)-lengthBytes))
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return err
	}
	_, err = c.Write(buffer)
	return err
}

// ReadMessage reads one frame into message. It fails if the frame is not complete within timeout. After an
// error the connection must be closed.
func (c *Conn) ReadMessage(message proto.Message, timeout time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	var header [lengthBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return errors.Errorf("frame of %d bytes exceeds the limit of %d", length, maxFrameBytes)
	}
	buffer, err := readAllOf(c.reader, int(length))
	if err != nil {
		return err
	}
	return proto.Unmarshal(buffer, message)
}

// readAllOf reads length bytes. Its memory grows with what has come: a length that is stated takes none.
func readAllOf(source io.Reader, length int) ([]byte, error) {
	buffer := make([]byte, min(length, firstReadBytes))
	for read := 0; ; {
		n, err := io.ReadFull(source, buffer[read:])
		if err != nil {
			return nil, err
		}
		if read += n; read == length {
			return buffer, nil
		}
		buffer = append(make([]byte, 0, min(2*len(buffer), length)), buffer...)
		buffer = buffer[:cap(buffer)]
	}
}
