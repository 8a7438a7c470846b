package hotrestart

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var (
	errNoSuccessor     = errors.New("hot restart: no successor is connected")
	errNotAcknowledged = errors.New("hot restart: the successor did not acknowledge the handoff state")
)

// Predecessor is the end of the process that serves until it hands off.
type Predecessor struct {
	listener *net.UnixListener
	name     string

	mu        sync.Mutex    // guards the fields below, and each packet that is sent
	successor *net.UnixConn // nil until one has greeted
	failed    error         // why sending to the successor failed; nothing more is sent to it
}

// Listen waits for a successor at a path. A socket that is at the path already belongs to a process that has
// ended, or to one that this process has taken over from, and is replaced.
func Listen(path, name string) (*Predecessor, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	listener.SetUnlinkOnClose(false) // by then the path is the successor's
	_ = os.Chmod(path, 0o600)
	p := &Predecessor{listener: listener, name: name}
	go p.acceptSuccessors()
	return p, nil
}

// acceptSuccessors greets processes that connect, until the listener is closed. The last one that greets as
// a successor takes the place of an earlier one.
func (p *Predecessor) acceptSuccessors() {
	for {
		conn, err := p.listener.AcceptUnix()
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(packetTimeout))
		received := make([]byte, maxGreetingBytes)
		n, err := conn.Read(received)
		if err == nil {
			_, err = conn.Write(greeting(p.name)) // also to one of another version, which reports it
		}
		if err != nil || !bytes.Equal(received[:n], greeting(p.name)) {
			_ = conn.Close()
			continue
		}
		_ = conn.SetDeadline(time.Time{})
		p.setSuccessor(conn)
	}
}

func (p *Predecessor) setSuccessor(conn *net.UnixConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successor != nil {
		_ = p.successor.Close()
	}
	p.successor, p.failed = conn, nil
}

// HasSuccessor reports whether a successor has greeted and is still connected.
func (p *Predecessor) HasSuccessor() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.successor != nil && p.send(stateChunkPacket, nil, nil) == nil
}

// SendState sends the handoff state and waits for the acknowledgement, for packetTimeout at most. Guards
// against a successor that hangs: the state, and the clients after it, would wait in the socket's buffer.
func (p *Predecessor) SendState(state HandoffState) error {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(encodeHandoff(state)); err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for encoded.Len() > stateChunkBytes {
		if err := p.send(stateChunkPacket, encoded.Next(stateChunkBytes), nil); err != nil {
			return err
		}
	}
	if err := p.send(lastChunkPacket, encoded.Bytes(), nil); err != nil {
		return err
	}
	p.failed = p.awaitAcknowledgement()
	return p.failed
}

// awaitAcknowledgement reads the successor's answer to the state. The caller holds the lock.
func (p *Predecessor) awaitAcknowledgement() error {
	answer := make([]byte, 8)
	_ = p.successor.SetReadDeadline(time.Now().Add(packetTimeout))
	n, err := p.successor.Read(answer)
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	if n != 1 || answer[0] != acknowledgedPacket {
		return errNotAcknowledged
	}
	return nil
}

// SendPeerSocket hands the datagram socket off.
func (p *Predecessor) SendPeerSocket(socket syscall.RawConn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.send(peerSocketPacket, nil, socket)
}

// SendClient hands a client's connection off. The caller then closes its own descriptor of it, and nothing
// else: the connection lives on in the successor.
func (p *Predecessor) SendClient(socket syscall.RawConn, connection ClientConnection) error {
	payload := make([]byte, 1, 1+len(connection.ReadAhead))
	if connection.Proven {
		payload[0] = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.send(clientPacket, append(payload, connection.ReadAhead...), socket)
}

// send writes one packet, with the descriptor of a socket unless that is nil. The caller holds the lock. Once
// a packet has failed, all later ones fail at once: many connections must not each wait for packetTimeout
// before a successor that reads nothing.
func (p *Predecessor) send(kind byte, payload []byte, socket syscall.RawConn) error {
	switch {
	case p.successor == nil:
		return errNoSuccessor
	case p.failed != nil:
		return p.failed
	}
	packet := append([]byte{kind}, payload...)
	_ = p.successor.SetWriteDeadline(time.Now().Add(packetTimeout))
	if socket == nil {
		return p.writePacket(packet, nil)
	}
	var err error
	controlErr := socket.Control(func(fd uintptr) { err = p.writePacket(packet, syscall.UnixRights(int(fd))) })
	if controlErr != nil {
		return controlErr // the client is gone; the successor has not failed
	}
	return err
}

// writePacket writes one packet with its control message. The caller holds the lock.
func (p *Predecessor) writePacket(packet, oob []byte) error {
	_, _, p.failed = p.successor.WriteMsgUnix(packet, oob, nil)
	return p.failed
}

// Close stops listening and closes the connection to the successor, which takes it as the end of the handoff.
func (p *Predecessor) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successor != nil {
		_ = p.successor.Close()
	}
}
