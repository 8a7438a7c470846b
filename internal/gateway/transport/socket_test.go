package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Reads and writes that bypass the scheduler behave as ordinary ones.
func TestDirectConn(t *testing.T) {
	listener, address := listen(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := listener.Accept()
		accepted <- c
	}()
	raw, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	c, other := bypassScheduler(raw), <-accepted
	big := bytes.Repeat([]byte("txn"), 3<<20)
	written := make(chan error)
	go func() {
		_, err := c.Write(big) // more than the kernel takes at once
		written <- err
	}()
	got := make([]byte, len(big))
	_, err = io.ReadFull(other, got)
	if sent := <-written; sent != nil || err != nil || !bytes.Equal(got, big) {
		t.Errorf("a long write differs: %v, %v", sent, err)
	}
	other.Write([]byte("ab"))
	if n, err := c.Read(got); n != 2 || err != nil || string(got[:2]) != "ab" {
		t.Errorf("read %d bytes, %v", n, err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Millisecond))
	var timeout net.Error
	if _, err := c.Read(got); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("after its deadline: %v", err)
	}
	c.SetDeadline(time.Time{})
	other.(*net.TCPConn).CloseWrite()
	if _, err := c.Read(got); !isBareEOF(err) {
		t.Errorf("at the end: %v", err)
	}
	other.(*net.TCPConn).SetLinger(0)
	other.Close()
	time.Sleep(20 * time.Millisecond)
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("a write to a broken connection succeeds")
	}
	c.Close()
	if _, err := c.Read(got); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after its close: %v", err)
	}
}
