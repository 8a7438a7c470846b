package wire

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"unsafe"
)

// quick is a TCP connection that reads and writes without a word to the runtime's scheduler. Its socket never
// blocks, so nothing is lost by that; but each ordinary call after an idle moment wakes the runtime's monitor
// thread, which then costs a fifth of all CPU at some tens of txns a second.
type quick struct {
	*net.TCPConn
	raw     syscall.RawConn
	in, out transfer
	guard   *sync.Mutex
	took    func() // called under the guard once bytes have been read
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

// watch has took called, under the guard, in one step with each read that brings bytes.
func (q *quick) watch(guard *sync.Mutex, took func()) {
	q.guard, q.took = guard, took
	q.in.call = func(fd uintptr) bool {
		q.guard.Lock()
		defer q.guard.Unlock()
		done := q.in.read(fd)
		if q.in.n > 0 {
			q.took()
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
	err := q.raw.Control(func(fd uintptr) {
		var b [1]byte
		var got uintptr
		got, _, e = syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
			syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		n = int(got)
	})
	if err != nil {
		e = syscall.EBADF // closed here
	}
	return n, e
}

// Gone tells whether the other side has closed the connection.
func (q *quick) Gone() bool {
	n, e := q.ahead()
	return e == 0 && n == 0 || e == syscall.ECONNRESET
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
