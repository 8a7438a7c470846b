package hotrestart

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

var (
	errGreetingMismatch = errors.New("hot restart: greeted by another version or another gateway")
	errStateTooLarge    = errors.New("hot restart: the handoff state exceeds its size limit")
)

// Successor is the new process's end of the connection.
type Successor struct{ conn *net.UnixConn }

// Connect greets the process that listens at a path. An error means that there is no process of this version
// and name to take over from.
func Connect(path, name string) (*Successor, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	if err := exchangeGreetings(conn, name); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Successor{conn}, nil
}

// exchangeGreetings sends the successor's greeting and checks the predecessor's.
func exchangeGreetings(conn *net.UnixConn, name string) error {
	_ = conn.SetDeadline(time.Now().Add(packetTimeout))
	if _, err := conn.Write(greeting(name)); err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	received := make([]byte, maxGreetingBytes)
	n, err := conn.Read(received)
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	if !bytes.Equal(received[:n], greeting(name)) {
		return errGreetingMismatch
	}
	_ = conn.SetDeadline(time.Time{})
	return nil
}

// Close ends the connection. The predecessor keeps whatever it has not handed off.
func (s *Successor) Close() { _ = s.conn.Close() }

// Handlers are called by Receive, on its goroutine, with what arrives. A handler owns the socket it is given.
type Handlers struct {
	State      func(HandoffState)
	PeerSocket func(*net.UDPConn)
	Client     func(net.Conn, ClientConnection)
}

// Receive handles what the predecessor sends until that one closes the connection. It reports whether the
// handoff state arrived complete and was acknowledged, and closes the connection.
func (s *Successor) Receive(handlers Handlers) (complete bool, err error) {
	defer s.Close()
	receiver := stateReceiver{conn: s.conn, handle: handlers.State}
	buf, oob := make([]byte, stateChunkBytes+1), make([]byte, syscall.CmsgSpace(4))
	for {
		n, oobBytes, _, _, err := s.conn.ReadMsgUnix(buf, oob)
		if n == 0 || err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return receiver.complete, err
		}
		kind, payload := buf[0], buf[1:n]
		file, err := receivedFile(oob[:oobBytes])
		if err != nil {
			return receiver.complete, err
		}
		switch kind {
		case stateChunkPacket, lastChunkPacket:
			if file != nil {
				closeFile(file) // a chunk has none: it is not kept open
			}
			if err := receiver.receiveChunk(payload, kind == lastChunkPacket); err != nil {
				return receiver.complete, err
			}
		case peerSocketPacket:
			receivePeerSocket(file, handlers)
		case clientPacket:
			receiveClient(file, payload, handlers)
		default:
			if file != nil {
				closeFile(file)
			}
		}
	}
}

// stateReceiver assembles the handoff state from its chunks.
type stateReceiver struct {
	conn     *net.UnixConn
	handle   func(HandoffState)
	encoded  []byte // the chunks received so far
	complete bool   // the state was decoded and acknowledged
}

// receiveChunk appends a chunk and, at the last one, decodes the state, acknowledges it and passes it on. The
// acknowledgement comes first: without it the predecessor goes on serving.
func (r *stateReceiver) receiveChunk(chunk []byte, last bool) error {
	r.encoded = append(r.encoded, chunk...)
	if len(r.encoded) > maxStateBytes {
		return errStateTooLarge
	}
	if !last {
		return nil
	}
	var stored storedHandoff
	if err := gob.NewDecoder(bytes.NewReader(r.encoded)).Decode(&stored); err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	r.complete, r.encoded = true, nil
	if _, err := r.conn.Write([]byte{acknowledgedPacket}); err != nil {
		r.complete = false
		return fmt.Errorf("hot restart: %w", err)
	}
	r.handle(decodeHandoff(stored))
	return nil
}

// receivedFile gives the descriptor that came with a packet; nil where none did.
func receivedFile(oob []byte) (*os.File, error) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(messages) == 0 {
		return nil, err
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) == 0 {
		return nil, err
	}
	syscall.CloseOnExec(descriptors[0])
	return os.NewFile(uintptr(descriptors[0]), "hotrestart"), nil
}

// receivePeerSocket makes the datagram socket from its descriptor, which Go duplicates and which is closed
// here. A descriptor that is none is dropped.
func receivePeerSocket(file *os.File, handlers Handlers) {
	if file == nil {
		return
	}
	defer closeFile(file)
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return
	}
	if udp, ok := conn.(*net.UDPConn); ok {
		handlers.PeerSocket(udp)
	}
}

// receiveClient makes a client's connection from its descriptor, which Go duplicates and which is closed
// here.
func receiveClient(file *os.File, payload []byte, handlers Handlers) {
	if file == nil {
		return
	}
	defer closeFile(file)
	conn, err := net.FileConn(file)
	if err != nil {
		return
	}
	handlers.Client(conn, ClientConnection{
		Proven:    len(payload) > 0 && payload[0] == 1,
		ReadAhead: append([]byte(nil), payload[min(1, len(payload)):]...),
	})
}

func closeFile(file *os.File) { _ = file.Close() }
