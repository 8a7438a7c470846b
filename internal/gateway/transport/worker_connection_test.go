package transport

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"willowdeck/internal/policy"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// connectedPair gives a pool, a connection of it, and the worker's side of that.
func connectedPair(t *testing.T) (*WorkerPool, *WorkerConn, net.Conn) {
	t.Helper()
	listener, address := listen(t)
	pool := NewWorkerPool(4, time.Second, time.Second)
	conn, err := pool.Dial(0, address, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	worker, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	worker.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { worker.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return pool, conn, worker
}

// awaitUnread waits until a connection has unread bytes, or its end has come.
func awaitUnread(t *testing.T, conn *WorkerConn) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); isQuiescent(conn.conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing comes")
		}
	}
}

// What a worker does before the first byte keeps an attempt from being sent. On a connection from the pool
// that is no fault of the worker, on a new one it is.
func TestSendAfterWorkerClosed(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(net.Conn)
	}{
		{"end", func(tc net.Conn) { tc.Close() }},
		{"reset", func(tc net.Conn) {
			tc.(*net.TCPConn).SetLinger(0)
			tc.Close()
		}},
		{"half a line", func(tc net.Conn) { tc.Write([]byte("HTTP/1")) }},
	} {
		for _, pooled := range []bool{true, false} {
			pool, conn, worker := connectedPair(t)
			if pooled {
				pool.Put(conn, fixedIncarnation(true))
				if pool.TakeIdle(0) != conn {
					t.Fatal("not kept")
				}
			}
			tc.do(worker)
			awaitUnread(t, conn)
			if err := conn.Send([]byte("txn")); err == nil || errors.Is(err, ErrStaleConn) != pooled {
				t.Errorf("%s, idle before %v: %v", tc.name, pooled, err)
			}
			worker.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if n, _ := worker.Read(make([]byte, 9)); n != 0 {
				t.Errorf("%s: %d bytes were written", tc.name, n)
			}
			pool.Discard(conn)
		}
	}
}

// A worker that answers while the message is sent does not have it completely: the rest is not written, so
// that it is never executed, and the bytes are not read as the answer.
func TestSendStopsAtEarlyAnswer(t *testing.T) {
	_, conn, worker := connectedPair(t)
	const size = 32 << 20 // more than the kernel takes
	sent := make(chan error)
	go func() { sent <- conn.Send(make([]byte, size)) }()
	if _, err := io.ReadFull(worker, make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	worker.Write([]byte(okAnswer))
	awaitUnread(t, conn)
	received := make(chan int64)
	go func() {
		n, _ := io.Copy(io.Discard, worker)
		received <- 1024 + n
	}()
	err := <-sent
	conn.conn.Close()
	if n := <-received; !errors.Is(err, errUnexpectedData) || n >= size {
		t.Errorf("sent with %v, %d bytes of %d came", err, n, size)
	}
}

// An answer is early where it begins before the last part of a body is written, and no other is. Interim
// answers ahead of it do not count.
func TestEarlyAnswer(t *testing.T) {
	const interim = "HTTP/1.1 102 On\r\n\r\n"
	for _, tc := range []struct {
		name, before, after string
		early               bool
	}{
		{"early", okAnswer, "", true},
		{"in time", "", okAnswer, false},
		{"an early interim one", interim, okAnswer, false},
		{"an early interim one in pieces", interim[:9] + "|" + interim[9:] + "|", okAnswer, false},
		{"both early", interim + okAnswer, "", true},
	} {
		_, conn, worker := connectedPair(t)
		conn.ExpectBody()
		first, pieces, _ := strings.Cut(tc.before, "|")
		worker.Write([]byte(first))
		answers, written := make(chan *Answer), make(chan struct{})
		go func() {
			answer, err := conn.Receive(nil)
			if err != nil {
				t.Errorf("%s: %v", tc.name, err)
			}
			answers <- answer
		}()
		if tc.after == "" {
			if answer := <-answers; answer == nil || answer.Early() != tc.early {
				t.Errorf("%s: %+v", tc.name, answer)
			}
			continue
		}
		awaitRead := func() {
			for !isQuiescent(conn.conn) {
				time.Sleep(time.Millisecond)
			}
		}
		if awaitRead(); pieces != "" { // the time-out that is set for the second must end with it
			worker.Write([]byte(strings.TrimSuffix(pieces, "|")))
			awaitRead()
			time.Sleep(Millis(1.5 * policy.ResponseStallTimeoutMillis))
		}
		conn.bodyRemaining = 3
		go func() {
			conn.Write([]byte("end"))
			close(written)
		}()
		<-written
		worker.Write([]byte(tc.after))
		if answer := <-answers; answer == nil || answer.Early() != tc.early {
			t.Errorf("%s: %+v", tc.name, answer)
		}
	}
}

// An answer whose remainder is left to be forwarded has no deadline, also where one is set as it begins.
func TestRemainderHasNoDeadline(t *testing.T) {
	_, conn, worker := connectedPair(t)
	size := MaxBufferedBodyBytes + 9
	worker.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 65545\r\n\r\nab"))
	answer, err := conn.Receive(nil)
	if err != nil || answer.Remainder == nil {
		t.Fatalf("%+v, %v", answer, err)
	}
	conn.SetDeadline(time.Now().Add(-time.Second))
	go worker.Write([]byte(strings.Repeat("x", size-2)))
	if b, err := io.ReadAll(answer.Remainder); err != nil || len(b) != size {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

// A connection with bytes behind a forwarded answer in its buffer is not taken back.
func TestPutRejectsBufferedData(t *testing.T) {
	pool, conn, worker := connectedPair(t)
	size := MaxBufferedBodyBytes + 9
	go worker.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 65545\r\n\r\n" + strings.Repeat("x", size) +
		okAnswer))
	answer, err := conn.Receive(nil)
	if err != nil || answer.Remainder == nil {
		t.Fatalf("%+v, %v", answer, err)
	}
	if b, err := io.ReadAll(io.LimitReader(answer.Remainder,
		int64(size-100))); err != nil || len(b) != size-100 {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	// The end of the answer is read together with what follows it.
	for conn.reader.Buffered() < 100 {
		if _, err := conn.reader.Peek(min(conn.reader.Buffered()+1, 100+len(okAnswer))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := conn.reader.Peek(100 + len(okAnswer)); err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(answer.Remainder); err != nil || len(b) != 100 {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	if !isQuiescent(conn.conn) || pool.Put(conn, fixedIncarnation(true)) {
		t.Error("it is taken back")
	}
}

// Without a descriptor Dial gives ErrPoolExhausted, which is not the worker's fault, and the place is free
// again.
func TestDialWithoutDescriptor(t *testing.T) {
	_, address := listen(t)
	pool := NewWorkerPool(4, time.Second, time.Second)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = 3 // those of the process itself
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	_, err := pool.Dial(0, address, time.Now().Add(time.Second))
	if back := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); back != nil {
		t.Fatal(back)
	}
	if !errors.Is(err, ErrPoolExhausted) || pool.OpenConns() != 0 {
		t.Errorf("dialed with %v, %d connections", err, pool.OpenConns())
	}
	conn, err := pool.Dial(0, address, time.Now().Add(time.Second))
	if err != nil || pool.OpenConns() != 1 {
		t.Fatalf("then with %v, %d connections", err, pool.OpenConns())
	}
	pool.Discard(conn)
}

// StopBody ends the sending of a body that the worker no longer reads at once, and the answer can be
// received.
func TestStopBody(t *testing.T) {
	pool, conn, worker := connectedPair(t)
	written := make(chan error)
	go func() {
		_, err := conn.Write(make([]byte, 32<<20))
		written <- err
	}()
	if _, err := io.ReadFull(worker, make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	conn.StopBody()
	if err := <-written; err == nil || time.Since(start) > Millis(policy.BodyStallTimeoutMillis)/2 {
		t.Errorf("ended with %v after %v", err, time.Since(start))
	}
	if _, err := conn.Write([]byte("more")); err == nil {
		t.Error("it writes on")
	}
	worker.Write([]byte(okAnswer))
	if answer, err := conn.Receive(nil); err != nil || string(answer.Body) != "ok" {
		t.Errorf("%+v, %v", answer, err)
	}
	go io.Copy(io.Discard, worker)
	pool.Put(conn, fixedIncarnation(true)) // as one whose body has just been sent
	if conn = pool.TakeIdle(0); conn == nil {
		t.Fatal("not kept")
	}
	conn.SetDeadline(time.Now().Add(time.Second))
	if err := conn.Send([]byte("txn")); err != nil {
		t.Errorf("used again: %v", err)
	}
}
