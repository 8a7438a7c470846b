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

const okay = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// linked gives a link and the worker's side of it.
func linked(t *testing.T) (*Links, *Link, net.Conn) {
	t.Helper()
	l, at := sink(t)
	p := NewLinks(4, time.Second, time.Second)
	link, err := p.Dial(0, at, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { c.Close() })
	link.Until(time.Now().Add(5 * time.Second))
	return p, link, c
}

// unquiet waits until a link's worker has been heard.
func unquiet(t *testing.T, l *Link) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); quiet(l.conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing comes")
		}
	}
}

// What a worker does before the first byte keeps a submission from going out: on a link that stood idle that
// is no fault of the worker, on a new one it is.
func TestSendMeetsAnEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(net.Conn)
	}{
		{"end", func(c net.Conn) { c.Close() }},
		{"reset", func(c net.Conn) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}},
		{"half a line", func(c net.Conn) { c.Write([]byte("HTTP/1")) }},
	} {
		for _, stood := range []bool{true, false} {
			p, l, w := linked(t)
			if stood {
				p.Keep(l, standing(true))
				if p.Idle(0) != l {
					t.Fatal("not kept")
				}
			}
			c.do(w)
			unquiet(t, l)
			if err := l.Send([]byte("txn")); err == nil || errors.Is(err, ErrStale) != stood {
				t.Errorf("%s, idle before %v: %v", c.name, stood, err)
			}
			w.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if n, _ := w.Read(make([]byte, 9)); n != 0 {
				t.Errorf("%s: %d bytes were written", c.name, n)
			}
			p.Drop(l)
		}
	}
}

// A worker that speaks while a submission goes out has not got it whole: the rest is not written, so that it
// never runs, and what was said is not read as its answer.
func TestSendMeetsAnAnswer(t *testing.T) {
	_, l, w := linked(t)
	const size = 32 << 20 // more than the kernel takes
	sent := make(chan error)
	go func() { sent <- l.Send(make([]byte, size)) }()
	if _, err := io.ReadFull(w, make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	w.Write([]byte(okay))
	unquiet(t, l)
	came := make(chan int64)
	go func() {
		n, _ := io.Copy(io.Discard, w)
		came <- 1024 + n
	}()
	err := <-sent
	l.conn.Close()
	if n := <-came; !errors.Is(err, errSpoke) || n >= size {
		t.Errorf("sent with %v, %d bytes of %d came", err, n, size)
	}
}

// An answer is early where it has begun before the last piece of a body goes out, and no other is. Interim
// ones ahead of it are not what counts.
func TestEarly(t *testing.T) {
	const interim = "HTTP/1.1 102 On\r\n\r\n"
	for _, c := range []struct {
		name, before, behind string
		early                bool
	}{
		{"early", okay, "", true},
		{"in time", "", okay, false},
		{"an early interim one", interim, okay, false},
		{"an early interim one in pieces", interim[:9] + "|" + interim[9:] + "|", okay, false},
		{"both early", interim + okay, "", true},
	} {
		_, l, w := linked(t)
		l.Pours()
		first, pieces, _ := strings.Cut(c.before, "|")
		w.Write([]byte(first))
		got, went := make(chan *Answer), make(chan struct{})
		go func() {
			a, err := l.Receive(nil)
			if err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
			got <- a
		}()
		if c.behind == "" {
			if a := <-got; a == nil || a.Early() != c.early {
				t.Errorf("%s: %+v", c.name, a)
			}
			continue
		}
		read := func() {
			for !quiet(l.conn) {
				time.Sleep(time.Millisecond)
			}
		}
		if read(); pieces != "" { // what is set for the second has to end with it
			w.Write([]byte(strings.TrimSuffix(pieces, "|")))
			read()
			time.Sleep(Millis(1.5 * policy.ResponseStallTimeoutMillis))
		}
		l.left = 3
		go func() {
			l.Write([]byte("end"))
			close(went)
		}()
		<-went
		w.Write([]byte(c.behind))
		if a := <-got; a == nil || a.Early() != c.early {
			t.Errorf("%s: %+v", c.name, a)
		}
	}
}

// An answer that is left to be passed on has no end in time, also where one is set as it begins.
func TestRestHasNoExpiry(t *testing.T) {
	_, l, w := linked(t)
	size := MostKept + 9
	w.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 65545\r\n\r\nab"))
	a, err := l.Receive(nil)
	if err != nil || a.Rest == nil {
		t.Fatalf("%+v, %v", a, err)
	}
	l.Until(time.Now().Add(-time.Second))
	go w.Write([]byte(strings.Repeat("x", size-2)))
	if b, err := io.ReadAll(a.Rest); err != nil || len(b) != size {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

// What is read behind an answer that was passed on as it came is not kept with its link.
func TestKeepNothingRead(t *testing.T) {
	p, l, w := linked(t)
	size := MostKept + 9
	go w.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 65545\r\n\r\n" + strings.Repeat("x", size) + okay))
	a, err := l.Receive(nil)
	if err != nil || a.Rest == nil {
		t.Fatalf("%+v, %v", a, err)
	}
	if b, err := io.ReadAll(io.LimitReader(a.Rest, int64(size-100))); err != nil || len(b) != size-100 {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	// The end of it comes with what is behind it.
	for l.in.Buffered() < 100 {
		if _, err := l.in.Peek(min(l.in.Buffered()+1, 100+len(okay))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := l.in.Peek(100 + len(okay)); err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(a.Rest); err != nil || len(b) != 100 {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	if !quiet(l.conn) || p.Keep(l, standing(true)) {
		t.Error("it is kept")
	}
}

// Without a descriptor for one more connection there is no room for it, which is not the worker's fault, and
// its place is free again.
func TestNoDescriptor(t *testing.T) {
	_, at := sink(t)
	p := NewLinks(4, time.Second, time.Second)
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	none := was
	none.Cur = 3 // those of the process itself
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	_, err := p.Dial(0, at, time.Now().Add(time.Second))
	if back := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); back != nil {
		t.Fatal(back)
	}
	if !errors.Is(err, ErrNoRoom) || p.Open() != 0 {
		t.Errorf("dialled with %v, %d connections", err, p.Open())
	}
	l, err := p.Dial(0, at, time.Now().Add(time.Second))
	if err != nil || p.Open() != 1 {
		t.Fatalf("then with %v, %d connections", err, p.Open())
	}
	p.Drop(l)
}

// A body that its worker no longer takes is ended by a halt at once, and its answer is read on.
func TestHalt(t *testing.T) {
	p, l, w := linked(t)
	written := make(chan error)
	go func() {
		_, err := l.Write(make([]byte, 32<<20))
		written <- err
	}()
	if _, err := io.ReadFull(w, make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	l.Halt()
	if err := <-written; err == nil || time.Since(start) > Millis(policy.BodyStallTimeoutMillis)/2 {
		t.Errorf("ended with %v after %v", err, time.Since(start))
	}
	if _, err := l.Write([]byte("more")); err == nil {
		t.Error("it writes on")
	}
	w.Write([]byte(okay))
	if a, err := l.Receive(nil); err != nil || string(a.Body) != "ok" {
		t.Errorf("%+v, %v", a, err)
	}
	go io.Copy(io.Discard, w)
	p.Keep(l, standing(true)) // as one whose body had just gone out
	if l = p.Idle(0); l == nil {
		t.Fatal("not kept")
	}
	l.Until(time.Now().Add(time.Second))
	if err := l.Send([]byte("txn")); err != nil {
		t.Errorf("used again: %v", err)
	}
}
