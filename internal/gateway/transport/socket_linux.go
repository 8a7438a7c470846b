package transport

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"willowdeck/internal/policy"
)

// directConn is a TCP connection whose reads and writes go to the kernel without telling the runtime's
// scheduler. The socket is non-blocking, so that nothing is lost by that; but each ordinary call after an
// idle moment wakes the runtime's monitor thread, which costs a fifth of all CPU at some tens of requests a
// second.
type directConn struct {
	*net.TCPConn
	raw              syscall.RawConn
	reading, writing transfer
}

// transfer is one read or write. call is made once per connection, so that a transfer allocates nothing.
type transfer struct {
	buffer []byte
	done   int
	errno  syscall.Errno
	call   func(fd uintptr) bool
}

// bypassScheduler turns a TCP connection into a directConn.
func bypassScheduler(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	direct := &directConn{TCPConn: tcp, raw: raw}
	direct.reading.call, direct.writing.call = direct.reading.read, direct.writing.write
	return direct
}

// attemptSyscall makes the system call once, and again where it was interrupted; false means that the socket
// is not ready.
func (t *transfer) trySyscall(number, fd uintptr) bool {
	for {
		n, _, e := syscall.RawSyscall6(number, fd, uintptr(unsafe.Pointer(&t.buffer[t.done])),
			uintptr(len(t.buffer)-t.done), syscall.MSG_NOSIGNAL, 0, 0)
		switch t.errno = e; e {
		case 0:
			t.done += int(n)
			return true
		case syscall.EAGAIN:
			return false
		case syscall.EINTR:
		default:
			return true
		}
	}
}

// read is the call of a read.
func (t *transfer) read(fd uintptr) bool { return t.trySyscall(syscall.SYS_RECVFROM, fd) }

// write is the call of a write, which goes on until all is written or the socket is not ready.
func (t *transfer) write(fd uintptr) bool {
	for t.done < len(t.buffer) {
		if !t.trySyscall(syscall.SYS_SENDTO, fd) {
			return false
		}
		if t.errno != 0 {
			break
		}
	}
	return true
}

// guardReads calls onRead, with mu held, in one step with each read that brings bytes, and reads nothing
// where allowed gives false.
func (c *directConn) guardReads(mu *sync.Mutex, allowed func() bool, onRead func()) {
	c.reading.call = func(fd uintptr) bool {
		mu.Lock()
		defer mu.Unlock()
		if !allowed() {
			c.reading.errno = syscall.ECONNABORTED
			return true
		}
		done := c.reading.read(fd)
		if c.reading.done > 0 {
			onRead()
		}
		return done
	}
}

// begin prepares a transfer of b.
func (t *transfer) begin(b []byte) { t.buffer, t.done, t.errno = b, 0, 0 }

// end gives the result of a transfer.
func (t *transfer) end(op string, err error) (int, error) {
	t.buffer = nil
	if err == nil && t.errno != 0 {
		err = &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, t.errno)}
	}
	return t.done, err
}

// peek asks the kernel whether there are bytes to read, or the error that a read would meet, and reads
// nothing.
func (c *directConn) peek() (n int, e syscall.Errno) {
	if c.raw.Control(func(fd uintptr) { n, e = peekSocket(fd) }) != nil {
		e = syscall.EBADF // closed here
	}
	return n, e
}

// peekSocket is peek on a descriptor.
func peekSocket(fd uintptr) (int, syscall.Errno) {
	var b [1]byte
	n, _, e := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return int(n), e
}

// Gone tells whether the other side has closed the connection, or it is broken.
func (c *directConn) Gone() bool {
	n, e := c.peek()
	switch e {
	case 0:
		return n == 0 || c.peerHasClosed()
	case syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ENOTCONN, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH, syscall.ENETUNREACH:
		return true
	}
	return false
}

// peerHasClosed tells by the connection's state in the kernel whether the other side has closed it: unread
// bytes hide the end behind them from peek. Where the state cannot be asked it gives false.
func (c *directConn) peerHasClosed() (closed bool) {
	_ = c.raw.Control(func(fd uintptr) {
		var state [8]byte
		size := uint32(len(state))
		_, _, e := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&state[0])), uintptr(unsafe.Pointer(&size)), 0)
		switch state[0] {
		case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			closed = e == 0 && size > 0
		}
	})
	return closed
}

// SinceLastReceive is how long ago the last bytes came, in the kernel's steps of some ms; 0 where that cannot
// be asked.
func (c *directConn) SinceLastReceive() (since time.Duration) {
	const lastDataOffset = 52 // tcpi_last_data_recv, ms, in Linux' struct tcp_info
	_ = c.raw.Control(func(fd uintptr) {
		var info [lastDataOffset + 4]byte
		size := uint32(len(info))
		_, _, e := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
		if e == 0 && size == uint32(len(info)) {
			since = time.Duration(binary.NativeEndian.Uint32(info[lastDataOffset:])) * time.Millisecond
		}
	})
	return since
}

// The kernel's states of a TCP connection whose other side has closed it.
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// AwaitPeerClose waits until the other side has closed the connection too, for limit at most, and reads
// nothing.
func (c *directConn) AwaitPeerClose(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		unread := false
		if c.SetReadDeadline(deadline) != nil {
			return // closed here
		}
		err := c.raw.Read(func(fd uintptr) bool {
			n, e := peekSocket(fd)
			unread = n > 0 && e == 0
			return unread || e != syscall.EAGAIN
		})
		switch {
		case isTimeout(err): // or a deadline that was set meanwhile
		case err != nil || !unread || c.peerHasClosed():
			return
		default: // unread bytes would end each wait at once
			time.Sleep(Millis(policy.AcceptRetryMillis))
		}
	}
}

// Quiescent tells whether the connection is open and has no unread bytes.
func (c *directConn) Quiescent() bool {
	_, e := c.peek()
	return e == syscall.EAGAIN
}

// Read reads what there is, at least one byte.
func (c *directConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.reading.begin(b)
	n, err := c.reading.end("recvfrom", c.raw.Read(c.reading.call))
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, err
}

// Write writes all of b.
func (c *directConn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.writing.begin(b)
	return c.writing.end("sendto", c.raw.Write(c.writing.call))
}
