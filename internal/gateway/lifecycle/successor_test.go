package lifecycle

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"willowdeck/internal/gateway/hotrestart"
)

// TestSuccessorHangs: a successor that hangs gets no client. Requests in flight are answered by the
// predecessor, those on open connections or new ones are answered too, and the process ends. Guards against
// clients that are left to a process which never responds, and against a listener that nobody accepts from.
func TestSuccessorHangs(t *testing.T) {
	d, _ := deployWithInheritedListener(t)
	_, err := hotrestart.Connect(hotrestart.SocketPath(d.config.SharedDir, d.config.Name), d.config.Name)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "no successor is connected", func() bool { return d.gateway.handoff.Load().HasSuccessor() })
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(5 * time.Second))
		return c, bufio.NewReader(c)
	}
	keptConn, keptReader := dial()
	fmt.Fprint(keptConn, checkRequest("/check", "k1"))
	if res, err := http.ReadResponse(keptReader, nil); err != nil || res.StatusCode != 200 {
		t.Fatalf("before: %v, %v", res, err)
	} else if _, err := res.Body.Read(make([]byte, 64)); err != nil && err.Error() != "EOF" {
		t.Fatal(err)
	}
	busyConn, busyReader := dial()
	fmt.Fprint(busyConn, checkRequest("/check?slow", "b1"))
	waitFor(t, "the request is not in flight", func() bool { return d.gateway.frontend.ActiveRequests() == 1 })
	stopped := make(chan bool)
	go func() {
		d.gateway.Stop()
		close(stopped)
	}()
	waitFor(t, "the handoff does not start", func() bool { return d.gateway.standby.Load() })
	fmt.Fprint(keptConn, checkRequest("/check", "k2"))
	freshConn, freshReader := dial()
	fmt.Fprint(freshConn, checkRequest("/check", "f1"))
	for name, c := range map[string]struct {
		r    *bufio.Reader
		want int
	}{"in flight": {busyReader, 200}, "open": {keptReader, 429}, "new": {freshReader, 429}} {
		if res, err := http.ReadResponse(c.r, nil); err != nil || res.StatusCode != c.want {
			t.Errorf("%s: %+v, %v", name, res, err)
		}
	}
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("the gateway does not stop")
	}
}
