package framing

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/memorybudget"
)

const (
	lengthBytes     = 4        // length of a frame's header
	maxFrameBytes   = 32 << 20 // without the header; a longer frame is an error
	readBufferBytes = 16 << 10
	firstReadBytes  = 64 << 10 // of a long frame, before more memory is taken

	// frameMemoryFactor is how much more memory a long frame takes than its bytes: they and the message.
	frameMemoryFactor = 2
	// frameMemoryDivisor divides the process's memory: so much of it long frames may take together.
	frameMemoryDivisor = 4
)

// errNoMemory is returned for a long frame that there is no memory for. The peer connects and sends again.
var errNoMemory = errors.New("the frame does not fit into the memory of this process now")

// Conn is a connection that carries frames. One goroutine may read while another one writes.
type Conn struct {
	net.Conn
	reader       *bufio.Reader
	writeTimeout time.Duration
	frame        *memorybudget.Reservation // of the last frame read; nil: not limited
}

// NewFrameMemory returns the budget of the long frames that a process receives. The longest one fits into it.
func NewFrameMemory(processBytes int64) *memorybudget.Budget {
	if processBytes <= 0 {
		return memorybudget.New(0)
	}
	return memorybudget.New(max(processBytes/frameMemoryDivisor, maxFrameBytes*frameMemoryFactor))
}

// LimitFrames has the connection share the memory of long frames with others. What a frame takes is reserved
// until the next call of ReadMessage, or an error.
func (c *Conn) LimitFrames(budget *memorybudget.Budget) { c.frame = budget.Open() }

// HoldsMemory reports whether memory is reserved for the last frame.
func (c *Conn) HoldsMemory() bool { return c.frame != nil && c.frame.Bytes() > 0 }

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
	c.releaseFrame()
	buffer, err := c.readFrame(timeout)
	if err == nil {
		err = proto.Unmarshal(buffer, message)
	}
	if err != nil {
		c.releaseFrame()
	}
	return err
}

// readFrame reads one frame, and reserves the memory of a long one.
func (c *Conn) readFrame(timeout time.Duration) ([]byte, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	var header [lengthBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d", length, maxFrameBytes)
	}
	if c.frame != nil && length > firstReadBytes && !c.frame.Grow(int64(length)*frameMemoryFactor) {
		return nil, errNoMemory
	}
	return readAllOf(c.reader, int(length))
}

func (c *Conn) releaseFrame() {
	if c.frame != nil {
		c.frame.Cancel() // nobody is told when to come back: peers connect again by their own backoff
	}
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
