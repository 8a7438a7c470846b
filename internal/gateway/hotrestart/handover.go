// Package hotrestart is the conversation between a gatekeeper's process and the one that takes its place on
// the
// same machine: whole packets on a Unix socket, some with a descriptor. It decides nothing.
package hotrestart

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

// Version is of the conversation and of all that is in a will. Those of different versions do not talk.
const Version = 4

// Will is what a process leaves to its heir.
type Will struct {
	Drains         bool // its clients are sent away
	Estate         policy.HandoffState
	Workers, Kinds map[int]string // their names, by the indices in the estate
	Clearances     []authcache.Clearance
	Word           incarnation.MessageID // of the last message to peers: the heir goes on from there
}

// Client is a client's connection as it is handed on.
type Client struct {
	Proven bool   // it has asked more than once
	Ahead  []byte // what has been read of it and not taken up
}

// The kinds of packets, by their first byte.
const (
	hello  = 'h' // then the version and the name, both ways
	piece  = 'p' // of a will
	last   = 'w' // the last piece
	peers  = 'u' // the datagram socket
	client = 'c' // a client's connection: one byte says whether it is proven, the rest is what was read ahead
	yes    = 'y' // the heir's: the will has come whole
)

const (
	pieceBytes = 32 << 10 // well under what the kernel takes as one packet
	mostBytes  = 64 << 20 // of a will; a gatekeeper knows thousands of customers, not millions
	patience   = time.Second
)

func greeting(name string) []byte { return fmt.Appendf(nil, "%c%d %s", hello, Version, name) }

// Path is where a gatekeeper's process waits for its heir.
func Path(dir, name string) string { return filepath.Join(dir, "willowdeck-"+name+".sock") }

// Heir is the new process's end.
type Heir struct{ conn *net.UnixConn }

// Find greets the process that holds a gatekeeper's place. An error tells that there is none to take over
// from.
func Find(path, name string) (*Heir, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	buf := make([]byte, 256)
	n := 0
	if _, err = conn.Write(greeting(name)); err == nil {
		n, err = conn.Read(buf)
	}
	if err == nil && !bytes.Equal(buf[:n], greeting(name)) {
		err = errors.New("another version, or another gatekeeper")
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	_ = conn.SetDeadline(time.Time{})
	return &Heir{conn}, nil
}

// Close takes no more: the process before keeps what it has not handed on.
func (h *Heir) Close() { _ = h.conn.Close() }

// Takes is what an heir does with what it is given.
type Takes struct {
	Will   func(Will)
	Peers  func(*net.UDPConn)
	Client func(net.Conn, Client)
}

// Receive takes what the other process leaves, until that ends, and tells whether its will came whole.
func (h *Heir) Receive(to Takes) (whole bool, err error) {
	defer h.conn.Close()
	buf, oob := make([]byte, pieceBytes+1), make([]byte, syscall.CmsgSpace(4))
	var will []byte
	for {
		n, on, _, _, err := h.conn.ReadMsgUnix(buf, oob)
		if n == 0 || err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return whole, err
		}
		kind, b := buf[0], buf[1:n]
		file, err := descriptor(oob[:on])
		if err != nil {
			return whole, err
		}
		switch kind {
		case piece, last:
			if will = append(will, b...); len(will) > mostBytes {
				return whole, errors.New("handover: a will without end")
			}
			if kind == last {
				var stored storedHandoff
				if err := gob.NewDecoder(bytes.NewReader(will)).Decode(&stored); err != nil {
					return whole, fmt.Errorf("handover: %w", err)
				}
				whole, will = true, nil
				if _, err := h.conn.Write([]byte{yes}); err != nil { // the place is not left without it
					return false, fmt.Errorf("handover: %w", err)
				}
				to.Will(decodeHandoff(stored))
			}
		case peers, client:
			take(file, kind, b, to)
		}
	}
}

// descriptor gives the descriptor that came with a packet, if any.
func descriptor(oob []byte) (*os.File, error) {
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(msgs) == 0 {
		return nil, err
	}
	fds, err := syscall.ParseUnixRights(&msgs[0])
	if err != nil || len(fds) == 0 {
		return nil, err
	}
	syscall.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "handover"), nil
}

// take makes a connection of a descriptor. Go duplicates it, so the one that came is closed.
func take(f *os.File, kind byte, b []byte, to Takes) {
	if f == nil {
		return
	}
	defer f.Close()
	if kind == peers {
		if c, err := net.FilePacketConn(f); err == nil {
			if u, ok := c.(*net.UDPConn); ok {
				to.Peers(u)
			}
		}
		return
	}
	if c, err := net.FileConn(f); err == nil {
		to.Client(c, Client{Proven: len(b) > 0 && b[0] == 1, Ahead: append([]byte(nil), b[min(1, len(b)):]...)})
	}
}

// Owner is the end of the process that holds the gatekeeper's place.
type Owner struct {
	listener *net.UnixListener
	name     string
	mu       sync.Mutex
	heir     *net.UnixConn
	failed   error // of the heir: nothing more is sent to it
}

// Offer waits at a path for an heir. What was at the path before is of a process that is gone, or of one that
// this one has taken over from.
func Offer(path, name string) (*Owner, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path is the heir's
	_ = os.Chmod(path, 0o600)
	o := &Owner{listener: l, name: name}
	go o.greet()
	return o, nil
}

func (o *Owner) greet() {
	for {
		c, err := o.listener.AcceptUnix()
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(patience))
		buf := make([]byte, 256)
		n, err := c.Read(buf)
		if err == nil {
			_, err = c.Write(greeting(o.name)) // one of another version learns so
		}
		if err != nil || !bytes.Equal(buf[:n], greeting(o.name)) {
			_ = c.Close()
			continue
		}
		_ = c.SetDeadline(time.Time{})
		o.mu.Lock()
		if o.heir != nil {
			_ = o.heir.Close()
		}
		o.heir, o.failed = c, nil
		o.mu.Unlock()
	}
}

// Awaited tells whether an heir waits, and is there still.
func (o *Owner) Awaited() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heir != nil && o.send(piece, nil, nil) == nil
}

// Leave sends a will, and waits for the heir's yes. Guards against an heir that hangs: what is sent to it
// lies in the socket, and its clients with it.
func (o *Owner) Leave(w Will) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(encodeHandoff(w)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for b.Len() > pieceBytes {
		if err := o.send(piece, b.Next(pieceBytes), nil); err != nil {
			return err
		}
	}
	if err := o.send(last, b.Bytes(), nil); err != nil {
		return err
	}
	said := make([]byte, 8)
	_ = o.heir.SetReadDeadline(time.Now().Add(patience))
	n, err := o.heir.Read(said)
	if err == nil && (n != 1 || said[0] != yes) {
		err = errors.New("no yes")
	}
	if o.failed = err; err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Peers hands the datagram socket on.
func (o *Owner) Peers(c syscall.RawConn) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.send(peers, nil, c)
}

// Client hands a client's connection on. The caller closes its own descriptor of it, and nothing else.
func (o *Owner) Client(c syscall.RawConn, as Client) error {
	b := make([]byte, 1, 1+len(as.Ahead))
	if as.Proven {
		b[0] = 1
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.send(client, append(b, as.Ahead...), c)
}

// send writes one packet, under the lock. Guards against a wait for each of many connections, one after
// another, before an heir that takes no more: what has failed once fails at once.
func (o *Owner) send(kind byte, b []byte, with syscall.RawConn) error {
	switch {
	case o.heir == nil:
		return errors.New("handover: there is no heir")
	case o.failed != nil:
		return o.failed
	}
	b = append([]byte{kind}, b...)
	_ = o.heir.SetWriteDeadline(time.Now().Add(patience))
	write := func(oob []byte) error {
		_, _, o.failed = o.heir.WriteMsgUnix(b, oob, nil)
		return o.failed
	}
	if with == nil {
		return write(nil)
	}
	var err error
	if e := with.Control(func(fd uintptr) { err = write(syscall.UnixRights(int(fd))) }); e != nil {
		return e // the client's, who has gone, not the heir's
	}
	return err
}

// Close ends the conversation: nothing more comes.
func (o *Owner) Close() {
	_ = o.listener.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.heir != nil {
		_ = o.heir.Close()
	}
}
