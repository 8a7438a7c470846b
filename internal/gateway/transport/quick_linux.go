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

// quick is a TCP connection that reads and writes without a word to the runtime's scheduler. Its socket never
// blocks, so nothing is lost by that; but each ordinary call after an idle moment wakes the runtime's monitor
// thread, which then costs a fifth of all CPU at some tens of txns a second.
type quick struct {
	*net.TCPConn
	raw     syscall.RawConn
	in, out transfer
}

// transfer is one read or write; call goes to the kernel and is made once.
type transfer struct {
	b     []byte
	n     int
	errno syscall.Errno
	call  func(fd uintptr) bool
}

// hasten makes a TCP connection quick.
func hasten(c net.Conn) net.Conn {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return c
	}
	q := &quick{TCPConn: t, raw: raw}
	q.in.call, q.out.call = q.in.read, q.out.write
	return q
}

func (t *transfer) kernel(trap, fd uintptr) bool {
	for {
		n, _, e := syscall.RawSyscall6(trap, fd, uintptr(unsafe.Pointer(&t.b[t.n])), uintptr(len(t.b)-t.n),
			syscall.MSG_NOSIGNAL, 0, 0)
		switch t.errno = e; e {
		case 0:
			t.n += int(n)
			return true
		case syscall.EAGAIN:
			return false
		case syscall.EINTR:
		default:
			return true
		}
	}
}

func (t *transfer) read(fd uintptr) bool { return t.kernel(syscall.SYS_RECVFROM, fd) }

func (t *transfer) write(fd uintptr) bool {
	for t.n < len(t.b) {
		if !t.kernel(syscall.SYS_SENDTO, fd) {
			return false
		}
		if t.errno != 0 {
			break
		}
	}
	return true
}

// watch has took called, under the guard, in one step with each read that brings bytes, and nothing read
// where may says no.
func (q *quick) watch(guard *sync.Mutex, may func() bool, took func()) {
	q.in.call = func(fd uintptr) bool {
		guard.Lock()
		defer guard.Unlock()
		if !may() {
			q.in.errno = syscall.ECONNABORTED
			return true
		}
		done := q.in.read(fd)
		if q.in.n > 0 {
			took()
		}
		return done
	}
}

func (t *transfer) begin(b []byte) { t.b, t.n, t.errno = b, 0, 0 }

func (t *transfer) end(op string, err error) (int, error) {
	t.b = nil
	if err == nil && t.errno != 0 {
		err = &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, t.errno)}
	}
	return t.n, err
}

// ahead looks at what the kernel has for the connection, and takes nothing.
func (q *quick) ahead() (n int, e syscall.Errno) {
	if q.raw.Control(func(fd uintptr) { n, e = peek(fd) }) != nil {
		e = syscall.EBADF // closed here
	}
	return n, e
}

func peek(fd uintptr) (int, syscall.Errno) {
	var b [1]byte
	n, _, e := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return int(n), e
}

// Gone tells whether the other side has closed the connection, or it has broken.
func (q *quick) Gone() bool {
	n, e := q.ahead()
	switch e {
	case 0:
		return n == 0 || q.left()
	case syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ENOTCONN, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH, syscall.ENETUNREACH:
		return true
	}
	return false
}

// left tells whether the other side has ended the connection, by its state at the kernel: bytes that lie
// unread hide the end behind them from any look at what has come. Where the state can't be asked it is no.
func (q *quick) left() (ended bool) {
	_ = q.raw.Control(func(fd uintptr) {
		var state [8]byte
		size := uint32(len(state))
		_, _, e := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&state[0])), uintptr(unsafe.Pointer(&size)), 0)
		switch state[0] {
		case timeWait, closed, closeWait, lastAck, closing:
			ended = e == 0 && size > 0
		}
	})
	return ended
}

// Lain is how long ago the last bytes came, in the kernel's own steps of some ms; 0 where it can't be asked.
func (q *quick) Lain() (since time.Duration) {
	const at = 52 // tcpi_last_data_recv, ms, in Linux' struct tcp_info
	_ = q.raw.Control(func(fd uintptr) {
		var info [at + 4]byte
		size := uint32(len(info))
		_, _, e := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
		if e == 0 && size == uint32(len(info)) {
			since = time.Duration(binary.NativeEndian.Uint32(info[at:])) * time.Millisecond
		}
	})
	return since
}

// The states of a TCP connection at the kernel in which its other side has ended.
const (
	timeWait  = 6
	closed    = 7
	closeWait = 8
	lastAck   = 9
	closing   = 11
)

// Part waits until the other side has ended the connection too, but for so long at most, and reads nothing.
func (q *quick) Part(most time.Duration) {
	for until := time.Now().Add(most); time.Now().Before(until); {
		lies := false
		if q.SetReadDeadline(until) != nil {
			return // closed from here
		}
		err := q.raw.Read(func(fd uintptr) bool {
			n, e := peek(fd)
			lies = n > 0 && e == 0
			return lies || e != syscall.EAGAIN
		})
		switch {
		case late(err): // or another's wake-up before
		case err != nil || !lies || q.left():
			return
		default: // what lies there would end each wait for more at once
			time.Sleep(Millis(policy.AcceptRetryMillis))
		}
	}
}

// Quiet tells whether the connection is up and nothing lies unread in it.
func (q *quick) Quiet() bool {
	_, e := q.ahead()
	return e == syscall.EAGAIN
}

func (q *quick) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	q.in.begin(b)
	n, err := q.in.end("recvfrom", q.raw.Read(q.in.call))
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, err
}

func (q *quick) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	q.out.begin(b)
	return q.out.end("sendto", q.raw.Write(q.out.call))
}
